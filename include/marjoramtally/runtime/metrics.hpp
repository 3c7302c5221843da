/// Counters, gauges and summaries, rendered as text.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace marjoramtally {

/// A monotonic counter. Thread-safe and lock-free.
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

/// Count, mean, maximum and quantiles of observed values. Thread-safe.
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

/// A registry of named metrics. Thread-safe.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Returns the counter of a name, for code that counts often. The reference
  /// is valid for the registry's lifetime.
  [[nodiscard]] Counter& CounterOf(const std::string& aName);
  /// Returns the summary of a name, valid for the registry's lifetime.
  [[nodiscard]] Summary& SummaryOf(const std::string& aName);

  /// Adds to a counter. Names may have labels: `requests{class="live"}`.
  void Count(const std::string& aName, std::uint64_t aDelta = 1);
  void Set(const std::string& aName, double aValue);
  /// Records one observation of a summary.
  void Observe(const std::string& aName, double aValue);
  /// @returns all metrics in the usual text exposition format
  [[nodiscard]] std::string Render() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace marjoramtally
