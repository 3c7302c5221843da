#include "programs/load/decide.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>

namespace marjoramtally::bench {

namespace {

/// One column: a measurement and its number of decimals.
struct Column
{
  const char* name_;
  std::optional<double> DecideRow::*value_;
  int digits_;
};

constexpr std::array<Column, 19> kColumns{ {
  { "live_late", &DecideRow::liveLateShare_, 4 },
  { "live_p50_ms", &DecideRow::liveP50Millis_, 0 },
  { "live_p99_ms", &DecideRow::liveP99Millis_, 0 },
  { "live_refused", &DecideRow::liveRefusedShare_, 4 },
  { "trainer_idle", &DecideRow::trainerIdleShare_, 4 },
  { "group_p50_s", &DecideRow::groupP50Seconds_, 2 },
  { "group_p99_s", &DecideRow::groupP99Seconds_, 2 },
  { "goodput", &DecideRow::goodputShare_, 3 },
  { "wasted", &DecideRow::wastedShare_, 4 },
  { "cache_hits", &DecideRow::cacheHitShare_, 3 },
  { "worst_share", &DecideRow::worstFairShareRatio_, 3 },
  { "best_share", &DecideRow::bestFairShareRatio_, 3 },
  { "cost_per_s", &DecideRow::costPerSecond_, 0 },
  { "held_p99_ms", &DecideRow::refusedAfterMillis_, 0 },
  { "slow_share", &DecideRow::slowShare_, 4 },
  { "decide_ns", &DecideRow::decisionNanos_, 0 },
  { "over_bound", &DecideRow::overBound_, 0 },
  { "staleness", &DecideRow::staleness_, 3 },
  { "steps", &DecideRow::steps_, 0 },
} };

constexpr int kPolicyWidth = 24;
constexpr int kColumnWidth = 13;

bool
HasValues(const DecideRows& aRows, const Column& aColumn)
{
  return std::any_of(aRows.begin(), aRows.end(), [&](const DecideRow& aRow) {
    return (aRow.*aColumn.value_).has_value();
  });
}

} // namespace

double
Distribution::Quantile(double aShare) const
{
  if (values_.empty()) {
    return 0;
  }
  std::vector<double> sorted = values_;
  std::sort(sorted.begin(), sorted.end());
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * aShare)];
}

void
PrintTable(const DecideRows& aRows, std::ostream& aOut)
{
  std::vector<Column> columns;
  std::copy_if(
    kColumns.begin(),
    kColumns.end(),
    std::back_inserter(columns),
    [&](const Column& aColumn) { return HasValues(aRows, aColumn); });
  aOut << std::left << std::setw(kPolicyWidth) << "policy" << std::right
       << std::setw(kColumnWidth) << "load";
  for (const Column& column : columns) {
    aOut << std::setw(kColumnWidth) << column.name_;
  }
  aOut << '\n' << std::fixed;
  for (const DecideRow& row : aRows) {
    aOut << std::left << std::setw(kPolicyWidth) << row.policy_ << std::right
         << std::setw(kColumnWidth) << std::setprecision(2) << row.load_;
    for (const Column& column : columns) {
      const auto value = row.*column.value_;
      aOut << std::setw(kColumnWidth) << std::setprecision(column.digits_);
      if (value) {
        aOut << *value;
      } else {
        aOut << "-";
      }
    }
    aOut << '\n';
  }
}

void
PrintJson(const DecideRows& aRows, std::ostream& aOut)
{
  nlohmann::json rows = nlohmann::json::array();
  for (const DecideRow& row : aRows) {
    nlohmann::json object{ { "policy", row.policy_ }, { "load", row.load_ } };
    for (const Column& column : kColumns) {
      if (const auto value = row.*column.value_) {
        object[column.name_] = *value;
      }
    }
    rows.push_back(std::move(object));
  }
  aOut << rows.dump(2) << '\n';
}

} // namespace marjoramtally::bench
