#ifndef QUETZAL_CONFIGURATION_CONFIGURATION_LIMITS_H_
#define QUETZAL_CONFIGURATION_CONFIGURATION_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace quetzal {

// Limits of a configuration. docs/intents.md lists them for operators.
constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxServices = 256;
constexpr std::size_t kMaxRoutes = 16'384;
constexpr std::size_t kMaxTargetsOfRoute = 16;
constexpr std::size_t kMaxMethodsOfRoute = 16;
constexpr std::size_t kMaxMethodLength = 16;
constexpr std::size_t kMaxHostLength = 253;
constexpr std::size_t kMaxPathPrefixBytes = 512;
constexpr std::size_t kMaxLeaving = 4096;
constexpr std::size_t kMaxDataCentres = 64;
constexpr std::size_t kMaxKeyGroupsOfDataCentre = 64;
constexpr std::size_t kMaxKeyGroupMembers = 7;
constexpr std::size_t kMaxTeams = 4096;
constexpr std::size_t kMaxCredentialsOfTeam = 64;
constexpr std::size_t kMaxCredentialBytes = 1024;
constexpr double kMaxTeamRequestsPerSecond = 1e6;
constexpr double kMaxTeamBurst = 1e6;
constexpr std::uint32_t kMaxWeight = 10'000;
constexpr std::uint32_t kMaxRouteTimeoutMs = 600'000;
constexpr std::uint32_t kMaxPriority = 9;
constexpr std::uint32_t kMaxRouteAttempts = 100;
constexpr std::uint32_t kMaxSlots = 10'000;
constexpr std::uint32_t kMaxConnections = 100'000;
constexpr std::uint32_t kMaxQueue = 10'000;
constexpr std::uint32_t kMaxSlowStartMs = 600'000;
constexpr std::uint32_t kMaxRetryBudgetPercent = 100;
constexpr std::uint32_t kMaxDrainLimitMs = 600'000;
constexpr std::uint32_t kMaxKeyRetentionMs = 604'800'000;
constexpr std::size_t kMaxServerVersionBytes = 128;
constexpr std::uint32_t kMaxRolloutDurationMs = 86'400'000;
constexpr std::uint32_t kMaxRolloutSharePermille = 1000;
constexpr std::uint32_t kDefaultRolloutSharePermille = 100;

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_CONFIGURATION_LIMITS_H_
