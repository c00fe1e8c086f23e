#ifndef QUETZAL_BASE_RESULT_CODE_H_
#define QUETZAL_BASE_RESULT_CODE_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace quetzal {

/// Numbered outcome of an operation. docs/RESULT-CODES.md lists the same codes.
///
/// Ranges: 1xxx settings and startup, 2xxx intents and plans, 3xxx agreement and durable
/// state, 4xxx membership and distribution, 5xxx callers' requests, 6xxx streams and
/// HTTP.
enum class ResultCode : int {
  kOk = 0,

  kSettingsInvalid = 1001,
  kPortTaken = 1002,
  kFolderMissing = 1003,
  kInternalError = 1099,

  kIntentMalformed = 2001,
  kIntentTooLarge = 2002,
  kIntentUnknown = 2003,
  kIntentIdReused = 2004,
  kIntentIdExpired = 2005,
  kPlanRefused = 2010,
  kPlanOutdated = 2011,
  kPlanCancelled = 2012,
  kIntentConfirmed = 2013,
  kRolloutInProgress = 2014,
  kRolloutUnknown = 2015,
  kNotRun = 2020,
  kPending = 2021,
  kUnreachable = 2022,

  kNotLeader = 3001,
  kLeadershipLost = 3002,
  kNoQuorum = 3003,
  kLogCorrupt = 3010,
  kDiskFull = 3011,
  kDiskFailed = 3012,
  kOverloaded = 3020,

  kNotRooted = 4001,  ///< The configuration source is not quorum-backed.
  kDeltaBaseMismatch = 4002,
  kConfigurationInvalid = 4003,
  kVersionWouldRevert = 4004,
  kStaleIncarnation = 4005,
  kConfigurationOutdated = 4006,
  kMessageMalformed = 4010,

  kNoRoute = 5001,
  kNoBackendServer = 5002,
  kServerLeaving = 5003,
  kServerFull = 5004,
  kShed = 5005,
  kDeadlineExceeded = 5006,
  kCancelled = 5007,
  kKeyRequired = 5010,
  kKeyInProgress = 5011,
  kKeyReused = 5012,
  kOutcomeUnknown = 5013,
  kAnswerNotKept = 5014,
  kKeyTableFull = 5015,
  kKeyQuorumMissing = 5016,
  kAnswerCut = 5020,
  kConnectFailed = 5021,
  kHopLimit = 5022,
  kLoop = 5023,
  kRequestCrashesServers = 5024,
  kRequestOnTrial = 5025,
  kNodeStarting = 5030,
  kNodeStopping = 5031,
  kCredentialUnknown = 5040,
  kCredentialUnproved = 5041,  ///< It may have been withdrawn meanwhile.
  kQuotaExceeded = 5042,

  kRequestMalformed = 6001,
  kRequestTooLarge = 6002,
  kRequestTimeout = 6003,
  kBodyTooLarge = 6004,
  kStreamReset = 6010,
  kConnectionLost = 6011,
  kTimeout = 6012,
  kMethodUnknown = 6013,
};

/// One row of the table of result codes.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  int http_status;  ///< Status of an HTTP answer that carries the code.
  bool not_run;     ///< True when the code states that the request did not run.
  std::string_view meaning;
};

/// All rows, ascending by code.
const std::vector<ResultCodeInfo>& ResultCodeTable();

/// Returns the row of `code`, or the row of kInternalError when `code` is not in the
/// table.
const ResultCodeInfo& InfoOf(ResultCode code);

/// Converts `number` to a code; kInternalError when it is not in the table.
ResultCode ResultCodeFromInt(int number);

/// Error with a result code and a message for a person.
class Error : public std::runtime_error {
 public:
  Error(ResultCode code, const std::string& message)
      : std::runtime_error(message), code_(code) {}

  ResultCode code() const { return code_; }

 private:
  ResultCode code_;
};

}  // namespace quetzal

#endif  // QUETZAL_BASE_RESULT_CODE_H_
