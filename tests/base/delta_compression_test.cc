#include "base/delta_compression.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "base/random.h"
#include "base/result_code.h"

namespace quetzal {
namespace {

/// Text that does not compress by itself.
std::string Noise(std::size_t size) {
  Random random(5);
  std::string text;
  while (text.size() < size) text += std::to_string(random.Next());
  return text;
}

TEST(DeltaCompressionTest, ASmallChangeOfALargeTextIsSmall) {
  const std::string base = Noise(300'000);
  std::string next = base;
  next.insert(200'000, "one more route");
  next[10] = '*';
  const std::string packed = CompressAgainst(base, next);
  EXPECT_LT(packed.size(), 300U);
  EXPECT_EQ(DecompressAgainst(base, packed, next.size()), next);
}

TEST(DeltaCompressionTest, WithoutABaseItIsPlainCompression) {
  const std::string text = "again and again and again and again";
  EXPECT_EQ(DecompressAgainst("", CompressAgainst("", text), 100), text);
}

TEST(DeltaCompressionTest, WrongBytesAndSizesAreErrors) {
  const std::string packed = CompressAgainst("", std::string(1000, 'x'));
  EXPECT_THROW(DecompressAgainst("", packed, 999), Error);
  EXPECT_THROW(DecompressAgainst("", packed.substr(0, packed.size() / 2), 2000), Error);
  EXPECT_TRUE(rc::check([](const std::string& base, const std::string& bytes) {
    try {
      DecompressAgainst(base, bytes, 1 << 16);
    } catch (const Error& error) {
      RC_ASSERT(error.code() == ResultCode::kMessageMalformed);
    }
  }));
}

TEST(DeltaCompressionTest, AnyBytesComeBack) {
  EXPECT_TRUE(rc::check([](const std::string& base, const std::string& bytes) {
    RC_ASSERT(DecompressAgainst(base, CompressAgainst(base, bytes), bytes.size()) ==
              bytes);
  }));
}

}  // namespace
}  // namespace quetzal
