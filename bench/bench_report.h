#ifndef QUETZAL_BENCH_BENCH_REPORT_H_
#define QUETZAL_BENCH_BENCH_REPORT_H_

#include <sys/utsname.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace quetzal {

/// Order statistics of samples; all in the unit of the samples.
struct SampleSummary {
  double median = 0;
  double p99 = 0;
  double worst = 0;
  std::size_t count = 0;
};

inline SampleSummary Summarize(std::vector<double> samples) {
  SampleSummary summary;
  summary.count = samples.size();
  if (samples.empty()) return summary;
  std::sort(samples.begin(), samples.end());
  const std::size_t last = samples.size() - 1;
  summary.median = samples[last / 2];
  summary.p99 = samples[static_cast<std::size_t>(static_cast<double>(last) * 0.99)];
  summary.worst = samples.back();
  return summary;
}

/// Least-squares line through points. `residual` is the largest distance of a point from
/// the line, as a share of the largest absolute y.
struct LineFit {
  double intercept = 0;
  double slope = 0;
  double residual = 0;
};

inline LineFit FitLine(const std::vector<std::pair<double, double>>& points) {
  LineFit fit;
  const auto n = static_cast<double>(points.size());
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  double max_y = 0;
  for (const auto& [x, y] : points) {
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
    max_y = std::max(max_y, std::abs(y));
  }
  const double denominator = n * sum_xx - sum_x * sum_x;
  if (denominator == 0 || max_y == 0) return fit;
  fit.slope = (n * sum_xy - sum_x * sum_y) / denominator;
  fit.intercept = (sum_y - fit.slope * sum_x) / n;
  for (const auto& [x, y] : points) {
    const double distance = std::abs(y - fit.intercept - fit.slope * x);
    fit.residual = std::max(fit.residual, distance / max_y);
  }
  return fit;
}

/// Returns the resident memory of this process in bytes.
inline std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t pages = 0;
  std::size_t resident = 0;
  file >> pages >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Returns the processor time that this process has used, in seconds.
inline double ProcessorSeconds() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

/// A table of results. Print() writes it as text and as JSON, with a description of the
/// machine.
class BenchReport {
 public:
  BenchReport(std::string title, std::vector<std::string> columns)
      : title_(std::move(title)), columns_(std::move(columns)) {}

  void AddRow(std::vector<nlohmann::ordered_json> row) {
    rows_.push_back(std::move(row));
  }
  void AddNote(const std::string& note) { notes_.push_back(note); }

  void Print(std::ostream& out = std::cout) const {
    out << "## " << title_ << "\n" << Machine() << "\n\n";
    for (const std::string& column : columns_) out << "| " << column << " ";
    out << "|\n";
    for (std::size_t n = 0; n < columns_.size(); ++n) out << "| --- ";
    out << "|\n";
    for (const auto& row : rows_) {
      for (const auto& cell : row) out << "| " << CellText(cell) << " ";
      out << "|\n";
    }
    for (const std::string& note : notes_) out << "\n" << note << "\n";
    out << "\nJSON " << ToJson().dump() << std::endl;
  }

  nlohmann::ordered_json ToJson() const {
    nlohmann::ordered_json json;
    json["title"] = title_;
    json["machine"] = Machine();
    json["columns"] = columns_;
    json["rows"] = rows_;
    json["notes"] = notes_;
    return json;
  }

 private:
  static std::string CellText(const nlohmann::ordered_json& cell) {
    if (cell.is_string()) return cell.get<std::string>();
    if (!cell.is_number_float()) return cell.dump();
    std::ostringstream text;
    text << std::setprecision(4) << cell.get<double>();
    return text.str();
  }

  static std::string Machine() {
    utsname name{};
    uname(&name);
    std::ostringstream text;
    text << std::thread::hardware_concurrency() << " cores, " << name.machine << ", load "
         << LoadAverage();
    return text.str();
  }

  static std::string LoadAverage() {
    std::ifstream file("/proc/loadavg");
    std::string load;
    file >> load;
    return load;
  }

  std::string title_;
  std::vector<std::string> columns_;
  std::vector<std::vector<nlohmann::ordered_json>> rows_;
  std::vector<std::string> notes_;
};

}  // namespace quetzal

#endif  // QUETZAL_BENCH_BENCH_REPORT_H_
