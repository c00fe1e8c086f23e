#ifndef QUETZAL_CONFIGURATION_NAMED_LIST_H_
#define QUETZAL_CONFIGURATION_NAMED_LIST_H_

#include <algorithm>
#include <string>

namespace quetzal {

/// Returns the entry of `list` with the name `name`; null when there is none.
template <class List>
const typename List::value_type* FindNamed(const List& list, const std::string& name) {
  for (const auto& entry : list) {
    if (entry.name() == name) return &entry;
  }
  return nullptr;
}

template <class List>
void EraseNamed(const std::string& name, List* list) {
  list->erase(std::remove_if(list->begin(), list->end(),
                             [&](const auto& entry) { return entry.name() == name; }),
              list->end());
}

/// Adds `entry`, replacing one with the same name, and sorts the list by name.
template <class List, class Entry>
void PutNamed(const Entry& entry, List* list) {
  EraseNamed(entry.name(), list);
  *list->Add() = entry;
  std::sort(list->begin(), list->end(),
            [](const auto& a, const auto& b) { return a.name() < b.name(); });
}

/// Returns true when `list` contains `text`.
template <class List>
bool Contains(const List& list, const std::string& text) {
  return std::find(list.begin(), list.end(), text) != list.end();
}

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_NAMED_LIST_H_
