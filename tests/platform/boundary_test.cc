// Checks that the platform's own names do not occur under src/, and that platform/
// includes headers of its own folder and of the core only.
#include <filesystem>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

namespace quetzal {
namespace {

namespace fs = std::filesystem;

std::string Text(const fs::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool IsSource(const fs::path& path) {
  return path.extension() == ".cc" || path.extension() == ".h";
}

TEST(PlatformBoundaryTest, NoSourceOutsideUsesThePlatformsNames) {
  const char* const names[] = {
      "X-Attempt-Id",    "x-attempt-id",      "X-Deadline-Ms",        "X-Response-Seal",
      "x-response-seal", "X-Expect-Instance", "x-expect-instance",    "X-Not-Executed",
      "x-not-executed",  "X-Caller-Service",  "QUETZALCART_SETTINGS", "beatUrl",
      "appAddr",         "coldLeftS",         "pathPrefix",           "baseVersion",
      "rollbackSlackS",  "/api/config",       "/api/readyz",          "/api/instances"};
  int files = 0;
  for (const auto& entry :
       fs::recursive_directory_iterator(fs::path(QUETZAL_SOURCE_DIR) / "src")) {
    if (!IsSource(entry.path())) continue;
    ++files;
    const std::string text = Text(entry.path());
    for (const char* name : names) {
      EXPECT_EQ(text.find(name), std::string::npos) << entry.path() << ": " << name;
    }
  }
  EXPECT_GT(files, 100);
}

TEST(PlatformBoundaryTest, TheAdapterIncludesTheCoreOnly) {
  for (const auto& entry :
       fs::directory_iterator(fs::path(QUETZAL_SOURCE_DIR) / "platform")) {
    std::istringstream lines(Text(entry.path()));
    for (std::string line; std::getline(lines, line);) {
      if (line.rfind("#include \"", 0) != 0) continue;
      const std::string header = line.substr(10, line.size() - 11);
      const bool own = header.rfind("platform/", 0) == 0;
      const bool core =
          fs::exists(fs::path(QUETZAL_SOURCE_DIR) / "src/libquetzal" / header);
      EXPECT_TRUE(own || core) << entry.path() << ": " << header;
    }
  }
}

}  // namespace
}  // namespace quetzal
