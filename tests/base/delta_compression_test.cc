#include "base/delta_compression.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "base/random.h"
#include "base/result_code.h"

namespace quetzal {
namespace {

/// Digits of random numbers, which compress little without a base.
std::string RandomDigits(std::size_t size) {
  Random random(5);
  std::string text;
  while (text.size() < size) text += std::to_string(random.Next());
  return text;
}

TEST(DeltaCompressionTest, SmallChangeOfALargeTextCompressesToFewBytes) {
  const std::string base = RandomDigits(300'000);
  std::string next = base;
  next.insert(200'000, "one more route");
  next[10] = '*';
  const std::string compressed = CompressAgainst(base, next);
  EXPECT_LT(compressed.size(), 300U);
  EXPECT_EQ(DecompressAgainst(base, compressed, next.size()), next);
}

TEST(DeltaCompressionTest, EmptyBaseGivesPlainCompression) {
  const std::string text = "again and again and again and again";
  EXPECT_EQ(DecompressAgainst("", CompressAgainst("", text), 100), text);
}

TEST(DeltaCompressionTest, CorruptBytesAndExceededSizesAreErrors) {
  const std::string compressed = CompressAgainst("", std::string(1000, 'x'));
  EXPECT_THROW(DecompressAgainst("", compressed, 999), Error);
  EXPECT_THROW(DecompressAgainst("", compressed.substr(0, compressed.size() / 2), 2000),
               Error);
  EXPECT_TRUE(rc::check([](const std::string& base, const std::string& bytes) {
    try {
      DecompressAgainst(base, bytes, 1 << 16);
    } catch (const Error& error) {
      RC_ASSERT(error.code() == ResultCode::kMessageMalformed);
    }
  }));
}

// Guards against a result that mixes the bytes of two bases.
TEST(DeltaCompressionTest, AnotherBaseOfTheSameSizeIsAnError) {
  const std::string base = RandomDigits(10'000);
  std::string other = base;
  other[5'000] = '*';
  const std::string compressed = CompressAgainst(base, base + "one more route");
  EXPECT_THROW(DecompressAgainst(other, compressed, 20'000), Error);
}

TEST(DeltaCompressionTest, BytesWithoutABaseDecompressAgainstAny) {
  const std::string text = RandomDigits(10'000);
  EXPECT_EQ(DecompressAgainst(RandomDigits(9'000), CompressAgainst("", text), 20'000),
            text);
}

TEST(DeltaCompressionTest, AnyBytesRoundTrip) {
  EXPECT_TRUE(rc::check([](const std::string& base, const std::string& bytes) {
    RC_ASSERT(DecompressAgainst(base, CompressAgainst(base, bytes), bytes.size()) ==
              bytes);
  }));
}

}  // namespace
}  // namespace quetzal
