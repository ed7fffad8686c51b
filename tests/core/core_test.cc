#include "fireflyslip/core.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace fireflyslip {
namespace {

class error_test : public testing::Test {};

// Guards against an error kind without a row in the table of error responses.
TEST_F(error_test, ErrorResponseFor_EveryKind_HasMatchingRow) {
  for (int i = 0; i <= static_cast<int>(error_kind::kInternalError); ++i) {
    const auto kind = static_cast<error_kind>(i);
    EXPECT_EQ(ErrorResponseFor(kind).kind, kind);
    EXPECT_EQ(ParseErrorKind(ErrorResponseFor(kind).name), kind);
  }
}

class request_id_test : public testing::Test {};

// Guards against splitting a VM name that contains dots at the wrong dot.
TEST_F(request_id_test, Parse_NameWithDots_RoundTrips) {
  const request_id id{vm_id("akl.e1"), 3, 41};
  EXPECT_EQ(ParseRequestId(ToString(id)), id);
}

// Guards against a crash or a wrong id when a peer sends malformed text.
TEST_F(request_id_test, Parse_MalformedText_ReturnsNothing) {
  for (const char* text : {"", ".", "..", "a.1", "a.1.", "a.x.2", ".1.2"}) {
    EXPECT_EQ(ParseRequestId(text), std::nullopt) << text;
  }
}

class digest_test : public testing::Test {};

// Guards against a digest that differs from the published SHA-256 value.
TEST_F(digest_test, Of_KnownInput_MatchesPublishedValue) {
  const std::string expected =
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
  EXPECT_EQ(digest::Of("abc").ToHex(), expected);
  EXPECT_EQ(digest::FromHex(expected), digest::Of("abc"));
  EXPECT_EQ(digest::FromHex("zz"), std::nullopt);
}

class rendezvous_test : public testing::Test {};

// Guards against remapping keys of the remaining nodes when one node leaves.
TEST_F(rendezvous_test, Order_NodeRemoved_KeepsOrderOfOthers) {
  const std::vector<vm_id> nodes = {vm_id("a"), vm_id("b"), vm_id("c"),
                                    vm_id("d")};
  for (int key = 0; key < 100; ++key) {
    std::vector<vm_id> order = RendezvousOrder(std::to_string(key), nodes);
    std::erase(order, vm_id("c"));
    const std::vector<vm_id> fewer = {vm_id("d"), vm_id("b"), vm_id("a")};
    EXPECT_EQ(RendezvousOrder(std::to_string(key), fewer), order);
  }
}

}  // namespace
}  // namespace fireflyslip
