#ifndef QUETZAL_CONTROL_ORDER_CONTENT_H_
#define QUETZAL_CONTROL_ORDER_CONTENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "control.pb.h"

namespace quetzal {

/// Identifies a document among the orders of one number.
std::string DigestOfDocument(const std::string& document);

/// The last order that an instance has applied.
struct AppliedOrder {
  std::uint64_t number = 0;  ///< 0: none yet.
  std::string_view content;  ///< A serialized ReplacedContent.
};

/// Returns `order` with its content compressed, as the log keeps it. `applied` may be
/// older or newer than the base of the order. Throws Error(kInternalError).
ReplaceConfiguration PackOrder(const ReplaceConfiguration& order,
                               const AppliedOrder& applied);

/// Sets `content` to that of a packed order and returns it serialized. `applied` must be
/// the base of the order. Throws Error(kMessageMalformed) when the result is not the
/// content that was packed.
std::string UnpackOrder(const ReplaceConfiguration& order, const AppliedOrder& applied,
                        ReplacedContent* content);

}  // namespace quetzal

#endif  // QUETZAL_CONTROL_ORDER_CONTENT_H_
