#include "node/load_report.h"

#include <gtest/gtest.h>

namespace fireflyslip {
namespace {

class load_report_test : public testing::Test {};

TEST_F(load_report_test, Report_Encoded_DecodesEqual) {
  load_report report;
  report.engine = "10.0.0.1:80";
  report.echo_us = 1ULL << 40U;
  report.echo_delay_us = 7;
  report.load.active = 3;
  report.load.queued = 2;
  report.load.loading = true;
  report.load.gateways = 8;
  report.load.cold_permits = 2;
  report.load.model_versions[model_name("m")] = 4;
  EXPECT_EQ(DecodeLoadMessage(EncodeLoadMessage(report)), load_message(report));
}

TEST_F(load_report_test, CrashNotice_Encoded_DecodesEqual) {
  const crash_notice notice{
      {{7,
        true,
        {{1, {false, seconds(3), {4, 5}}}, {2, {true, {}, {5, ~0ULL}}}},
        seconds(1)},
       {~0ULL, false, {{3, {false, milliseconds(1)}}}, {}}}};
  EXPECT_EQ(DecodeLoadMessage(EncodeLoadMessage(notice)), load_message(notice));
}

// Guards against evidence that is never sent because there is too much of it,
// and against datagrams that the receiver cuts off.
TEST_F(load_report_test, CrashNotice_Large_SplitToFit) {
  crash_notice notice;
  for (std::uint64_t part = 1; part <= 256; ++part) {
    crash_evidence evidence{~0ULL - part, false, {}, seconds(100)};
    for (std::uint64_t crash = 1; crash <= 24; ++crash) {
      evidence.crashes[~0ULL - crash] = {
          true, duration::max(), {~0ULL - 300 * crash - 1, ~0ULL - 300}};
    }
    notice.evidence.push_back(evidence);
  }
  std::size_t received = 0;
  for (const crash_notice& part : SplitNotice(notice)) {
    const std::vector<std::uint8_t> datagram = EncodeLoadMessage(part);
    EXPECT_LE(datagram.size(), kMaxLoadDatagramBytes);
    const auto decoded = DecodeLoadMessage(datagram);
    ASSERT_TRUE(decoded);
    received += std::get<crash_notice>(*decoded).evidence.size();
  }
  EXPECT_EQ(received, notice.evidence.size());
}

// Guards against companions that another version of the gateway does not send.
TEST_F(load_report_test, CrashNotice_WithoutCompanions_Decoded) {
  const crash_notice notice{
      {{7, true, {{1, {false, seconds(3)}}, {2, {true, {}}}}, seconds(1)}}};
  EXPECT_EQ(DecodeLoadMessage(EncodeLoadMessage(notice)), load_message(notice));
}

TEST_F(load_report_test, Subscription_Encoded_DecodesEqual) {
  const load_subscription subscription{vm_id("e1"), 99, seconds(1)};
  EXPECT_EQ(DecodeLoadMessage(EncodeLoadMessage(subscription)),
            load_message(subscription));
}

// Guards against growth of the most frequent message, for example by field
// names: a fleet of 58 replicas and 44 gateways sends 25,000 reports per
// second.
TEST_F(load_report_test, Report_Encoded_IsSmall) {
  load_report report;
  report.engine = "10.200.100.100:8000";
  report.echo_us = 1ULL << 40U;
  report.echo_delay_us = 500'000;
  report.load.model_versions[model_name("modelname1")] = 4;
  EXPECT_LE(EncodeLoadMessage(report).size(), 64U);
}

// Guards against accepting foreign datagrams on the port.
TEST_F(load_report_test, Decode_Garbage_Nothing) {
  EXPECT_EQ(DecodeLoadMessage({}), std::nullopt);
  const std::vector<std::uint8_t> garbage = {0xff, 0x00, 0x13};
  EXPECT_EQ(DecodeLoadMessage(garbage), std::nullopt);
}

// Guards against a process that no longer receives reports or subscriptions
// after a datagram that is nested deeply or declares too many elements.
TEST_F(load_report_test, Datagram_NestedOrDeclaredExcessively_Nothing) {
  for (const std::uint8_t type : {0x81, 0x9f}) {
    const std::vector<std::uint8_t> nested(kMaxLoadDatagramBytes, type);
    EXPECT_EQ(DecodeLoadMessage(nested), std::nullopt);
  }
  for (const std::uint8_t type : {0x9b, 0xbb, 0x5b, 0x7b}) {
    std::vector<std::uint8_t> declared(9, 0x7f);
    declared[0] = type;
    EXPECT_EQ(DecodeLoadMessage(declared), std::nullopt);
  }
}

// Guards against evidence about whole requests that is taken for evidence about
// parts of prompts.
TEST_F(load_report_test, RequestCrashNotice_Encoded_DecodesEqual) {
  crash_notice notice;
  notice.whole_requests = true;
  for (std::uint64_t part = 1; part <= 8; ++part) {
    notice.evidence.push_back({part, false, {{1, {false, seconds(3)}}}, {}});
  }
  const std::vector<crash_notice> parts = SplitNotice(notice);
  ASSERT_EQ(parts.size(), 2U);
  for (const crash_notice& part : parts) {
    EXPECT_TRUE(part.whole_requests);
    EXPECT_EQ(DecodeLoadMessage(EncodeLoadMessage(part)), load_message(part));
  }
}

}  // namespace
}  // namespace fireflyslip
