#include "programs/load/load_report.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unordered_map>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, kCallEnds> kEndNames{
  "in_time", "late", "refused", "unknown", "not_started", "wrong"
};

/// Counts and latencies of one class, or of all calls.
struct Tally
{
  std::string name_;
  std::uint64_t asked_ = 0;
  std::array<std::uint64_t, kCallEnds> ends_{};
  std::vector<double> answeredMillis_;

  void Add(const CallOutcome& aOutcome)
  {
    ++asked_;
    ++ends_.at(static_cast<std::size_t>(aOutcome.end_));
    if (aOutcome.end_ == CallEnd::InTime || aOutcome.end_ == CallEnd::Late) {
      answeredMillis_.push_back(static_cast<double>(aOutcome.took_.count()) /
                                1000.0);
    }
  }

  [[nodiscard]] double Share(std::uint64_t aCount) const
  {
    return asked_ == 0
             ? 0
             : static_cast<double>(aCount) / static_cast<double>(asked_);
  }

  /// @returns the share of calls that were neither answered in time nor refused
  /// as not run
  [[nodiscard]] double LateShare() const
  {
    const auto count = [this](CallEnd aEnd) {
      return ends_.at(static_cast<std::size_t>(aEnd));
    };
    return Share(asked_ - count(CallEnd::InTime) - count(CallEnd::Refused));
  }

  [[nodiscard]] double Quantile(double aShare) const
  {
    if (answeredMillis_.empty()) {
      return 0;
    }
    const auto last = static_cast<double>(answeredMillis_.size() - 1);
    return answeredMillis_[static_cast<std::size_t>(last * aShare)];
  }
};

std::vector<Tally>
TallyClasses(const LoadOutcome& aLoad)
{
  std::vector<Tally> tallies;
  for (const LoadClass& loadClass : aLoad.spec_.classes_) {
    tallies.push_back(
      { loadClass.name_ + "/" + FormatDuration(loadClass.deadline_),
        0,
        {},
        {} });
  }
  tallies.push_back({ "all", 0, {}, {} });
  for (std::size_t i = 0; i < aLoad.calls_.size(); ++i) {
    tallies[aLoad.calls_[i].class_].Add(aLoad.outcomes_[i]);
    tallies.back().Add(aLoad.outcomes_[i]);
  }
  for (Tally& tally : tallies) {
    std::sort(tally.answeredMillis_.begin(), tally.answeredMillis_.end());
  }
  return tallies;
}

double
CallsPerSecond(const LoadOutcome& aLoad)
{
  const auto answered = std::count_if(
    aLoad.outcomes_.begin(),
    aLoad.outcomes_.end(),
    [](const CallOutcome& aOutcome) {
      return aOutcome.end_ == CallEnd::InTime || aOutcome.end_ == CallEnd::Late;
    });
  return static_cast<double>(answered) * 1e6 /
         static_cast<double>(std::max<std::int64_t>(aLoad.took_.count(), 1));
}

Json
FormatTally(const Tally& aTally)
{
  Json out{ { "asked", aTally.asked_ },
            { "late_share", aTally.LateShare() },
            { "p50_ms", aTally.Quantile(0.5) },
            { "p99_ms", aTally.Quantile(0.99) } };
  for (std::size_t i = 0; i < kCallEnds; ++i) {
    out[kEndNames.at(i)] = aTally.ends_.at(i);
  }
  return out;
}

/// @returns how often each body was run, according to the records in a folder
std::unordered_map<std::string, std::uint64_t>
CountRuns(const std::string& aFolder)
{
  std::unordered_map<std::string, std::uint64_t> runs;
  for (const auto& file : std::filesystem::directory_iterator(aFolder)) {
    if (file.path().extension() != ".jsonl") {
      continue;
    }
    std::ifstream in(file.path());
    for (std::string line; std::getline(in, line);) {
      const Json record = Json::parse(line, nullptr, false);
      if (record.is_object() && record.value("kind", "") == "call") {
        ++runs[record.value("body", "")];
      }
    }
  }
  return runs;
}

} // namespace

RecordCheck
CheckRecords(const LoadOutcome& aLoad,
             const std::string& aFolder,
             const std::function<std::string(std::size_t)>& aBodyOf)
{
  const auto runs = CountRuns(aFolder);
  RecordCheck check;
  for (std::size_t i = 0; i < aLoad.calls_.size(); ++i) {
    const auto found = runs.find(aBodyOf(i));
    const std::uint64_t count = found == runs.end() ? 0 : found->second;
    check.runTwice_ += !aLoad.calls_[i].idempotent_ && count > 1 ? 1 : 0;
    const bool refused = aLoad.outcomes_[i].end_ == CallEnd::Refused;
    check.refusedRun_ += refused && count > 0 ? 1 : 0;
  }
  return check;
}

std::string
FormatLoadTable(const LoadOutcome& aLoad)
{
  std::ostringstream out;
  out << std::left << std::setw(18) << "class" << std::right << std::setw(9)
      << "asked";
  for (const char* name : kEndNames) {
    out << std::setw(12) << name;
  }
  out << std::setw(12) << "late_share" << std::setw(10) << "p50_ms"
      << std::setw(10) << "p99_ms" << '\n'
      << std::fixed;
  for (const Tally& tally : TallyClasses(aLoad)) {
    out << std::left << std::setw(18) << tally.name_ << std::right
        << std::setw(9) << tally.asked_;
    for (const std::uint64_t count : tally.ends_) {
      out << std::setw(12) << count;
    }
    out << std::setprecision(4) << std::setw(12) << tally.LateShare()
        << std::setprecision(3) << std::setw(10) << tally.Quantile(0.5)
        << std::setw(10) << tally.Quantile(0.99) << '\n';
  }
  out << std::setprecision(0) << "answered_per_s=" << CallsPerSecond(aLoad);
  if (aLoad.check_) {
    out << " run_twice=" << aLoad.check_->runTwice_
        << " refused_run=" << aLoad.check_->refusedRun_;
  }
  out << '\n';
  return out.str();
}

std::string
FormatLoadJson(const LoadOutcome& aLoad)
{
  Json classes = Json::object();
  for (const Tally& tally : TallyClasses(aLoad)) {
    classes[tally.name_] = FormatTally(tally);
  }
  Json out{ { "rate", aLoad.spec_.rate_ },
            { "seed", aLoad.spec_.seed_ },
            { "answered_per_s", CallsPerSecond(aLoad) },
            { "classes", classes } };
  if (aLoad.check_) {
    out["run_twice"] = aLoad.check_->runTwice_;
    out["refused_run"] = aLoad.check_->refusedRun_;
  }
  return out.dump();
}

} // namespace marjoramtally
