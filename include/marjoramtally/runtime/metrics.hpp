/// Counters, gauges and summaries, exposed as text.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace marjoramtally {

/// A registry of named measures. All functions may be called from any
/// thread.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

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
