#include "control/departure_register.h"

#include <algorithm>

namespace quetzal {
namespace {

/// A node has one backend server at a time; a few of its predecessors are enough.
constexpr int kMaxDepartures = 16;

const ServerDeparture* Find(const InstanceDepartures& instance, const std::string& id) {
  const auto& departures = instance.departures();
  const auto it = std::find_if(departures.begin(), departures.end(),
                               [&id](const ServerDeparture& d) { return d.id() == id; });
  return it == departures.end() ? nullptr : &*it;
}

}  // namespace

void DepartureRegister::Add(std::uint64_t index, const RecordDeparture& departure) {
  if (Covers(departure)) return;
  InstanceDepartures& instance = instances_[departure.instance()];
  instance.set_instance(departure.instance());
  instance.set_index(index);
  auto* departures = instance.mutable_departures();
  const std::string& id = departure.departure().id();
  departures->erase(
      std::remove_if(departures->begin(), departures->end(),
                     [&id](const ServerDeparture& d) { return d.id() == id; }),
      departures->end());
  if (departures->size() >= kMaxDepartures) departures->erase(departures->begin());
  *departures->Add() = departure.departure();
  if (instances_.size() <= max_instances_) return;
  instances_.erase(std::min_element(
      instances_.begin(), instances_.end(),
      [](const auto& a, const auto& b) { return a.second.index() < b.second.index(); }));
}

bool DepartureRegister::Covers(const RecordDeparture& departure) const {
  const auto it = instances_.find(departure.instance());
  if (it == instances_.end()) return false;
  const ServerDeparture* known = Find(it->second, departure.departure().id());
  return known != nullptr &&
         known->last_start_ms() >= departure.departure().last_start_ms();
}

std::vector<ServerDeparture> DepartureRegister::Of(const std::string& instance) const {
  const auto it = instances_.find(instance);
  if (it == instances_.end()) return {};
  return {it->second.departures().begin(), it->second.departures().end()};
}

void DepartureRegister::WriteTo(ControlState* state) const {
  for (const auto& [name, instance] : instances_) *state->add_departures() = instance;
}

void DepartureRegister::ReadFrom(const ControlState& state) {
  instances_.clear();
  for (const InstanceDepartures& it : state.departures()) instances_[it.instance()] = it;
}

}  // namespace quetzal
