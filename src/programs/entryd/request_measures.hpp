/// Counts of requests by class and outcome, looked up once.
#pragma once

#include "marjoramtally/request.hpp"
#include "marjoramtally/runtime/metrics.hpp"

#include <array>

namespace marjoramtally {

/// Measures of finished requests. Thread-safe.
class RequestMeasures
{
public:
  /// @param aMetrics outlives the measures
  explicit RequestMeasures(Metrics& aMetrics);
  /// Counts one finished request.
  /// @param aTook from its arrival to its outcome
  void Finished(RequestClass aClass, Outcome aOutcome, Duration aTook);

private:
  static constexpr std::size_t kOutcomes = 3;
  struct OfClass
  {
    std::array<Counter*, kOutcomes> outcomes_{};
    Summary* millis_ = nullptr;
  };
  std::array<OfClass, kRequestClasses> classes_;
};

} // namespace marjoramtally
