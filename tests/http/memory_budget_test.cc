#include "fireflyslip/http/memory_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace fireflyslip {
namespace {

constexpr std::size_t kMaxBytes = 40UL << 20;
constexpr std::size_t kPart = 8UL << 10;

class memory_budget_test : public testing::TestWithParam<int> {
 protected:
  std::shared_ptr<memory_budget> budget_ =
      std::make_shared<memory_budget>(kMaxBytes);
};

// Guards against bodies without end that together take the memory of the
// process, or that leave none for the sound ones beside them.
TEST_P(memory_budget_test, ManyBodiesWithoutEnd_SoundOnesFit) {
  std::vector<std::unique_ptr<memory_reservation>> endless;
  std::vector<std::size_t> sizes(static_cast<std::size_t>(GetParam()));
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    endless.push_back(std::make_unique<memory_reservation>(budget_));
  }
  bool grows = true;
  while (grows) {
    grows = false;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
      if (endless[i]->Resize(sizes[i] + kPart)) {
        sizes[i] += kPart;
        grows = true;
      }
    }
    ASSERT_LE(budget_->used(), kMaxBytes);
    memory_reservation sound(budget_);
    ASSERT_TRUE(sound.Resize(kPart));
  }
  EXPECT_GT(*std::min_element(sizes.begin(), sizes.end()), 0U);
  endless.clear();
  EXPECT_EQ(budget_->used(), 0U);
}

INSTANTIATE_TEST_SUITE_P(bodies,
                         memory_budget_test,
                         testing::Values(1, 3, 50, 1000));

// Guards against a body that cannot shrink or be released after the limit was
// lowered.
TEST_F(memory_budget_test, LimitLowered_BodyMayShrinkOnly) {
  memory_reservation held(budget_);
  ASSERT_TRUE(held.Resize(kMaxBytes / 2));
  budget_->set_max_bytes(kPart);
  EXPECT_FALSE(held.Resize(kMaxBytes / 2 + 1));
  EXPECT_TRUE(held.Resize(kPart));
  EXPECT_EQ(budget_->used(), kPart);
}

}  // namespace
}  // namespace fireflyslip
