#include "distribution/credential_lease.h"

#include <gtest/gtest.h>

namespace quetzal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLease = milliseconds(4750);

Version At(std::uint64_t index) {
  Version version;
  version.set_term(1);
  version.set_index(index);
  return version;
}

class CredentialLeaseTest : public testing::Test {
 protected:
  /// Asks, and gets the answer after `delay`.
  void Renew(Duration delay, std::uint64_t committed, std::uint64_t applied) {
    const std::uint64_t nonce = lease_.DueQuestion();
    ASSERT_NE(nonce, 0U);
    clock_.Advance(delay);
    EXPECT_TRUE(lease_.OnVerified(nonce, At(committed), At(applied)));
  }

  ManualClock clock_;
  Random random_{1};
  CredentialLease lease_{kLease, &clock_, &random_};
};

// Guards against a node that starts with credentials which were withdrawn meanwhile.
TEST_F(CredentialLeaseTest, AtFirstNothingIsProved) { EXPECT_FALSE(lease_.proved()); }

// Guards against a lease that counts from a slow answer.
TEST_F(CredentialLeaseTest, CountsFromTheQuestion) {
  Renew(seconds(2), 7, 7);
  EXPECT_TRUE(lease_.proved());
  clock_.Advance(kLease - seconds(2));
  EXPECT_TRUE(lease_.proved());
  clock_.Advance(milliseconds(1));
  EXPECT_FALSE(lease_.proved());
}

TEST_F(CredentialLeaseTest, AnAnswerAfterTheLeaseProvesNothing) {
  Renew(kLease + milliseconds(1), 7, 7);
  EXPECT_FALSE(lease_.proved());
}

// Guards against a node that knows of a later configuration and still uses its own one.
TEST_F(CredentialLeaseTest, WaitsForTheCommittedVersion) {
  Renew(milliseconds(5), 8, 7);
  EXPECT_FALSE(lease_.proved());
  lease_.OnApplied(At(7));
  EXPECT_FALSE(lease_.proved());
  clock_.Advance(seconds(1));
  lease_.OnApplied(At(9));
  EXPECT_TRUE(lease_.proved());
  clock_.Advance(kLease - seconds(1) - milliseconds(5));
  EXPECT_TRUE(lease_.proved());
  clock_.Advance(milliseconds(1));
  EXPECT_FALSE(lease_.proved()) << "it still counts from the question";
}

// An old proof stays valid while a later configuration is on its way.
TEST_F(CredentialLeaseTest, AWaitingAnswerDoesNotEndAnEarlierProof) {
  Renew(milliseconds(5), 7, 7);
  clock_.Advance(seconds(1));
  Renew(milliseconds(5), 8, 7);
  EXPECT_TRUE(lease_.proved());
}

TEST_F(CredentialLeaseTest, AnswersInAnotherOrderKeepTheLatestProof) {
  const std::uint64_t first = lease_.DueQuestion();
  clock_.Advance(seconds(1));
  const std::uint64_t second = lease_.DueQuestion();
  EXPECT_TRUE(lease_.OnVerified(second, At(7), At(7)));
  EXPECT_TRUE(lease_.OnVerified(first, At(7), At(7)));
  clock_.Advance(kLease);
  EXPECT_TRUE(lease_.proved());
}

// Guards against an answer that is used twice or belongs to another question.
TEST_F(CredentialLeaseTest, OnlyItsOwnQuestionsCount) {
  const std::uint64_t nonce = lease_.DueQuestion();
  EXPECT_FALSE(lease_.OnVerified(nonce + 1, At(7), At(7)));
  EXPECT_FALSE(lease_.OnVerified(0, At(7), At(7)));
  EXPECT_FALSE(lease_.proved());
  EXPECT_TRUE(lease_.OnVerified(nonce, At(7), At(7)));
  EXPECT_FALSE(lease_.OnVerified(nonce, At(7), At(7)));
  EXPECT_GE(nonce, 1ULL << 62) << "nonces of freshness checks are lower";
  EXPECT_LT(nonce, 1ULL << 63) << "nonces of subscribers' questions are higher";
}

TEST_F(CredentialLeaseTest, AsksEverySecondAndFasterWithoutAProof) {
  EXPECT_NE(lease_.DueQuestion(), 0U);
  EXPECT_EQ(lease_.DueQuestion(), 0U);
  clock_.Advance(milliseconds(200));
  Renew(Duration::zero(), 7, 7);
  clock_.Advance(milliseconds(999));
  EXPECT_EQ(lease_.DueQuestion(), 0U);
  clock_.Advance(milliseconds(1));
  EXPECT_NE(lease_.DueQuestion(), 0U);
  EXPECT_EQ(lease_.DueQuestion(), 0U);
  lease_.OnSourceChanged();
  EXPECT_NE(lease_.DueQuestion(), 0U) << "the former source may never answer";
}

TEST(CredentialLeaseWithoutALimitTest, EverythingIsProvedAndNothingAsked) {
  ManualClock clock;
  Random random(1);
  CredentialLease lease(Duration::zero(), &clock, &random);
  EXPECT_TRUE(lease.proved());
  EXPECT_EQ(lease.DueQuestion(), 0U);
  EXPECT_FALSE(lease.OnVerified(0, At(7), At(7)));
}

}  // namespace
}  // namespace quetzal
