#ifndef QUETZAL_KERNEL_PLUGIN_REGISTRY_H_
#define QUETZAL_KERNEL_PLUGIN_REGISTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/result_code.h"

namespace quetzal {

/// Plug-ins that implement one interface, by name. A plug-in registers itself with a
/// static `PluginRegistration` object; `Arguments` are the dependencies that its factory
/// takes.
template <class Interface, class... Arguments>
class PluginRegistry {
 public:
  using Factory = std::function<std::unique_ptr<Interface>(Arguments...)>;

  static PluginRegistry& Instance() {
    static auto* const registry = new PluginRegistry;
    return *registry;
  }

  void Register(const std::string& name, Factory factory) {
    factories_[name] = std::move(factory);
  }

  /// Throws Error(kSettingsInvalid) when no plug-in has this name.
  std::unique_ptr<Interface> Create(const std::string& name,
                                    Arguments... arguments) const {
    auto it = factories_.find(name);
    if (it == factories_.end()) {
      throw Error(ResultCode::kSettingsInvalid, "no plug-in is named '" + name + "'");
    }
    return it->second(std::forward<Arguments>(arguments)...);
  }

  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, factory] : factories_) names.push_back(name);
    return names;
  }

 private:
  std::map<std::string, Factory> factories_;
};

/// Registers a factory when a static object of this type is constructed.
template <class Registry>
class PluginRegistration {
 public:
  PluginRegistration(const std::string& name, typename Registry::Factory factory) {
    Registry::Instance().Register(name, std::move(factory));
  }
};

}  // namespace quetzal

#endif  // QUETZAL_KERNEL_PLUGIN_REGISTRY_H_
