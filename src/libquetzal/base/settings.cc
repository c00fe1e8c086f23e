#include "base/settings.h"

#include <arpa/inet.h>
#include <getopt.h>
#include <sys/stat.h>
#include <unistd.h>

#include <charconv>
#include <cmath>
#include <sstream>
#include <tuple>
#include <utility>

#include "base/result_code.h"

namespace quetzal {
namespace {

constexpr char kVariablePrefix[] = "QUETZAL_";

bool ParseInteger(const std::string& text, std::int64_t* number) {
  const char* end = text.data() + text.size();
  auto [last, ec] = std::from_chars(text.data(), end, *number);
  return ec == std::errc() && last == end && !text.empty();
}

/// Parses a decimal number of at least 0 and rounds it down.
bool ParseRoundedDown(const std::string& text, std::int64_t* number) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, value);
  constexpr double kMaxNumber = 1e15;
  if (ec != std::errc() || last != end || !(value >= 0 && value <= kMaxNumber)) {
    return false;
  }
  *number = static_cast<std::int64_t>(value);
  return true;
}

/// Parses whole milliseconds ("250") or, with the suffix "s", decimal seconds ("0.25s").
bool ParseMillis(const std::string& text, std::int64_t* millis) {
  if (text.empty() || text.back() != 's') return ParseInteger(text, millis);
  double seconds = 0;
  const char* end = text.data() + text.size() - 1;
  const auto [last, ec] = std::from_chars(text.data(), end, seconds);
  constexpr double kMaxSeconds = 1e9;
  if (ec != std::errc() || last != end || !(seconds >= 0 && seconds <= kMaxSeconds)) {
    return false;
  }
  *millis = std::llround(seconds * 1000);
  return true;
}

bool ParseRatio(const std::string& text, double* ratio) {
  const char* end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, *ratio);
  return ec == std::errc() && last == end && *ratio >= 0 && *ratio <= 1;
}

bool IsIpAddress(const std::string& text) {
  unsigned char buf[sizeof(in6_addr)];
  return inet_pton(AF_INET, text.c_str(), buf) == 1 ||
         inet_pton(AF_INET6, text.c_str(), buf) == 1;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

/// Returns a description of the error in `text`, or an empty string when it is valid.
std::string CheckValue(const SettingSpec& spec, const std::string& text) {
  if (text.empty()) return spec.required ? "is missing" : "";
  std::int64_t number = 0;
  double ratio = 0;
  switch (spec.kind) {
    case SettingKind::kRatio:
      return ParseRatio(text, &ratio) ? "" : "is not a number from 0 to 1";
    case SettingKind::kMillis:
      if (!ParseMillis(text, &number)) return "is neither whole ms nor seconds";
      if (number < spec.min || number > spec.max) return "is out of range";
      return "";
    case SettingKind::kInteger:
      if (!ParseInteger(text, &number)) return "is not a whole number";
      if (number < spec.min || number > spec.max) return "is out of range";
      return "";
    case SettingKind::kRoundedDown:
      if (!ParseRoundedDown(text, &number)) return "is not a number";
      if (number < spec.min || number > spec.max) return "is out of range";
      return "";
    case SettingKind::kEndpoint:
    case SettingKind::kEndpointList:
      try {
        for (const std::string& part : SplitList(text)) ParseEndpoint(part);
      } catch (const Error& error) {
        return error.what();
      }
      return "";
    case SettingKind::kFolder: {
      struct stat info {};
      if (stat(text.c_str(), &info) != 0 || !S_ISDIR(info.st_mode)) {
        return "is not an existing folder";
      }
      return access(text.c_str(), W_OK) == 0 ? "" : "cannot be written";
    }
    case SettingKind::kFlag:
      return text == "true" || text == "false" ? "" : "is neither true nor false";
    case SettingKind::kText:
      return "";
  }
  return "";
}

}  // namespace

std::string Endpoint::ToString() const {
  const bool v6 = address.find(':') != std::string::npos;
  return (v6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

bool operator==(const Endpoint& a, const Endpoint& b) {
  return a.port == b.port && a.address == b.address;
}

bool operator<(const Endpoint& a, const Endpoint& b) {
  return std::tie(a.address, a.port) < std::tie(b.address, b.port);
}

Endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  std::int64_t port = -1;
  if (colon != std::string::npos && ParseInteger(text.substr(colon + 1), &port) &&
      port >= 0 && port <= 65535) {
    std::string address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
      address = address.substr(1, address.size() - 2);
    }
    if (IsIpAddress(address)) return {address, static_cast<std::uint16_t>(port)};
  }
  throw Error(ResultCode::kSettingsInvalid, "'" + text + "' is not IP-number:port");
}

const std::string& Settings::Text(const std::string& name) const {
  auto it = values_.find(name);
  if (it == values_.end()) {
    throw Error(ResultCode::kInternalError, "undeclared setting " + name);
  }
  return it->second.text;
}

std::int64_t Settings::Integer(const std::string& name) const {
  std::int64_t number = 0;
  const std::string& text = Text(name);
  if (!ParseInteger(text, &number)) ParseRoundedDown(text, &number);
  return number;
}

std::chrono::milliseconds Settings::Millis(const std::string& name) const {
  std::int64_t number = 0;
  ParseMillis(Text(name), &number);
  return std::chrono::milliseconds(number);
}

double Settings::Ratio(const std::string& name) const {
  double ratio = 0;
  ParseRatio(Text(name), &ratio);
  return ratio;
}

Endpoint Settings::Address(const std::string& name) const {
  return ParseEndpoint(Text(name));
}

std::vector<Endpoint> Settings::Addresses(const std::string& name) const {
  std::vector<Endpoint> endpoints;
  for (const std::string& part : SplitList(Text(name))) {
    endpoints.push_back(ParseEndpoint(part));
  }
  return endpoints;
}

bool Settings::Flag(const std::string& name) const { return Text(name) == "true"; }

std::string Settings::Describe() const {
  std::ostringstream out;
  for (const auto& [name, value] : values_) {
    out << name << " = " << value.text << "  (" << value.source << ")\n";
  }
  return out.str();
}

std::string VariableName(const std::string& setting) {
  std::string name = kVariablePrefix;
  for (char c : setting) {
    name +=
        c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return name;
}

std::string DescribeAllowed(const SettingSpec& spec) {
  switch (spec.kind) {
    case SettingKind::kRatio:
      return "0 to 1";
    case SettingKind::kInteger:
    case SettingKind::kRoundedDown:
    case SettingKind::kMillis: {
      std::string text = std::to_string(spec.min) + " to " + std::to_string(spec.max);
      return spec.unit.empty() ? text : text + " " + spec.unit;
    }
    case SettingKind::kEndpoint:
      return "IP-number:port";
    case SettingKind::kEndpointList:
      return "IP-number:port, separated by commas";
    case SettingKind::kFolder:
      return "an existing folder that can be written";
    case SettingKind::kFlag:
      return "true or false";
    case SettingKind::kText:
      return "text";
  }
  return "";
}

SettingsReader::SettingsReader(std::string program, std::string summary,
                               std::vector<SettingSpec> specs)
    : program_(std::move(program)),
      summary_(std::move(summary)),
      specs_(std::move(specs)) {}

std::string SettingsReader::HelpText() const {
  std::ostringstream out;
  out << program_ << ": " << summary_
      << "\n\nSettings (flag, variable, allowed, default):\n";
  for (const SettingSpec& spec : specs_) {
    out << "  --" << spec.name << "  " << VariableName(spec.name) << "  "
        << DescribeAllowed(spec);
    if (spec.required) out << "  required";
    if (!spec.default_value.empty()) out << "  default " << spec.default_value;
    out << "\n      " << spec.help << "\n";
  }
  out << "  --help  --version  --check-settings\n";
  return out.str();
}

SettingsOutcome SettingsReader::Read(
    int argc, char* const argv[],
    const std::map<std::string, std::string>& environment) const {
  SettingsOutcome outcome;
  for (const SettingSpec& spec : specs_) {
    Settings::Value value{spec.default_value, "default"};
    auto it = environment.find(VariableName(spec.name));
    if (it != environment.end()) value = {it->second, "variable " + it->first};
    outcome.settings.values_[spec.name] = value;
  }

  constexpr int kHelp = 1000;
  constexpr int kVersion = 1001;
  constexpr int kCheck = 1002;
  std::vector<option> options;
  for (std::size_t n = 0; n < specs_.size(); ++n) {
    const bool flag = specs_[n].kind == SettingKind::kFlag;
    options.push_back({specs_[n].name.c_str(),
                       flag ? optional_argument : required_argument, nullptr,
                       static_cast<int>(n)});
  }
  options.push_back({"help", no_argument, nullptr, kHelp});
  options.push_back({"version", no_argument, nullptr, kVersion});
  options.push_back({"check-settings", no_argument, nullptr, kCheck});
  options.push_back({nullptr, 0, nullptr, 0});

  bool check_only = false;
  std::ostringstream errors;
  std::vector<char*> args(argv, argv + argc);
  args.push_back(nullptr);
  optind = 0;
  opterr = 0;
  for (;;) {
    const int c = getopt_long(argc, args.data(), ":", options.data(), nullptr);
    if (c == -1) break;
    if (c == kHelp || c == kVersion) {
      outcome.action = StartAction::kExit;
      outcome.output = c == kHelp ? HelpText() : program_ + " " + QUETZAL_VERSION + "\n";
      return outcome;
    }
    if (c == kCheck) {
      check_only = true;
    } else if (c == '?' || c == ':') {
      errors << "flag " << args[optind - 1]
             << (c == ':' ? ": a value is missing\n" : ": no such setting\n");
    } else {
      const std::string& name = specs_[c].name;
      outcome.settings.values_[name] = {optarg ? optarg : "true", "flag --" + name};
    }
  }
  for (int n = optind; n < argc; ++n) outcome.settings.arguments_.emplace_back(args[n]);

  for (const SettingSpec& spec : specs_) {
    const Settings::Value& value = outcome.settings.values_[spec.name];
    const std::string problem = CheckValue(spec, value.text);
    if (problem.empty()) continue;
    errors << spec.name << " (" << value.source << ") '" << value.text << "' " << problem
           << "; allowed: " << DescribeAllowed(spec) << "\n";
  }
  outcome.errors = errors.str();
  if (!outcome.errors.empty()) {
    outcome.action = StartAction::kExit;
    outcome.exit_code = kExitSettings;
  } else if (check_only) {
    outcome.action = StartAction::kExit;
    outcome.output = outcome.settings.Describe();
  }
  return outcome;
}

std::map<std::string, std::string> ProcessEnvironment() {
  std::map<std::string, std::string> variables;
  for (char** it = environ; *it != nullptr; ++it) {
    const std::string entry = *it;
    const std::size_t equals = entry.find('=');
    if (equals != std::string::npos) {
      variables[entry.substr(0, equals)] = entry.substr(equals + 1);
    }
  }
  return variables;
}

int ExitCodeOf(ResultCode code) {
  switch (code) {
    case ResultCode::kPortTaken:
      return kExitPortTaken;
    case ResultCode::kFolderMissing:
    case ResultCode::kDiskFull:
    case ResultCode::kDiskFailed:
    case ResultCode::kLogCorrupt:
      return kExitFolder;
    case ResultCode::kSettingsInvalid:
      return kExitSettings;
    default:
      return kExitFailure;
  }
}

}  // namespace quetzal
