/// Metrics of requests by class and outcome.
#pragma once

#include "marjoramtally/request.hpp"
#include "marjoramtally/runtime/metrics.hpp"

#include <array>

namespace marjoramtally {

/// Metrics of finished requests. They are looked up by name only once, at
/// construction. Thread-safe.
class RequestMetrics
{
public:
  /// @param aMetrics must outlive this object
  explicit RequestMetrics(Metrics& aMetrics);
  /// Counts one finished request.
  /// @param aTook time from its arrival to its outcome
  void OnFinished(RequestClass aClass, Outcome aOutcome, Duration aTook);

private:
  static constexpr std::size_t kOutcomes = 3;
  struct ClassMetrics
  {
    std::array<Counter*, kOutcomes> outcomes_{};
    Summary* millis_ = nullptr;
  };
  std::array<ClassMetrics, kRequestClasses> classes_;
};

} // namespace marjoramtally
