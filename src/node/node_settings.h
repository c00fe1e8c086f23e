#ifndef QUETZAL_NODE_NODE_SETTINGS_H_
#define QUETZAL_NODE_NODE_SETTINGS_H_

#include "base/settings.h"

namespace quetzal {

/// Reader of the settings of quetzal-node.
SettingsReader NodeSettingsReader();

}  // namespace quetzal

#endif  // QUETZAL_NODE_NODE_SETTINGS_H_
