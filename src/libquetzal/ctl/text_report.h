#ifndef QUETZAL_CTL_TEXT_REPORT_H_
#define QUETZAL_CTL_TEXT_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace quetzal {

/// Format an answer of the operators' interface as text of one or more lines.
std::string TextOfIntent(const nlohmann::ordered_json& answer);
std::string TextOfStatus(const nlohmann::ordered_json& answer);
std::string TextOfControlInstances(const nlohmann::ordered_json& answer);
std::string TextOfRollouts(const nlohmann::ordered_json& answer);
std::string TextOfHistory(const nlohmann::ordered_json& answer);
std::string TextOfExplanation(const nlohmann::ordered_json& answer);

/// Formats an answer whose result code is not 0: message, number and name of the code.
std::string TextOfRefusal(const nlohmann::ordered_json& answer);

}  // namespace quetzal

#endif  // QUETZAL_CTL_TEXT_REPORT_H_
