/// The scenario `cost`: measures the real time of one routing decision and of
/// one routing state change with 16 and 1,600 upstreams, and of one route
/// lookup among 16 and 4,216 routes.

#include "marjoramtally/process.hpp"
#include "programs/load/decide.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <thread>

namespace marjoramtally::bench {

namespace {

using RealClock = std::chrono::steady_clock;

constexpr std::array<std::size_t, 2> kFleets{ 16, 1600 };
constexpr std::array<std::size_t, 2> kRouteCounts{ 16, 4216 };
constexpr std::size_t kZones = 12;
constexpr std::size_t kBatches = 2000;
constexpr std::size_t kPerBatch = 64;
constexpr std::size_t kChanges = 200;
constexpr std::size_t kThreads = 4;
constexpr std::size_t kPrefixes = 512;

ZoneId
ZoneOf(std::size_t aIndex)
{
  return ZoneId{ "zone-" + std::to_string(aIndex % kZones) };
}

std::vector<UpstreamView>
MakeViews(std::size_t aCount)
{
  std::vector<UpstreamView> views;
  for (std::size_t i = 0; i < aCount; ++i) {
    UpstreamView view;
    view.id_ = UpstreamId{ "upstream-" + std::to_string(i) };
    view.service_ = ServiceId{ "service" };
    view.zone_ = ZoneOf(i);
    view.address_ = "10.0.0.1:" + std::to_string(i);
    views.push_back(view);
  }
  return views;
}

UpstreamReport
MakeReport(std::uint64_t aVersion, std::uint64_t aRunning)
{
  UpstreamReport report;
  report.models_["model"] = WeightVersion{ aVersion };
  report.running_ = aRunning;
  return report;
}

double
Nanos(RealClock::duration aTook, std::size_t aCount)
{
  const auto nanos =
    std::chrono::duration_cast<std::chrono::nanoseconds>(aTook).count();
  return static_cast<double>(nanos) / static_cast<double>(aCount);
}

/// @returns the median time of one pick, in nanoseconds
double
TimePicks(Router& aRouter, std::uint64_t aSeed)
{
  Random random(aSeed);
  RequestSpec spec;
  spec.service_ = ServiceId{ "service" };
  spec.model_ = "model";
  spec.minVersion_ = WeightVersion{ 1 };
  spec.promptTokens_ = 400;
  spec.outputTokens_ = 30;
  Distribution samples;
  for (std::size_t batch = 0; batch < kBatches; ++batch) {
    std::vector<UpstreamPtr> picked;
    picked.reserve(kPerBatch);
    const TimePoint now{ Duration(batch * 1000) };
    const auto start = RealClock::now();
    for (std::size_t i = 0; i < kPerBatch; ++i) {
      spec.prefixHash_ = 1 + random.Below(kPrefixes);
      picked.push_back(aRouter.Pick(spec, {}, now));
    }
    samples.Add(Nanos(RealClock::now() - start, kPerBatch));
    for (const UpstreamPtr& upstream : picked) {
      aRouter.OnSent(upstream->id_, spec, now);
      aRouter.OnDone(upstream->id_, spec, { .sentAt_ = now }, now);
    }
  }
  return samples.Quantile(0.5);
}

/// @returns the highest median time per pick among threads that pick
/// concurrently, in nanoseconds
double
TimePicksOfThreads(Router& aRouter)
{
  std::array<double, kThreads> nanos{};
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back(
      [&aRouter, &nanos, i] { nanos[i] = TimePicks(aRouter, i); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return *std::max_element(nanos.begin(), nanos.end());
}

/// @returns the median time to apply a report that changes a weight version,
/// in nanoseconds
double
TimeChanges(Router& aRouter, const std::vector<UpstreamView>& aViews)
{
  Distribution samples;
  for (std::size_t i = 0; i < kChanges; ++i) {
    const UpstreamReport report = MakeReport(2 + i, 0);
    const auto start = RealClock::now();
    aRouter.OnReport(aViews[i % aViews.size()].id_, report, {});
    aRouter.Refresh({});
    samples.Add(Nanos(RealClock::now() - start, 1));
  }
  return samples.Quantile(0.5);
}

/// @returns the median time of one route lookup, in nanoseconds; -1 if a
/// lookup failed
double
TimeMatches(std::size_t aRoutes)
{
  RoutingConfig config;
  config.revision_ = ConfigRevision{ 1 };
  for (std::size_t i = 0; i < aRoutes; ++i) {
    Route route;
    route.host_ = "host" + std::to_string(i % 4) + ".example";
    route.prefix_ = "/prefix" + std::to_string(i) + "/";
    config.routes_.push_back(std::move(route));
  }
  RouteTable table;
  table.Apply(std::move(config));
  Distribution samples;
  std::size_t found = 0;
  for (std::size_t batch = 0; batch < kBatches; ++batch) {
    const std::size_t route = (batch * 7919) % aRoutes;
    const std::string host = "host" + std::to_string(route % 4) + ".example";
    const std::string path = "/prefix" + std::to_string(route) + "/3/91c4";
    const auto start = RealClock::now();
    for (std::size_t i = 0; i < kPerBatch; ++i) {
      found += table.Match(host, path) != nullptr ? 1 : 0;
    }
    samples.Add(Nanos(RealClock::now() - start, kPerBatch));
  }
  return found == kBatches * kPerBatch ? samples.Quantile(0.5) : -1;
}

DecideRow
Row(const std::string& aName, double aNanos)
{
  DecideRow row;
  row.policy_ = aName;
  row.decisionNanos_ = aNanos;
  return row;
}

} // namespace

DecideRows
RunCostScenario(const DecideOptions& aOptions)
{
  DecideRows rows;
  for (const std::size_t count : kFleets) {
    Router router(ZoneOf(0), aOptions.seed_);
    const std::vector<UpstreamView> views = MakeViews(count);
    router.SetUpstreams(views, {});
    Random random(aOptions.seed_);
    for (const UpstreamView& view : views) {
      router.OnReport(view.id_, MakeReport(1, random.Below(30)), {});
    }
    router.Refresh({});
    const std::string name = std::to_string(count);
    rows.push_back(Row("pick of " + name, TimePicks(router, aOptions.seed_)));
    rows.push_back(
      Row("pick of " + name + ", threads", TimePicksOfThreads(router)));
    rows.push_back(Row("change of " + name, TimeChanges(router, views)));
  }
  for (const std::size_t count : kRouteCounts) {
    rows.push_back(
      Row("route of " + std::to_string(count), TimeMatches(count)));
  }
  return rows;
}

} // namespace marjoramtally::bench
