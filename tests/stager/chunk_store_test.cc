#include "stager/chunk_store.h"

#include <gtest/gtest.h>

namespace fireflyslip {
namespace {

class chunk_store_test : public testing::Test {
 protected:
  chunk_store_test() { chunks_.Reset(2, {sound_[0], spoilt_, sound_[2]}); }

  const std::vector<digest> sound_ = {digest::Of("a"), digest::Of("b"),
                                      digest::Of("c")};
  const digest spoilt_ = digest::Of("spoilt");
  chunk_store chunks_;
};

// Guards against a wrong digest that stays although the origin sends the right
// one, and against others that come with it.
TEST_F(chunk_store_test,
       Correct_OtherManifestMatchesBytes_OnlyThatOneReplaced) {
  EXPECT_FALSE(chunks_.Put(1, "b"));
  EXPECT_TRUE(chunks_.Correct(1, {spoilt_, sound_[1], spoilt_}, "b"));
  EXPECT_EQ(chunks_.digests(), sound_);
  EXPECT_NE(chunks_.Get(1), nullptr);
}

// Guards against a digest that is replaced without proof: by a manifest that is
// spoilt or shorter, or with corrupt bytes.
TEST_F(chunk_store_test, Correct_NoAgreement_DigestKept) {
  const std::vector<digest> before = chunks_.digests();
  EXPECT_FALSE(chunks_.Correct(1, sound_, "corrupt"));
  EXPECT_FALSE(chunks_.Correct(1, before, "b"));
  EXPECT_FALSE(chunks_.Correct(1, {sound_[0], sound_[1]}, "b"));
  EXPECT_FALSE(chunks_.Correct(3, sound_, "b"));
  EXPECT_EQ(chunks_.digests(), before);
}

// Guards against a chunk that is replaced after it has been verified.
TEST_F(chunk_store_test, Correct_ChunkStored_Kept) {
  ASSERT_TRUE(chunks_.Put(0, "a"));
  EXPECT_FALSE(chunks_.Correct(0, {spoilt_, spoilt_, spoilt_}, "spoilt"));
  EXPECT_EQ(*chunks_.Get(0), "a");
}

}  // namespace
}  // namespace fireflyslip
