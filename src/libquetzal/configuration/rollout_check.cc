#include "configuration/rollout_check.h"

#include <algorithm>
#include <string>

#include "base/concat.h"
#include "base/result_code.h"
#include "configuration/configuration_limits.h"

namespace quetzal {
namespace {

[[noreturn]] void Refuse(const Rollout& rollout, const std::string& fault) {
  throw Error(ResultCode::kConfigurationInvalid,
              Concat("rollout of '", rollout.service(), "': ", fault));
}

bool IsLegalVersion(const std::string& version) {
  const auto is_control_character = [](unsigned char c) { return c < ' ' || c == 0x7f; };
  return !version.empty() && version.size() <= kMaxServerVersionBytes &&
         std::none_of(version.begin(), version.end(), is_control_character);
}

void CheckRollout(const Rollout& rollout, const Configuration& configuration) {
  const bool known =
      std::any_of(configuration.services().begin(), configuration.services().end(),
                  [&](const Service& s) { return s.name() == rollout.service(); });
  if (!known) Refuse(rollout, "the configuration has no such service");
  if (!IsLegalVersion(rollout.version())) {
    Refuse(rollout, Concat("the version is empty, longer than ", kMaxServerVersionBytes,
                           " bytes or has control characters"));
  }
  if (rollout.duration_ms() < 1 || rollout.duration_ms() > kMaxRolloutDurationMs) {
    Refuse(rollout, Concat("the duration is ", rollout.duration_ms(),
                           " ms; allowed is 1 to ", kMaxRolloutDurationMs));
  }
  if (rollout.max_share_permille() > kMaxRolloutSharePermille) {
    Refuse(rollout, Concat("the share is ", rollout.max_share_permille(),
                           " per mille; allowed is 0 to ", kMaxRolloutSharePermille));
  }
  if (!RolloutState_IsValid(rollout.state())) Refuse(rollout, "the state is unknown");
}

}  // namespace

void CheckRollouts(const Configuration& configuration) {
  const Rollout* before = nullptr;
  for (const Rollout& rollout : configuration.rollouts()) {
    CheckRollout(rollout, configuration);
    if (before != nullptr && !(before->service() < rollout.service())) {
      Refuse(rollout, "out of order or listed twice");
    }
    before = &rollout;
  }
}

}  // namespace quetzal
