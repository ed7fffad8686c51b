#include "program/chunk_cache.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace fireflyslip {
namespace {

class chunk_cache_test : public testing::Test {
 protected:
  static digest Name(char letter) { return digest::Of(std::string(1, letter)); }
  void Insert(char letter, std::size_t size) {
    cache_.Insert(Name(letter),
                  std::make_shared<const std::string>(size, letter));
  }

  chunk_cache cache_{100};
};

// Guards against unbounded memory use and against the eviction of a recently
// used chunk.
TEST_F(chunk_cache_test, Insert_AboveCapacity_DropsLeastRecentlyUsed) {
  Insert('a', 40);
  Insert('b', 40);
  ASSERT_NE(cache_.Find(Name('a')), nullptr);
  Insert('c', 40);
  EXPECT_NE(cache_.Find(Name('a')), nullptr);
  EXPECT_EQ(cache_.Find(Name('b')), nullptr);
  EXPECT_NE(cache_.Find(Name('c')), nullptr);
  EXPECT_EQ(cache_.size_bytes(), 80U);
}

// Guards against a chunk whose size is counted twice and against an oversized
// chunk that evicts all others.
TEST_F(chunk_cache_test, Insert_PresentOrTooLarge_ChangesNothing) {
  Insert('a', 40);
  Insert('a', 40);
  Insert('b', 101);
  EXPECT_NE(cache_.Find(Name('a')), nullptr);
  EXPECT_EQ(cache_.Find(Name('b')), nullptr);
  EXPECT_EQ(cache_.size_bytes(), 40U);
}

}  // namespace
}  // namespace fireflyslip
