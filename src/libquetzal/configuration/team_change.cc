#include "configuration/team_change.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <utility>
#include <vector>

#include "base/concat.h"
#include "configuration/named_list.h"

namespace quetzal {
namespace {

std::string FormatNumber(double number) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.10g", number);
  return text;
}

std::string FormatKeys(std::size_t count) {
  if (count == 0) return "no key";
  return Concat(count, count == 1 ? " key" : " keys");
}

std::string DescribeQuota(const Team& team) {
  if (team.requests_per_second() <= 0) return "no quota";
  return Concat(
      "a quota of ", FormatNumber(team.requests_per_second()), " requests a second",
      team.burst() > 0 ? Concat(" and a burst of ", FormatNumber(team.burst())) : "");
}

std::string DescribePriority(const Team& team) {
  return team.has_priority() ? Concat("priority ", team.priority())
                             : "the priority of each route";
}

/// Number of credentials of `team` that `other` does not have.
std::size_t CountMissing(const Team& team, const Team& other) {
  std::vector<std::string> missing;
  std::set_difference(team.credential_digests().begin(), team.credential_digests().end(),
                      other.credential_digests().begin(),
                      other.credential_digests().end(), std::back_inserter(missing));
  return missing.size();
}

void Append(const std::string& part, std::string* text) {
  *text += Concat(text->empty() ? "" : ", ", part);
}

std::string DescribeDifference(const Team& before, const Team& after) {
  std::string text;
  const std::size_t added = CountMissing(after, before);
  const std::size_t withdrawn = CountMissing(before, after);
  if (added > 0) Append(FormatKeys(added) + " added", &text);
  if (withdrawn > 0) Append(FormatKeys(withdrawn) + " withdrawn", &text);
  if (DescribeQuota(before) != DescribeQuota(after)) {
    Append(Concat(DescribeQuota(after), " (before: ", DescribeQuota(before), ")"), &text);
  }
  if (DescribePriority(before) != DescribePriority(after)) {
    Append(Concat(DescribePriority(after), " (before: ", DescribePriority(before), ")"),
           &text);
  }
  return text.empty() ? "no effect" : text;
}

}  // namespace

TeamChange::TeamChange(std::optional<Team> before, std::optional<Team> after)
    : before_(std::move(before)), after_(std::move(after)) {}

void TeamChange::Apply(Configuration* configuration) const {
  if (after_) {
    PutNamed(*after_, configuration->mutable_teams());
  } else {
    EraseNamed(before_->name(), configuration->mutable_teams());
  }
}

std::string TeamChange::Describe() const {
  if (!after_) {
    return Concat(
        "Remove the team '", before_->name(),
        "': ", FormatKeys(static_cast<std::size_t>(before_->credential_digests_size())),
        " withdrawn.");
  }
  if (!before_) {
    return Concat("Team '", after_->name(), "' gets ",
                  FormatKeys(static_cast<std::size_t>(after_->credential_digests_size())),
                  " and ", DescribeQuota(*after_),
                  after_->has_priority() ? ", " + DescribePriority(*after_) : "", ".");
  }
  return Concat("Change the team '", after_->name(),
                "': ", DescribeDifference(*before_, *after_), ".");
}

}  // namespace quetzal
