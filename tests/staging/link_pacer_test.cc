#include <gtest/gtest.h>

#include "fireflyslip/staging.h"

namespace fireflyslip {
namespace {

constexpr std::size_t kChunk = 50'000;  // bytes

class link_pacer_test : public testing::Test {
 protected:
  time_point now_ = time_point(seconds(100));
  link_pacer pacer_{1'000'000};
};

// Guards against concurrent chunks that saturate the link and delay streams.
TEST_F(link_pacer_test, Reserve_TwoChunks_OneAfterTheOther) {
  EXPECT_EQ(pacer_.Reserve(kChunk, now_, seconds(1)), now_);
  EXPECT_EQ(pacer_.Reserve(kChunk, now_, seconds(1)), now_ + milliseconds(50));
}

// Guards against reservations that outlast the requests for them.
TEST_F(link_pacer_test, Reserve_QueueLong_Refused) {
  for (int i = 0; i < 21; ++i) {
    pacer_.Reserve(kChunk, now_, seconds(1));
  }
  EXPECT_EQ(pacer_.Reserve(kChunk, now_, seconds(1)), std::nullopt);
  pacer_.Clear();
  EXPECT_EQ(pacer_.Reserve(kChunk, now_, seconds(1)), now_);
}

// Guards against a rate above the available bandwidth of the link.
TEST_F(link_pacer_test, Observe_SlowTransfers_RateFallsAndRecovers) {
  for (int i = 0; i < 4; ++i) {
    pacer_.Observe(kChunk, milliseconds(400));
  }
  EXPECT_LT(pacer_.rate(), 200'000);
  for (int i = 0; i < 20; ++i) {
    pacer_.Observe(kChunk, milliseconds(60));
  }
  EXPECT_EQ(pacer_.rate(), 1'000'000);
}

}  // namespace
}  // namespace fireflyslip
