#ifndef QUETZAL_CONFIGURATION_JSON_CURSOR_H_
#define QUETZAL_CONFIGURATION_JSON_CURSOR_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace quetzal {

/// Limits of a JSON text.
struct JsonLimits {
  std::size_t max_bytes = 0;
  int max_depth = 0;
};

/// Parses `text`. Throws Error(kIntentTooLarge) past a limit and Error(kIntentMalformed)
/// for a duplicate field name or, with its line, for a syntax error.
nlohmann::json ParseJson(const std::string& source, const std::string& text,
                         const JsonLimits& limits);

/// A position in a JSON document. Each reading method throws Error(kIntentMalformed) that
/// names the source, the JSON pointer, the value found and the values allowed. The
/// document must outlive its cursors.
class JsonCursor {
 public:
  JsonCursor(std::string source, const nlohmann::json* value);

  /// Checks that this is an object with no other fields than `fields`.
  void ExpectObject(const std::vector<std::string>& fields) const;

  bool Has(const std::string& field) const;

  /// Returns the field; throws when it is absent.
  JsonCursor At(const std::string& field) const;

  /// Returns the elements of a list; throws when there are more than `max`.
  std::vector<JsonCursor> Elements(std::size_t max) const;

  std::string Text(std::size_t max_bytes) const;
  std::string Name() const;
  std::uint32_t Integer(std::uint32_t min, std::uint32_t max) const;
  bool Boolean() const;
  double Number(double min, double max) const;

  /// Returns this value as a secret: no error about it or its elements shows what was
  /// found.
  JsonCursor Secret() const;

  /// Throws the error for a value that is not as `allowed` describes.
  [[noreturn]] void Refuse(const std::string& allowed) const;

 private:
  JsonCursor(std::string source, std::string pointer, const nlohmann::json* value);

  std::string source_;
  std::string pointer_;
  const nlohmann::json* value_;
  bool secret_ = false;
};

}  // namespace quetzal

#endif  // QUETZAL_CONFIGURATION_JSON_CURSOR_H_
