#include "control/intent_machine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "base/concat.h"
#include "base/result_code.h"
#include "configuration/configuration_check.h"
#include "configuration/key_groups_change.h"
#include "configuration/plan.h"
#include "configuration/version.h"
#include "control/control_group_plan.h"
#include "control/intent_record.h"

namespace quetzal {
namespace {

constexpr std::size_t kMaxNamedChanges = 5;

std::uint64_t FingerprintOf(const IntentContent& content) {
  const std::string bytes = content.SerializeAsString();
  return XXH3_64bits(bytes.data(), bytes.size());
}

bool MustBeKept(const IntentRecord& record) {
  return IsOpen(record) || IsUnderWay(record);
}

/// Adds sentences up to `max_bytes` in total, then the number of omitted ones.
template <class Sentences, class Add>
void AddBoundedSentences(const Sentences& sentences, std::size_t max_bytes,
                         const Add& add) {
  std::size_t bytes = 0;
  std::size_t added = 0;
  for (const std::string& sentence : sentences) {
    bytes += sentence.size();
    if (bytes > max_bytes) break;
    add(sentence);
    ++added;
  }
  const std::size_t omitted = static_cast<std::size_t>(sentences.size()) - added;
  if (omitted > 0) add(Concat("And ", omitted, " more."));
}

std::string NameOf(const Version& version) {
  return Concat("configuration ", version.index());
}

}  // namespace

IntentMachine::IntentMachine(Listener listener, IntentRetention retention)
    : listener_(std::move(listener)),
      retention_(retention),
      configuration_(std::make_shared<const Configuration>()),
      departures_(retention.departing_instances) {}

std::string IntentMachine::Apply(const LogPosition& position, const std::string& entry) {
  Version at;
  at.set_term(position.term);
  at.set_index(position.index);
  ControlEntry parsed;
  ControlResult result;
  std::shared_ptr<const Configuration> published;
  {
    std::lock_guard lock(mutex_);
    if (parsed.ParseFromString(entry)) {
      result = ApplyEntry(at, parsed);
    } else {
      result = MakeResult(ResultCode::kMessageMalformed, "The log entry is malformed.");
    }
    if (IsSameVersion(version_, at)) published = configuration_;
  }
  if (published != nullptr && listener_) listener_(at, std::move(published));
  return result.SerializeAsString();
}

ControlResult IntentMachine::ApplyEntry(const Version& at, const ControlEntry& entry) {
  switch (entry.kind_case()) {
    case ControlEntry::kDeclare:
      return Declare(at, entry);
    case ControlEntry::kConfirm:
      return Confirm(at, entry);
    case ControlEntry::kCancel:
      return Cancel(entry);
    case ControlEntry::kSystem:
      return ChangeBySystem(at, entry);
    case ControlEntry::kOutcome:
      return EndGroupChange(at, entry);
    case ControlEntry::kReplace:
      return Replace(at, entry);
    case ControlEntry::kStartRollout:
      return StartRolloutOf(at, entry);
    case ControlEntry::kAdvanceRollout:
      return AdvanceRolloutOf(at, entry);
    case ControlEntry::kRecordDeparture:
      departures_.Add(at.index(), entry.record_departure());
      return MakeResult(ResultCode::kOk, "");
    case ControlEntry::KIND_NOT_SET:
      break;
  }
  return MakeResult(ResultCode::kMessageMalformed, "The log entry has no known kind.");
}

ControlResult IntentMachine::Declare(const Version& /*at*/, const ControlEntry& entry) {
  const DeclareIntent& declare = entry.declare();
  IntentId id;
  try {
    id = ParseIntentId(declare.id());
  } catch (const Error& error) {
    return MakeResult(error.code(), error.what());
  }
  const std::uint64_t fingerprint = FingerprintOf(declare.content());
  if (const IntentRecord* existing = FindLocked(declare.id())) {
    if (existing->fingerprint() == fingerprint) return ResultFor(*existing);
    return MakeResult(
        ResultCode::kIntentIdReused,
        Concat("The intent id ", declare.id(),
               " belongs to a different intent; this one was not accepted."));
  }
  if (id.number <= expired_up_to_) return MissingResultLocked(declare.id());
  // All ids up to the number of an expired record count as expired, so a number far ahead
  // would later bar the ids below it.
  if (id.number > declared_count_ + 1) {
    return MakeResult(
        ResultCode::kIntentMalformed,
        Concat("The intent id ", declare.id(),
               " has a number that is too high; the highest number allowed now is ",
               declared_count_ + 1, "."));
  }

  ++declared_count_;
  IntentRecord record;
  record.set_id(declare.id());
  record.set_fingerprint(fingerprint);
  record.set_description(declare.content().description());
  record.set_declared_micros(entry.wall_micros());
  *record.mutable_base() = operator_version_;
  AddBoundedSentences(declare.warnings(), retention_.sentence_bytes,
                      [&](const std::string& warning) { record.add_warnings(warning); });
  try {
    if (declare.content().has_control_instance()) {
      PlanGroupChangeLocked(declare, &record);
    } else {
      const Plan plan = MakePlan(*configuration_, declare.content());
      AddBoundedSentences(plan.Describe(), retention_.sentence_bytes,
                          [&](const std::string& step) { record.add_steps(step); });
    }
    *record.mutable_content() = declare.content();
  } catch (const Error& error) {
    CloseIntent(INTENT_REFUSED, error.code(), error.what(), entry.wall_micros(), &record);
  }
  ControlResult result = ResultFor(record);
  records_[{id.number, declare.id()}] = std::move(record);
  CloseOldestPlanLocked(entry.wall_micros());
  ExpireClosedLocked();
  return result;
}

ControlResult IntentMachine::Confirm(const Version& at, const ControlEntry& entry) {
  IntentRecord* record = FindLocked(entry.confirm().id());
  if (record == nullptr) return MissingResultLocked(entry.confirm().id());
  if (!IsOpen(*record)) return ResultFor(*record);
  const std::uint64_t micros = entry.wall_micros();
  if (record->has_control_instance()) {
    ControlResult result = ConfirmGroupChangeLocked(entry, record);
    ExpireClosedLocked();
    return result;
  }
  if (!IsSameVersion(record->base(), operator_version_)) {
    RefuseOutdatedLocked(micros, record);
    ControlResult result = ResultFor(*record);
    ExpireClosedLocked();
    return result;
  }
  // Orders replace services and routes; rollouts remain with operators as well.
  if (order_number_ > 0 && !record->content().has_rollout()) {
    CloseIntent(INTENT_NOT_RUN, ResultCode::kNotRun,
                "Not run: this configuration is replaced as a whole by its operators.",
                micros, record);
    return ResultFor(*record);
  }
  Plan plan;
  try {
    plan = MakePlan(*configuration_, record->content());
  } catch (const Error& error) {
    CloseIntent(INTENT_NOT_RUN, ResultCode::kNotRun, error.what(), micros, record);
    return ResultFor(*record);
  }
  if (record->content().has_rollout() && !StampRolloutPlan(at, micros, *record, &plan)) {
    CloseIntent(INTENT_NOT_RUN, ResultCode::kPlanOutdated,
                "Not run: the rollout changed after the plan was made. Declare it again "
                "under a new id.",
                micros, record);
    ControlResult result = ResultFor(*record);
    ExpireClosedLocked();
    return result;
  }
  CloseIntent(INTENT_CONFIRMED, ResultCode::kOk, "", micros, record);
  if (!plan.changes.empty()) {
    SetConfigurationLocked(at, std::move(plan.result));
    operator_version_ = at;
    HistoryItem item;
    *item.mutable_version() = at;
    item.set_wall_micros(micros);
    item.set_intent(record->id());
    item.set_reason(record->description());
    *item.mutable_steps() = record->steps();
    AddHistoryLocked(std::move(item));
  }
  *record->mutable_confirmed() = version_;
  ControlResult result = ResultFor(*record);
  ExpireClosedLocked();
  return result;
}

void IntentMachine::RefuseOutdatedLocked(std::uint64_t micros, IntentRecord* record) {
  CloseIntent(
      INTENT_NOT_RUN, ResultCode::kPlanOutdated,
      Concat("Not run: the plan was made for ", NameOf(record->base()),
             ", but meanwhile ", ChangesSinceLocked(record->base()),
             ". Declare it again under a new id to get a plan for what is in force "
             "now."),
      micros, record);
}

std::string IntentMachine::ChangesSinceLocked(const Version& since) const {
  std::string text;
  std::size_t n = 0;
  for (const HistoryItem& item : history_) {
    if (item.intent().empty() || item.group_only()) continue;
    if (!IsEarlier(since, item.version())) continue;
    if (++n > kMaxNamedChanges) continue;
    text += Concat(text.empty() ? "" : ", ", "intent ", item.intent(), " was confirmed (",
                   NameOf(item.version()), ")");
  }
  if (n > kMaxNamedChanges) text += Concat(" and ", n - kMaxNamedChanges, " more");
  return text.empty() ? "other intents were confirmed" : text;
}

ControlResult IntentMachine::Cancel(const ControlEntry& entry) {
  IntentRecord* record = FindLocked(entry.cancel().id());
  if (record == nullptr) return MissingResultLocked(entry.cancel().id());
  if (IsOpen(*record)) {
    CloseIntent(INTENT_CANCELLED, ResultCode::kPlanCancelled,
                "Not run: the plan was cancelled before it was confirmed.",
                entry.wall_micros(), record);
  }
  ControlResult result = ResultFor(*record);
  if (record->state() == INTENT_CANCELLED) {
    result.set_code(static_cast<int>(ResultCode::kOk));
  } else if (record->state() == INTENT_CONFIRMED) {
    result.set_code(static_cast<int>(ResultCode::kIntentConfirmed));
    result.set_message("The intent was confirmed before; it cannot be cancelled.");
  }
  ExpireClosedLocked();
  return result;
}

ControlResult IntentMachine::ChangeBySystem(const Version& at,
                                            const ControlEntry& entry) {
  const SystemChange& system = entry.system();
  if (!IsSameVersion(system.base(), version_)) {
    return MakeResult(ResultCode::kPlanOutdated, "The configuration changed meanwhile.");
  }
  const KeyGroupsChange change({system.key_groups().begin(), system.key_groups().end()});
  Configuration configuration = *configuration_;
  change.Apply(&configuration);
  try {
    CheckConfiguration(configuration);
  } catch (const Error& error) {
    return MakeResult(error.code(), error.what());
  }
  SetConfigurationLocked(at, std::move(configuration));
  HistoryItem item;
  *item.mutable_version() = at;
  item.set_wall_micros(entry.wall_micros());
  item.set_reason(system.reason());
  item.add_steps(change.Describe());
  AddHistoryLocked(std::move(item));
  return MakeResult(ResultCode::kOk, "");
}

IntentRecord* IntentMachine::FindLocked(const std::string& id) {
  try {
    const auto it = records_.find({ParseIntentId(id).number, id});
    return it == records_.end() ? nullptr : &it->second;
  } catch (const Error&) {
    return nullptr;
  }
}

ControlResult IntentMachine::MissingResultLocked(const std::string& id) const {
  try {
    if (ParseIntentId(id).number <= expired_up_to_) {
      return MakeResult(
          ResultCode::kIntentIdExpired,
          Concat("The intent id ", id, " is older than those that are kept (",
                 "numbers up to ", expired_up_to_,
                 " have expired). Its outcome is in the history; this request ",
                 "changed nothing."));
    }
  } catch (const Error& error) {
    return MakeResult(error.code(), error.what());
  }
  return MakeResult(ResultCode::kIntentUnknown, Concat("No intent has the id ", id, "."));
}

void IntentMachine::SetConfigurationLocked(const Version& at,
                                           Configuration configuration) {
  configuration_ = std::make_shared<const Configuration>(std::move(configuration));
  version_ = at;
}

void IntentMachine::AddHistoryLocked(HistoryItem item) {
  history_.push_back(std::move(item));
  if (history_.size() > retention_.history_items) history_.erase(history_.begin());
}

void IntentMachine::CloseOldestPlanLocked(std::uint64_t micros) {
  IntentRecord* oldest = nullptr;
  std::size_t open = 0;
  for (auto& [key, record] : records_) {
    if (!IsOpen(record)) continue;
    if (oldest == nullptr) oldest = &record;
    ++open;
  }
  if (open <= retention_.open_plans) return;
  CloseIntent(INTENT_NOT_RUN, ResultCode::kNotRun,
              "Not run: too many newer plans were waiting to be confirmed.", micros,
              oldest);
}

void IntentMachine::ExpireClosedLocked() {
  std::size_t closed = 0;
  for (const auto& [key, record] : records_) closed += MustBeKept(record) ? 0 : 1;
  for (auto it = records_.begin();
       it != records_.end() && closed > retention_.closed_intents;) {
    if (MustBeKept(it->second)) {
      ++it;
      continue;
    }
    expired_up_to_ = std::max(expired_up_to_, it->first.first);
    it = records_.erase(it);
    --closed;
  }
}

std::string IntentMachine::TakeSnapshot() const {
  std::lock_guard lock(mutex_);
  ControlState state;
  *state.mutable_configuration() = *configuration_;
  *state.mutable_version() = version_;
  *state.mutable_operator_version() = operator_version_;
  state.set_declared(declared_count_);
  state.set_forgotten(expired_up_to_);
  for (const auto& [key, record] : records_) *state.add_intents() = record;
  for (const HistoryItem& item : history_) *state.add_history() = item;
  state.set_order_number(order_number_);
  state.set_replaced_content(replaced_content_);
  for (const AcceptedOrder& order : accepted_orders_) {
    *state.add_accepted_orders() = order;
  }
  departures_.WriteTo(&state);
  return state.SerializeAsString();
}

void IntentMachine::RestoreSnapshot(const LogPosition& /*position*/,
                                    const std::string& snapshot) {
  ControlState state;
  if (!state.ParseFromString(snapshot)) {
    throw Error(ResultCode::kLogCorrupt, "the snapshot of the intents cannot be read");
  }
  std::shared_ptr<const Configuration> configuration =
      std::make_shared<const Configuration>(state.configuration());
  {
    std::lock_guard lock(mutex_);
    configuration_ = configuration;
    version_ = state.version();
    operator_version_ = state.operator_version();
    declared_count_ = state.declared();
    expired_up_to_ = state.forgotten();
    records_.clear();
    for (const IntentRecord& record : state.intents()) {
      records_[{ParseIntentId(record.id()).number, record.id()}] = record;
    }
    history_.assign(state.history().begin(), state.history().end());
    order_number_ = state.order_number();
    replaced_content_ = state.replaced_content();
    accepted_orders_.assign(state.accepted_orders().begin(),
                            state.accepted_orders().end());
    departures_.ReadFrom(state);
  }
  if (state.version().index() > 0 && listener_) {
    listener_(state.version(), std::move(configuration));
  }
}

std::vector<ServerDeparture> IntentMachine::DeparturesOf(
    const std::string& instance) const {
  std::lock_guard lock(mutex_);
  return departures_.Of(instance);
}

bool IntentMachine::Covers(const RecordDeparture& departure) const {
  std::lock_guard lock(mutex_);
  return departures_.Covers(departure);
}

std::optional<IntentRecord> IntentMachine::Find(const std::string& id) const {
  std::lock_guard lock(mutex_);
  for (const auto& [key, record] : records_) {
    if (key.second == id) return record;
  }
  return std::nullopt;
}

ControlResult IntentMachine::MissingResult(const std::string& id) const {
  std::lock_guard lock(mutex_);
  return MissingResultLocked(id);
}

std::vector<IntentRecord> IntentMachine::OpenIntents() const {
  std::lock_guard lock(mutex_);
  std::vector<IntentRecord> open;
  for (const auto& [key, record] : records_) {
    if (IsOpen(record)) open.push_back(record);
  }
  return open;
}

std::vector<HistoryItem> IntentMachine::History(std::size_t max) const {
  std::lock_guard lock(mutex_);
  const std::size_t n = std::min(max, history_.size());
  return {history_.rbegin(), history_.rbegin() + static_cast<std::ptrdiff_t>(n)};
}

std::vector<HistoryItem> IntentMachine::HistorySince(const Version& since) const {
  std::lock_guard lock(mutex_);
  std::vector<HistoryItem> items;
  for (const HistoryItem& item : history_) {
    if (IsEarlier(since, item.version())) items.push_back(item);
  }
  return items;
}

std::string IntentMachine::IntentConfirmedAs(const Version& version) const {
  std::lock_guard lock(mutex_);
  const auto it = std::find_if(
      history_.rbegin(), history_.rend(),
      [&](const HistoryItem& item) { return IsSameVersion(item.version(), version); });
  return it == history_.rend() ? "" : it->intent();
}

Version IntentMachine::version() const {
  std::lock_guard lock(mutex_);
  return version_;
}

std::shared_ptr<const Configuration> IntentMachine::configuration() const {
  std::lock_guard lock(mutex_);
  return configuration_;
}

std::uint64_t IntentMachine::next_number() const {
  std::lock_guard lock(mutex_);
  return declared_count_ + 1;
}

}  // namespace quetzal
