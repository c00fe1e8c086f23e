#ifndef QUETZAL_BASE_CONCAT_H_
#define QUETZAL_BASE_CONCAT_H_

#include <string>
#include <string_view>
#include <type_traits>

namespace quetzal {

/// Returns the concatenated parts; numbers are written in decimal.
template <class... Parts>
std::string Concat(const Parts&... parts) {
  std::string text;
  const auto append = [&text](const auto& part) {
    using Part = std::decay_t<decltype(part)>;
    if constexpr (std::is_arithmetic_v<Part>) {
      text += std::to_string(part);
    } else {
      const std::string_view view = part;
      text += view;
    }
  };
  (append(parts), ...);
  return text;
}

}  // namespace quetzal

#endif  // QUETZAL_BASE_CONCAT_H_
