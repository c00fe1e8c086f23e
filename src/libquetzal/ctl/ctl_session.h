#ifndef QUETZAL_CTL_CTL_SESSION_H_
#define QUETZAL_CTL_CTL_SESSION_H_

#include <cstddef>
#include <functional>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "base/settings.h"
#include "ctl/control_channel.h"

namespace quetzal {

/// Options of one run of the command line.
struct CtlOptions {
  std::vector<Endpoint> control_instances;  ///< Tried in turn.
  std::string id;  ///< Id of the declared intent; empty: a new one is generated.
  bool json = false;
  bool wait = false;
  bool terminal = false;  ///< Progress is shown on `err`.
  Duration answer_limit = std::chrono::seconds(5);
  Duration wait_limit = std::chrono::seconds(30);
};

/// Runs the verbs of quetzalctl.
class CtlSession {
 public:
  struct Dependencies {
    ControlChannel* channel = nullptr;
    const Clock* clock = nullptr;
    Random* random = nullptr;
    std::function<void(Duration)> sleep;
    std::istream* in = nullptr;
    std::ostream* out = nullptr;
    std::ostream* err = nullptr;
  };

  CtlSession(Dependencies dependencies, CtlOptions options);

  /// Runs the verb in `arguments[0]` with its argument, if any; returns an ExitCode.
  int Run(const std::vector<std::string>& arguments);

  /// Returns the verbs with their arguments, one line each, for the help text.
  static std::string VerbHelp();

 private:
  using Json = nlohmann::ordered_json;
  using Verb = int (CtlSession::*)(const std::string& argument);
  using Render = std::string (*)(const Json& answer);

  struct VerbRow {
    const char* name;
    const char* argument;  ///< Null: the verb takes no argument.
    bool argument_required;
    const char* help;
    Verb run;
  };

  static const std::vector<VerbRow>& Verbs();

  int Declare(const std::string& argument);
  int ShowPlan(const std::string& argument);
  int Confirm(const std::string& argument);
  int Cancel(const std::string& argument);
  int Status(const std::string& argument);
  int Leave(const std::string& argument);
  int Enter(const std::string& argument);
  int Rollouts(const std::string& argument);
  int RollBack(const std::string& argument);
  int History(const std::string& argument);
  int Explain(const std::string& argument);
  int ControlInstances(const std::string& argument);
  int AddControl(const std::string& argument);
  int RemoveControl(const std::string& argument);

  int DeclareText(const std::string& text);
  int DeclareLeaveOrEnter(const char* field, const std::string& instance);
  std::string NewIntentId();
  std::string ReadIntent(const std::string& file);

  /// Asks the control instances in rounds until one gives an answer that need not be
  /// retried. Returns the latest answer, or nothing when none came within the answer
  /// limit.
  std::optional<Json> Ask(const std::string& method, const std::string& path,
                          const std::string& body);
  /// Asks each control instance at most once, beginning with the one that answered last.
  std::optional<Json> AskOnce(const std::string& method, const std::string& path,
                              const std::string& body, SteadyTime limit);
  Json WaitUntilDone(const std::string& id, Json answer);
  void ShowProgress(const Json& answer);
  /// Prints the answer and returns its exit code.
  int PrintAnswer(const std::optional<Json>& answer, Render render);
  int PrintUnreachable();

  Dependencies dependencies_;
  CtlOptions options_;
  std::size_t preferred_ = 0;  ///< Index of the control instance that answered last.
};

/// Returns the exit code for an answer.
int ExitCodeOf(const nlohmann::ordered_json& answer);

}  // namespace quetzal

#endif  // QUETZAL_CTL_CTL_SESSION_H_
