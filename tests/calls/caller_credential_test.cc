#include "calls/caller_credential.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "configuration/configuration_limits.h"

namespace quetzal {
namespace {

using State = CallerCredential::State;

CallerCredential Read(const std::vector<std::string>& values) {
  StreamHeaders headers = {{"x-other", "Bearer other"}};
  for (const std::string& value : values) headers.emplace_back("authorization", value);
  return ReadBearerCredential(headers, "authorization");
}

TEST(CallerCredentialTest, ReadsOneCredential) {
  EXPECT_EQ(Read({}).state, State::kAbsent);
  for (const char* value : {"Bearer k-1", "bearer k-1", "BEARER   k-1", " Bearer k-1 "}) {
    EXPECT_EQ(Read({value}).state, State::kPresented) << value;
    EXPECT_EQ(Read({value}).text, "k-1") << value;
  }
}

TEST(CallerCredentialTest, OtherValuesAreMalformed) {
  for (const std::string& value :
       {std::string(), std::string("Bearer"), std::string("Bearer "), std::string("k-1"),
        std::string("Basic k-1"), std::string("Bearerk-1"), std::string("Bearer k 1"),
        std::string("Bearer k-1, Bearer k-1"), std::string("Bearer \xff\x01"),
        std::string("Bearer k\0", 9),
        "Bearer " + std::string(kMaxCredentialBytes + 1, 'k'),
        "Bearer " + std::string(std::size_t{64} * 1024, 'k')}) {
    EXPECT_EQ(Read({value}).state, State::kMalformed) << value.substr(0, 40);
    EXPECT_EQ(Read({value}).text, "") << value.substr(0, 40);
  }
}

// Guards against a request that counts for one team here and for another one elsewhere.
TEST(CallerCredentialTest, ARepeatedFieldMustHaveTheSameCredential) {
  EXPECT_EQ(Read({"Bearer k-1", "bearer k-1"}).text, "k-1");
  EXPECT_EQ(Read({"Bearer k-1", "Bearer k-2"}).state, State::kMalformed);
  EXPECT_EQ(Read({"Bearer k-1", "Basic k-1"}).state, State::kMalformed);
  EXPECT_EQ(Read({"Basic k-1", "Bearer k-1"}).state, State::kMalformed);
}

TEST(CallerCredentialTest, EveryFieldOfTheNameIsRemoved) {
  StreamHeaders headers = {{"a", "1"}, {"b", "2"}, {"a", "3"}};
  RemoveField("a", &headers);
  EXPECT_EQ(headers, (StreamHeaders{{"b", "2"}}));
}

}  // namespace
}  // namespace quetzal
