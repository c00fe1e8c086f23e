#include "base/settings.h"

#include <gtest/gtest.h>

#include "base/result_code.h"

namespace quetzal {
namespace {

SettingsReader TestReader() {
  return SettingsReader(
      "prog", "does things",
      {{"listen", SettingKind::kEndpoint, "address:port", "", 0, 0, true, "h"},
       {"period", SettingKind::kMillis, "ms", "100", 10, 1000, false, "h"},
       {"share", SettingKind::kRatio, "", "0", 0, 0, false, "h"},
       {"burst", SettingKind::kRoundedDown, "", "0", 0, 1000, false, "h"},
       {"verbose", SettingKind::kFlag, "", "false", 0, 0, false, "h"}});
}

SettingsOutcome ReadWith(std::vector<std::string> arguments,
                         const std::map<std::string, std::string>& environment) {
  std::vector<char*> argv;
  arguments.insert(arguments.begin(), "prog");
  for (std::string& argument : arguments) argv.push_back(argument.data());
  return TestReader().Read(static_cast<int>(argv.size()), argv.data(), environment);
}

TEST(SettingsTest, FlagOverridesVariable) {
  const auto outcome =
      ReadWith({"--period", "50", "--verbose", "word"},
               {{"QUETZAL_PERIOD", "70"}, {"QUETZAL_LISTEN", "127.0.0.1:5"}});
  EXPECT_EQ(outcome.errors, "");
  EXPECT_EQ(outcome.settings.Millis("period"), std::chrono::milliseconds(50));
  EXPECT_EQ(outcome.settings.Address("listen"), (Endpoint{"127.0.0.1", 5}));
  EXPECT_TRUE(outcome.settings.Flag("verbose"));
  EXPECT_EQ(outcome.settings.arguments(), std::vector<std::string>{"word"});
}

TEST(SettingsTest, AllInvalidSettingsAreReportedWithSourceAndRange) {
  const auto outcome = ReadWith({"--period", "5"}, {{"QUETZAL_LISTEN", "localhost:5"}});
  EXPECT_EQ(outcome.exit_code, kExitSettings);
  EXPECT_EQ(outcome.errors,
            "listen (variable QUETZAL_LISTEN) 'localhost:5' 'localhost:5' is not "
            "IP-number:port; allowed: IP-number:port\n"
            "period (flag --period) '5' is out of range; allowed: 10 to 1000 ms\n");
}

TEST(SettingsTest, TimesMayBeGivenInSeconds) {
  const auto read = [](const std::string& text) {
    return ReadWith({"--listen", "127.0.0.1:5", "--period", text}, {});
  };
  EXPECT_EQ(read("0.25s").settings.Millis("period"), std::chrono::milliseconds(250));
  EXPECT_EQ(read("1s").settings.Millis("period"), std::chrono::milliseconds(1000));
  for (const char* invalid : {"s", "1.5", "-1s", "2s", "1ms", "nans", "1e99s"}) {
    EXPECT_NE(read(invalid).errors, "") << invalid;
  }
}

TEST(SettingsTest, SharesAreNumbersFromZeroToOne) {
  const auto read = [](const std::string& text) {
    return ReadWith({"--listen", "127.0.0.1:5", "--share", text}, {});
  };
  EXPECT_EQ(read("0.2").settings.Ratio("share"), 0.2);
  EXPECT_EQ(read("1").errors, "");
  for (const char* invalid : {"1.1", "-0.1", "half", "0.2x", "nan"}) {
    EXPECT_NE(read(invalid).errors, "") << invalid;
  }
}

// A platform that divides a budget may state a fraction; the program must start with it.
TEST(SettingsTest, FractionsAreRoundedDown) {
  const auto read = [](const std::string& text) {
    return ReadWith({"--listen", "127.0.0.1:5", "--burst", text}, {});
  };
  EXPECT_EQ(read("33.333333333333336").settings.Integer("burst"), 33);
  EXPECT_EQ(read("64").settings.Integer("burst"), 64);
  for (const char* invalid : {"-1", "1001", "many", "3x", "nan", "1e99"}) {
    EXPECT_NE(read(invalid).errors, "") << invalid;
  }
}

TEST(SettingsTest, UnknownFlagIsAnError) {
  const auto outcome = ReadWith({"--listen", "127.0.0.1:1", "--nonsense"}, {});
  EXPECT_EQ(outcome.errors, "flag --nonsense: no such setting\n");
}

TEST(SettingsTest, CheckSettingsPrintsAndStops) {
  const auto outcome = ReadWith({"--listen", "127.0.0.1:1", "--check-settings"}, {});
  EXPECT_EQ(outcome.action, StartAction::kExit);
  EXPECT_EQ(outcome.exit_code, kExitOk);
  EXPECT_NE(outcome.output.find("period = 100  (default)"), std::string::npos);
}

}  // namespace
}  // namespace quetzal
