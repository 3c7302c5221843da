/// Counters, gauges and summaries, exposed as text.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace marjoramtally {

/// A count that only grows. Thread-safe, without a lock.
class Counter
{
public:
  void Add(std::uint64_t aDelta = 1) noexcept
  {
    value_.fetch_add(aDelta, std::memory_order_relaxed);
  }
  [[nodiscard]] std::uint64_t Value() const noexcept
  {
    return value_.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> value_{ 0 };
};

/// Observations of one measure: count, mean, max, quantiles. Thread-safe.
class Summary
{
public:
  Summary();
  ~Summary();
  Summary(const Summary&) = delete;
  Summary& operator=(const Summary&) = delete;
  void Observe(double aValue);

private:
  friend class Metrics;
  struct State;
  std::unique_ptr<State> state_;
};

/// A registry of named measures. All functions may be called from any
/// thread.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// The counter of a name, for paths that count often: it stays where it is
  /// as long as the registry.
  [[nodiscard]] Counter& CounterOf(const std::string& aName);
  /// The summary of a name, likewise.
  [[nodiscard]] Summary& SummaryOf(const std::string& aName);

  /// Adds to a counter. Names may carry labels: `requests{class="live"}`.
  void Count(const std::string& aName, std::uint64_t aDelta = 1);
  /// Sets a gauge.
  void Set(const std::string& aName, double aValue);
  /// Records one observation of a summary (count, mean, max, quantiles).
  void Observe(const std::string& aName, double aValue);
  /// @returns all measures in the usual text exposition format
  [[nodiscard]] std::string Render() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace marjoramtally
