#include "calls/caller_credential.h"

#include <algorithm>
#include <cctype>

#include "configuration/credential.h"

namespace quetzal {
namespace {

constexpr std::string_view kScheme = "bearer";

bool IsSpace(char c) { return c == ' ' || c == '\t'; }

/// Returns the credential of a field's value; empty when it is malformed.
std::string_view ParseBearer(std::string_view value) {
  while (!value.empty() && IsSpace(value.front())) value.remove_prefix(1);
  while (!value.empty() && IsSpace(value.back())) value.remove_suffix(1);
  if (value.size() <= kScheme.size() || !IsSpace(value[kScheme.size()])) return {};
  const std::string_view scheme = value.substr(0, kScheme.size());
  const bool is_bearer = std::equal(
      scheme.begin(), scheme.end(), kScheme.begin(),
      [](char x, char y) { return std::tolower(static_cast<unsigned char>(x)) == y; });
  if (!is_bearer) return {};
  value.remove_prefix(kScheme.size());
  while (!value.empty() && IsSpace(value.front())) value.remove_prefix(1);
  return IsLegalCredential(value) ? value : std::string_view();
}

}  // namespace

CallerCredential ReadBearerCredential(const StreamHeaders& headers,
                                      std::string_view field) {
  using State = CallerCredential::State;
  CallerCredential credential;
  for (const auto& [name, value] : headers) {
    if (name != field) continue;
    const std::string_view text = ParseBearer(value);
    const bool differs = credential.state == State::kPresented && credential.text != text;
    if (text.empty() || differs) return {State::kMalformed, ""};
    credential.state = State::kPresented;
    credential.text = text;
  }
  return credential;
}

void RemoveField(std::string_view name, StreamHeaders* headers) {
  headers->erase(
      std::remove_if(headers->begin(), headers->end(),
                     [name](const auto& field) { return field.first == name; }),
      headers->end());
}

}  // namespace quetzal
