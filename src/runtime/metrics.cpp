#include "marjoramtally/runtime/metrics.hpp"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <mutex>
#include <sstream>

namespace marjoramtally {

namespace {

namespace ba = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{ 0.5, 0.9, 0.99 };

using Summary = ba::accumulator_set<double,
                                    ba::stats<ba::tag::count,
                                              ba::tag::mean,
                                              ba::tag::max,
                                              ba::tag::extended_p_square>>;

/// Splits `name{labels}` so that a suffix can go between the two.
std::string
WithSuffix(const std::string& aName, const std::string& aSuffix)
{
  const std::size_t brace = aName.find('{');
  if (brace == std::string::npos) {
    return aName + aSuffix;
  }
  return aName.substr(0, brace) + aSuffix + aName.substr(brace);
}

std::string
WithQuantile(const std::string& aName, double aQuantile)
{
  std::ostringstream label;
  label << "quantile=\"" << aQuantile << "\"";
  if (aName.find('{') == std::string::npos) {
    return aName + "{" + label.str() + "}";
  }
  return aName.substr(0, aName.size() - 1) + "," + label.str() + "}";
}

void
RenderSummary(std::ostringstream& aOut,
              const std::string& aName,
              const Summary& aSummary)
{
  const auto count = ba::count(aSummary);
  aOut << WithSuffix(aName, "_count") << ' ' << count << '\n';
  aOut << WithSuffix(aName, "_mean") << ' ' << ba::mean(aSummary) << '\n';
  aOut << WithSuffix(aName, "_max") << ' ' << ba::max(aSummary) << '\n';
  const auto quantiles = ba::extended_p_square(aSummary);
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    aOut << WithQuantile(aName, kQuantiles.at(i)) << ' '
         << quantiles[static_cast<std::ptrdiff_t>(i)] << '\n';
  }
}

} // namespace

struct Metrics::State
{
  std::mutex mutex_;
  std::map<std::string, std::uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, Summary> summaries_;
};

Metrics::Metrics()
  : state_(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Count(const std::string& aName, std::uint64_t aDelta)
{
  const std::lock_guard lock(state_->mutex_);
  state_->counters_[aName] += aDelta;
}

void
Metrics::Set(const std::string& aName, double aValue)
{
  const std::lock_guard lock(state_->mutex_);
  state_->gauges_[aName] = aValue;
}

void
Metrics::Observe(const std::string& aName, double aValue)
{
  const std::lock_guard lock(state_->mutex_);
  auto it = state_->summaries_.find(aName);
  if (it == state_->summaries_.end()) {
    Summary summary(ba::tag::extended_p_square::probabilities = kQuantiles);
    it = state_->summaries_.emplace(aName, summary).first;
  }
  it->second(aValue);
}

std::string
Metrics::Render() const
{
  const std::lock_guard lock(state_->mutex_);
  std::ostringstream out;
  for (const auto& [name, value] : state_->counters_) {
    out << name << ' ' << value << '\n';
  }
  for (const auto& [name, value] : state_->gauges_) {
    out << name << ' ' << value << '\n';
  }
  for (const auto& [name, summary] : state_->summaries_) {
    RenderSummary(out, name, summary);
  }
  return out.str();
}

} // namespace marjoramtally
