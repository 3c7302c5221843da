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

using Observations = ba::accumulator_set<double,
                                         ba::stats<ba::tag::count,
                                                   ba::tag::mean,
                                                   ba::tag::max,
                                                   ba::tag::extended_p_square>>;

/// Inserts a suffix between the name and the labels of `name{labels}`.
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
              const Observations& aSummary)
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

struct Summary::State
{
  std::mutex mutex_;
  Observations observations_{ ba::tag::extended_p_square::probabilities =
                                kQuantiles };
};

Summary::Summary()
  : state_(std::make_unique<State>())
{
}

Summary::~Summary() = default;

void
Summary::Observe(double aValue)
{
  const std::lock_guard lock(state_->mutex_);
  state_->observations_(aValue);
}

struct Metrics::State
{
  std::mutex mutex_;
  std::map<std::string, Counter> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, Summary> summaries_;
};

Metrics::Metrics()
  : state_(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

Counter&
Metrics::CounterOf(const std::string& aName)
{
  const std::lock_guard lock(state_->mutex_);
  return state_->counters_.try_emplace(aName).first->second;
}

Summary&
Metrics::SummaryOf(const std::string& aName)
{
  const std::lock_guard lock(state_->mutex_);
  return state_->summaries_.try_emplace(aName).first->second;
}

void
Metrics::Count(const std::string& aName, std::uint64_t aDelta)
{
  CounterOf(aName).Add(aDelta);
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
  SummaryOf(aName).Observe(aValue);
}

std::string
Metrics::Render() const
{
  const std::lock_guard lock(state_->mutex_);
  std::ostringstream out;
  for (const auto& [name, counter] : state_->counters_) {
    out << name << ' ' << counter.Value() << '\n';
  }
  for (const auto& [name, value] : state_->gauges_) {
    out << name << ' ' << value << '\n';
  }
  for (const auto& [name, summary] : state_->summaries_) {
    const std::lock_guard inner(summary.state_->mutex_);
    RenderSummary(out, name, summary.state_->observations_);
  }
  return out.str();
}

} // namespace marjoramtally
