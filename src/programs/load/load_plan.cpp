#include "programs/load/load_plan.hpp"

#include <random>

namespace marjoramtally {

namespace {

constexpr std::uint64_t kMaxWeight = 1'000'000;

} // namespace

Result<LoadClass>
ParseLoadClass(const std::string& aText)
{
  const Error bad{ ErrorKind::BadInput,
                   "class '" + aText +
                     "' is not NAME:WEIGHT:DEADLINE such as live:3:100ms" };
  const std::size_t first = aText.find(':');
  const std::size_t second =
    first == std::string::npos ? first : aText.find(':', first + 1);
  if (second == std::string::npos) {
    return bad;
  }
  const std::string_view text(aText);
  const auto weight =
    ParseNumber(text.substr(first + 1, second - first - 1), 1, kMaxWeight);
  const auto deadline = ParseDuration(text.substr(second + 1));
  if (first == 0 || !weight || !deadline || *deadline <= Duration::zero()) {
    return bad;
  }
  return LoadClass{ aText.substr(0, first),
                    static_cast<double>(*weight),
                    *deadline };
}

std::vector<PlannedCall>
PlanCalls(const LoadSpec& aSpec)
{
  std::mt19937_64 engine(aSpec.seed_);
  std::vector<double> weights;
  for (const LoadClass& loadClass : aSpec.classes_) {
    weights.push_back(loadClass.weight_);
  }
  std::discrete_distribution<std::size_t> pickClass(weights.begin(),
                                                    weights.end());
  std::bernoulli_distribution mustNotRepeat(aSpec.nonIdempotentShare_);
  std::exponential_distribution<double> gapSeconds(aSpec.rate_ > 0 ? aSpec.rate_
                                                                   : 1.0);
  std::vector<PlannedCall> calls;
  calls.reserve(aSpec.calls_);
  double seconds = 0;
  for (std::uint64_t i = 0; i < aSpec.calls_; ++i) {
    seconds += aSpec.rate_ > 0 ? gapSeconds(engine) : 0;
    const std::size_t loadClass = pickClass(engine);
    const bool idempotent = !mustNotRepeat(engine);
    calls.push_back({ Duration(static_cast<std::int64_t>(seconds * 1e6)),
                      loadClass,
                      idempotent });
  }
  return calls;
}

} // namespace marjoramtally
