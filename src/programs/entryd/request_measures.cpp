#include "programs/entryd/request_measures.hpp"

namespace marjoramtally {

RequestMeasures::RequestMeasures(Metrics& aMetrics)
{
  for (std::size_t i = 0; i < kRequestClasses; ++i) {
    const std::string label =
      "class=\"" + std::string(ToString(static_cast<RequestClass>(i))) + '"';
    OfClass& measures = classes_.at(i);
    measures.millis_ =
      &aMetrics.SummaryOf("marjoram_request_ms{" + label + "}");
    for (std::size_t j = 0; j < kOutcomes; ++j) {
      const std::string outcome(ToString(static_cast<Outcome>(j)));
      measures.outcomes_.at(j) = &aMetrics.CounterOf(
        "marjoram_requests_total{" + label + ",outcome=\"" + outcome + "\"}");
    }
  }
}

void
RequestMeasures::Finished(RequestClass aClass, Outcome aOutcome, Duration aTook)
{
  constexpr double kMicrosPerMilli = 1000.0;
  const OfClass& measures = classes_.at(static_cast<std::size_t>(aClass));
  measures.outcomes_.at(static_cast<std::size_t>(aOutcome))->Add();
  measures.millis_->Observe(static_cast<double>(aTook.count()) /
                            kMicrosPerMilli);
}

} // namespace marjoramtally
