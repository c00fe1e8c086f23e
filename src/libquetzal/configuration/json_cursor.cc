#include "configuration/json_cursor.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/concat.h"
#include "base/result_code.h"
#include "configuration/configuration_check.h"
#include "configuration/configuration_limits.h"

namespace quetzal {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxDescribedBytes = 60;

std::size_t LineOf(const std::string& text, std::size_t byte) {
  const std::size_t end = std::min(byte, text.size());
  return 1 + static_cast<std::size_t>(std::count(
                 text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), '\n'));
}

/// Checks nesting depth and duplicate field names while a text is parsed.
class ParseValidator {
 public:
  ParseValidator(std::string source, int max_depth)
      : source_(std::move(source)), max_depth_(max_depth) {}

  bool operator()(int depth, json::parse_event_t event, const json& parsed) {
    if (depth > max_depth_) {
      throw Error(ResultCode::kIntentTooLarge,
                  Concat(source_, ": found a nesting deeper than ", max_depth_,
                         "; allowed are ", max_depth_, " levels"));
    }
    if (event == json::parse_event_t::object_start) names_.emplace_back();
    if (event == json::parse_event_t::object_end) names_.pop_back();
    if (event == json::parse_event_t::key) {
      const auto& name = parsed.get_ref<const std::string&>();
      if (!names_.back().insert(name).second) {
        throw Error(ResultCode::kIntentMalformed,
                    Concat(source_, ": found the field \"", name,
                           "\" twice in one object; allowed is once"));
      }
    }
    return true;
  }

 private:
  std::string source_;
  int max_depth_;
  std::vector<std::set<std::string>> names_;
};

std::string EscapePointer(const std::string& field) {
  std::string text;
  for (const char c : field) {
    if (c == '~') {
      text += "~0";
    } else if (c == '/') {
      text += "~1";
    } else {
      text += c;
    }
  }
  return text;
}

std::string DescribeValue(const json& value) {
  if (value.is_object()) return "an object";
  if (value.is_array()) return Concat("a list of ", value.size());
  std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > kMaxDescribedBytes) text = text.substr(0, kMaxDescribedBytes) + "...";
  return text;
}

}  // namespace

json ParseJson(const std::string& source, const std::string& text,
               const JsonLimits& limits) {
  if (text.size() > limits.max_bytes) {
    throw Error(ResultCode::kIntentTooLarge,
                Concat(source, ": found ", text.size(), " bytes; allowed are ",
                       limits.max_bytes));
  }
  ParseValidator validator(source, limits.max_depth);
  try {
    return json::parse(text,
                       [&validator](int depth, json::parse_event_t event, json& parsed) {
                         return validator(depth, event, parsed);
                       });
  } catch (const json::exception& error) {
    const auto* syntax = dynamic_cast<const json::parse_error*>(&error);
    const std::size_t byte = syntax == nullptr ? 0 : syntax->byte;
    throw Error(ResultCode::kIntentMalformed,
                Concat(source, ": line ", LineOf(text, byte == 0 ? 0 : byte - 1),
                       ": found text that is not JSON; allowed is one JSON object"));
  }
}

JsonCursor::JsonCursor(std::string source, const json* value)
    : JsonCursor(std::move(source), "", value) {}

JsonCursor::JsonCursor(std::string source, std::string pointer, const json* value)
    : source_(std::move(source)), pointer_(std::move(pointer)), value_(value) {}

void JsonCursor::Refuse(const std::string& allowed) const {
  throw Error(ResultCode::kIntentMalformed,
              Concat(source_, ": ", pointer_.empty() ? "/" : pointer_, ": found ",
                     secret_ ? "a value that is not shown" : DescribeValue(*value_),
                     "; allowed is ", allowed));
}

void JsonCursor::ExpectObject(const std::vector<std::string>& fields) const {
  if (!value_->is_object()) Refuse("an object");
  for (const auto& item : value_->items()) {
    if (std::find(fields.begin(), fields.end(), item.key()) != fields.end()) continue;
    std::string names;
    for (const std::string& field : fields)
      names += Concat(names.empty() ? "" : ", ", field);
    throw Error(ResultCode::kIntentMalformed,
                Concat(source_, ": ", pointer_, "/", EscapePointer(item.key()),
                       ": found an unknown field; allowed are ", names));
  }
}

bool JsonCursor::Has(const std::string& field) const { return value_->contains(field); }

JsonCursor JsonCursor::At(const std::string& field) const {
  const auto it = value_->find(field);
  std::string pointer = Concat(pointer_, "/", EscapePointer(field));
  if (it == value_->end()) {
    throw Error(
        ResultCode::kIntentMalformed,
        Concat(source_, ": ", pointer, ": found nothing; this field is required"));
  }
  return {source_, std::move(pointer), &*it};
}

std::vector<JsonCursor> JsonCursor::Elements(std::size_t max) const {
  if (!value_->is_array() || value_->size() > max) {
    Refuse(Concat("a list of at most ", max));
  }
  std::vector<JsonCursor> elements;
  for (std::size_t i = 0; i < value_->size(); ++i) {
    elements.push_back(JsonCursor(source_, Concat(pointer_, "/", i), &(*value_)[i]));
    elements.back().secret_ = secret_;
  }
  return elements;
}

std::string JsonCursor::Text(std::size_t max_bytes) const {
  if (!value_->is_string() || value_->get_ref<const std::string&>().size() > max_bytes) {
    Refuse(Concat("a text of at most ", max_bytes, " bytes"));
  }
  return value_->get<std::string>();
}

std::string JsonCursor::Name() const {
  if (!value_->is_string() || !IsLegalName(value_->get_ref<const std::string&>())) {
    Refuse(
        Concat("a name of 1 to ", kMaxNameLength,
               " characters of a-z, 0-9, '-', '_' and '.', the first a letter or digit"));
  }
  return value_->get<std::string>();
}

std::uint32_t JsonCursor::Integer(std::uint32_t min, std::uint32_t max) const {
  const bool fits = value_->is_number_unsigned() && value_->get<std::uint64_t>() >= min &&
                    value_->get<std::uint64_t>() <= max;
  if (!fits) Refuse(Concat("a whole number from ", min, " to ", max));
  return value_->get<std::uint32_t>();
}

double JsonCursor::Number(double min, double max) const {
  const bool fits =
      value_->is_number() && value_->get<double>() >= min && value_->get<double>() <= max;
  if (!fits) Refuse(Concat("a number from ", min, " to ", max));
  return value_->get<double>();
}

JsonCursor JsonCursor::Secret() const {
  JsonCursor secret = *this;
  secret.secret_ = true;
  return secret;
}

bool JsonCursor::Boolean() const {
  if (!value_->is_boolean()) Refuse("true or false");
  return value_->get<bool>();
}

}  // namespace quetzal
