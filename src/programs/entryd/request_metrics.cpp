#include "programs/entryd/request_metrics.hpp"

namespace marjoramtally {

RequestMetrics::RequestMetrics(Metrics& aMetrics)
{
  for (std::size_t i = 0; i < kRequestClasses; ++i) {
    const std::string label =
      "class=\"" + std::string(ToString(static_cast<RequestClass>(i))) + '"';
    ClassMetrics& metrics = classes_.at(i);
    metrics.millis_ = &aMetrics.SummaryOf("marjoram_request_ms{" + label + "}");
    for (std::size_t j = 0; j < kOutcomes; ++j) {
      const std::string outcome(ToString(static_cast<Outcome>(j)));
      metrics.outcomes_.at(j) = &aMetrics.CounterOf(
        "marjoram_requests_total{" + label + ",outcome=\"" + outcome + "\"}");
    }
  }
}

void
RequestMetrics::OnFinished(RequestClass aClass,
                           Outcome aOutcome,
                           Duration aTook)
{
  constexpr double kMicrosPerMilli = 1000.0;
  const ClassMetrics& metrics = classes_.at(static_cast<std::size_t>(aClass));
  metrics.outcomes_.at(static_cast<std::size_t>(aOutcome))->Add();
  metrics.millis_->Observe(static_cast<double>(aTook.count()) /
                           kMicrosPerMilli);
}

} // namespace marjoramtally
