#include "distribution/ack_table.h"

#include <algorithm>

#include "membership/version_order.h"

namespace quetzal {

namespace {

bool SameCounts(const NodeAck& a, const NodeAck& b) {
  if (a.version_counts_size() != b.version_counts_size()) return false;
  for (int n = 0; n < a.version_counts_size(); ++n) {
    if (a.version_counts(n).SerializeAsString() !=
        b.version_counts(n).SerializeAsString()) {
      return false;
    }
  }
  return true;
}

bool IsDeadOrLeft(MemberState state) {
  return state == MEMBER_DEAD || state == MEMBER_LEFT;
}

bool SameReport(const NodeAck& a, const NodeAck& b) {
  return a.incarnation() == b.incarnation() && IsSame(a.held(), b.held()) &&
         a.state() == b.state() && a.service() == b.service() &&
         a.refused_code() == b.refused_code() && IsSame(a.refused(), b.refused()) &&
         a.stream_address() == b.stream_address() && SameCounts(a, b);
}

}  // namespace

void AckTable::MarkChanged(Report* report) {
  if (!report->changed) ++changes_;
  report->changed = true;
}

std::uint64_t AckTable::AgeMs(const Report& report, SteadyTime now) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now - report.reported_at)
          .count());
}

void AckTable::RecordAck(const NodeAck& ack, SteadyTime now) {
  Report& report = reports_[ack.instance()];
  if (ack.incarnation() < report.ack.incarnation()) return;
  const SteadyTime reported_at = now - std::chrono::milliseconds(ack.age_ms());
  // Within one incarnation the applied version only grows, so it orders reports more
  // reliably than their arrival times.
  const bool later = IsOlder(report.ack.held(), ack.held());
  const bool earlier = IsOlder(ack.held(), report.ack.held());
  if (ack.incarnation() == report.ack.incarnation() && !later &&
      (earlier || reported_at < report.reported_at)) {
    return;
  }
  const bool same = SameReport(ack, report.ack);
  report.ack = ack;
  report.reported_at = reported_at;
  if (!same) MarkChanged(&report);
}

void AckTable::RecordMemberState(const Member& member, SteadyTime now) {
  auto it = reports_.find(member.instance());
  if (it == reports_.end()) {
    if (!IsDeadOrLeft(member.state())) return;
    Report report;
    report.ack.set_instance(member.instance());
    report.ack.set_incarnation(member.incarnation());
    report.ack.set_data_centre(member.data_centre());
    report.ack.set_stream_address(member.stream_address());
    report.ack.set_state(member.state());
    report.reported_at = now;
    MarkChanged(&(reports_[member.instance()] = report));
    return;
  }
  Report& report = it->second;
  if (member.incarnation() < report.ack.incarnation()) return;
  if (report.ack.state() == member.state()) return;
  if (!IsDeadOrLeft(member.state()) && !IsDeadOrLeft(report.ack.state())) return;
  if (member.incarnation() != report.ack.incarnation()) {
    // The version applied by an earlier incarnation does not hold for this one.
    report.ack.clear_held();
    report.ack.clear_refused();
    report.ack.clear_refused_code();
    report.reported_at = now;
  }
  report.ack.set_incarnation(member.incarnation());
  report.ack.set_state(member.state());
  MarkChanged(&report);
}

Acks AckTable::TakeChanged(bool all, SteadyTime now) {
  Acks acks;
  for (auto& [name, report] : reports_) {
    if (!all && !report.changed) continue;
    report.changed = false;
    NodeAck* ack = acks.add_acks();
    *ack = report.ack;
    ack->set_age_ms(AgeMs(report, now));
  }
  changes_ = 0;
  return acks;
}

Acks AckTable::Ages(SteadyTime now) const {
  Acks acks;
  for (const auto& [name, report] : reports_) {
    if (report.changed) continue;
    NodeAck* ack = acks.add_acks();
    ack->set_instance(name);
    ack->set_incarnation(report.ack.incarnation());
    ack->set_unchanged(true);
    ack->set_age_ms(AgeMs(report, now));
  }
  return acks;
}

void AckTable::ExpireOlderThan(Duration age, SteadyTime now) {
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (IsDeadOrLeft(it->second.ack.state()) || now - it->second.reported_at <= age) {
      ++it;
      continue;
    }
    if (it->second.changed) --changes_;
    it = reports_.erase(it);
  }
}

void AckTable::ExpireUnknown(const MemberTable& table) {
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (!IsDeadOrLeft(it->second.ack.state()) || table.Find(it->first) != nullptr) {
      ++it;
      continue;
    }
    if (it->second.changed) --changes_;
    it = reports_.erase(it);
  }
}

}  // namespace quetzal
