#include "base/result_code.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace quetzal {
namespace {

TEST(ResultCodeTest, TableIsAscendingAndNamesAreUnique) {
  const auto& table = ResultCodeTable();
  for (std::size_t n = 1; n < table.size(); ++n) {
    EXPECT_LT(table[n - 1].code, table[n].code);
    for (std::size_t m = 0; m < n; ++m) EXPECT_NE(table[m].name, table[n].name);
  }
}

/// Rows of the table of result codes in docs/RESULT-CODES.md.
struct DocumentTable {
  std::vector<std::string> rows;            ///< Without the cells of the advice.
  std::vector<std::string> without_advice;  ///< Whole rows that lack a cause or a remedy.
};

constexpr std::size_t kCodeCells = 5;    ///< Code, name, status, not run, meaning.
constexpr std::size_t kAdviceCells = 2;  ///< Likely cause, remedy.

constexpr std::size_t kExitCodeCells = 2;

std::vector<std::string> CellsOf(const std::string& line) {
  std::istringstream in(line.substr(1));
  std::vector<std::string> cells;
  for (std::string cell; std::getline(in, cell, '|');) cells.push_back(cell);
  return cells;
}

bool IsCodeRow(const std::string& line) {
  return line.size() > 2 && line[0] == '|' && std::isdigit(line[2]) != 0;
}

/// True for one or more sentences with a space on each side.
bool IsAdvice(const std::string& cell) {
  return cell.size() > 3 && cell.front() == ' ' && std::isupper(cell[1]) != 0 &&
         cell.back() == ' ' &&
         std::string(".)").find(cell[cell.size() - 2]) != std::string::npos;
}

bool HasAdvice(const std::vector<std::string>& cells) {
  return cells.size() == kCodeCells + kAdviceCells &&
         std::all_of(cells.begin() + kCodeCells, cells.end(), IsAdvice);
}

DocumentTable ReadDocument() {
  std::ifstream file(QUETZAL_SOURCE_DIR "/docs/RESULT-CODES.md");
  DocumentTable table;
  for (std::string line; std::getline(file, line);) {
    if (!IsCodeRow(line)) continue;
    const std::vector<std::string> cells = CellsOf(line);
    if (cells.size() == kExitCodeCells) continue;
    std::string row = "|";
    for (std::size_t n = 0; n < kCodeCells && n < cells.size(); ++n) {
      row += cells[n] + "|";
    }
    table.rows.push_back(row);
    if (!HasAdvice(cells)) table.without_advice.push_back(line);
  }
  return table;
}

TEST(ResultCodeTest, DocumentListsTheRowsOfTheTable) {
  std::vector<std::string> rows;
  for (const ResultCodeInfo& row : ResultCodeTable()) {
    std::ostringstream line;
    line << "| " << static_cast<int>(row.code) << " | " << row.name << " | "
         << row.http_status << " | " << (row.not_run ? "yes" : "no") << " | "
         << row.meaning << " |";
    rows.push_back(line.str());
  }
  EXPECT_EQ(ReadDocument().rows, rows);
}

TEST(ResultCodeTest, DocumentNamesCauseAndRemedyOfEveryCode) {
  EXPECT_THAT(ReadDocument().without_advice, testing::IsEmpty());
}

TEST(ResultCodeTest, UnknownNumbersAreInternalErrors) {
  EXPECT_EQ(ResultCodeFromInt(5013), ResultCode::kOutcomeUnknown);
  EXPECT_EQ(ResultCodeFromInt(-7), ResultCode::kInternalError);
}

}  // namespace
}  // namespace quetzal
