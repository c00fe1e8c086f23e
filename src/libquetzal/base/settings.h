#ifndef QUETZAL_BASE_SETTINGS_H_
#define QUETZAL_BASE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/result_code.h"

namespace quetzal {

/// Kind of value that a setting takes.
enum class SettingKind {
  kText,
  kInteger,
  kRoundedDown,  ///< A number; Integer() returns it without its fraction.
  kMillis,
  kEndpoint,
  kEndpointList,
  kFolder,
  kFlag,
  kRatio
};

/// Description of one setting. The flag is `--name`; the environment variable is
/// `QUETZAL_` and the name in upper case with `_` for `-`. A flag overrides the variable.
struct SettingSpec {
  std::string name;
  SettingKind kind = SettingKind::kText;
  std::string unit;  ///< "ms", "bytes", "address:port"; empty for plain text.
  std::string default_value;
  std::int64_t min = 0;  ///< Smallest number allowed (all kinds of numbers but kRatio).
  std::int64_t max = 0;  ///< Largest number allowed.
  bool required = false;
  std::string help;
};

/// An address to listen on or to connect to.
struct Endpoint {
  std::string address;  ///< IPv4 or IPv6 address as text, without brackets.
  std::uint16_t port = 0;

  std::string ToString() const;
};

bool operator==(const Endpoint& a, const Endpoint& b);
bool operator<(const Endpoint& a, const Endpoint& b);

/// Parses "ip:port". Throws Error(kSettingsInvalid).
Endpoint ParseEndpoint(const std::string& text);

/// Validated settings of a program. Reading an undeclared name throws
/// Error(kInternalError).
class Settings {
 public:
  const std::string& Text(const std::string& name) const;
  std::int64_t Integer(const std::string& name) const;
  std::chrono::milliseconds Millis(const std::string& name) const;

  /// A number from 0 to 1.
  double Ratio(const std::string& name) const;
  Endpoint Address(const std::string& name) const;
  std::vector<Endpoint> Addresses(const std::string& name) const;
  bool Flag(const std::string& name) const;

  /// Arguments of the command line that belong to no flag.
  const std::vector<std::string>& arguments() const { return arguments_; }

  /// Returns one line per setting: name, value in use and its source.
  std::string Describe() const;

 private:
  friend class SettingsReader;

  struct Value {
    std::string text;
    std::string source;  ///< "flag --x", "variable QUETZAL_X" or "default".
  };

  std::map<std::string, Value> values_;
  std::vector<std::string> arguments_;
};

/// Next step of a program after it has read its settings.
enum class StartAction { kRun, kExit };

/// Result of reading the settings.
struct SettingsOutcome {
  StartAction action = StartAction::kRun;
  int exit_code = 0;
  std::string output;  ///< Text for standard output (help, version, checked settings).
  std::string errors;  ///< One line per invalid setting, for standard error.
  Settings settings;
};

/// Exit codes of all programs; docs/RESULT-CODES.md lists them.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailure = 1,
  kExitSettings = 2,
  kExitNotRun = 3,
  kExitPending = 4,
  kExitRefused = 5,
  kExitUnreachable = 6,
  kExitPortTaken = 7,
  kExitFolder = 8,
};

/// Returns the exit code of a program that stops because of an error with `code`.
int ExitCodeOf(ResultCode code);

/// Reads settings from flags and environment variables with getopt_long.
class SettingsReader {
 public:
  /// `program` and `summary` begin the help text. Adds --help, --version and
  /// --check-settings.
  SettingsReader(std::string program, std::string summary,
                 std::vector<SettingSpec> specs);

  /// Checks every setting and reports all invalid ones together. Opens no files or ports.
  SettingsOutcome Read(int argc, char* const argv[],
                       const std::map<std::string, std::string>& environment) const;

  std::string HelpText() const;
  const std::vector<SettingSpec>& specs() const { return specs_; }

 private:
  std::string program_;
  std::string summary_;
  std::vector<SettingSpec> specs_;
};

/// Returns the environment variables of this process.
std::map<std::string, std::string> ProcessEnvironment();

/// Returns the name of the environment variable of `setting`.
std::string VariableName(const std::string& setting);

/// Describes the allowed values of a setting, for help and error texts.
std::string DescribeAllowed(const SettingSpec& spec);

}  // namespace quetzal

#endif  // QUETZAL_BASE_SETTINGS_H_
