/// A fleet of fake engines behind several entries, with delayed reports and
/// delayed, partly lost cache events; it keeps the measurements of one run.
#pragma once

#include "programs/load/bench_entry.hpp"
#include "programs/load/decide.hpp"

namespace marjoramtally::bench {

/// Configuration of a fleet.
struct FleetSettings
{
  std::size_t engines_ = 9;
  std::size_t entries_ = 6;
  EngineSettings engine_;
  /// Factor on the step times of every third engine; 1 for a uniform fleet.
  double olderSlowdown_ = 1;
  /// Age of a report when it reaches an entry.
  Duration reportLag_ = std::chrono::seconds(1);
  Duration reportPeriod_ = std::chrono::milliseconds(200);
  Duration cacheEventLag_ = std::chrono::milliseconds(500);
  /// Share of cache events that are lost, from 0 to 1.
  double cacheEventLoss_ = 0.2;
  std::uint64_t seed_ = 1;
  /// Requests that end before this time are not counted.
  TimePoint measureFrom_{ std::chrono::seconds(5) };
};

/// Measurements of one run.
struct FleetMeasures
{
  std::uint64_t live_ = 0;
  std::uint64_t liveLate_ = 0;
  std::uint64_t liveRefused_ = 0;
  std::uint64_t usefulTokens_ = 0;
  std::uint64_t wastedTokens_ = 0;
  std::uint64_t cacheHits_ = 0;
  std::uint64_t completed_ = 0;
  std::uint64_t retried_ = 0;
  std::uint64_t failed_ = 0;
  std::vector<std::uint64_t> livePerEngine_;
  Distribution liveMillis_;
  /// Time from arrival to refusal.
  Distribution refusedAfterMillis_;
};

/// Not thread-safe; a fleet serves a single run.
class Fleet
{
public:
  using MakeQueue = std::function<std::unique_ptr<QueuePolicy>()>;

  Fleet(const FleetSettings& aSettings,
        const RoutePolicySpec& aRoutes,
        const MakeQueue& aMakeQueue = MakeClassQueue);

  /// Adds live callers, which start with the run.
  void AddLive(const LiveSettings& aSettings);
  /// Adds a trainer, which starts with the run.
  void AddTrainer(const TrainerSettings& aSettings);
  /// Runs for a length of simulated time.
  void Run(Duration aLength);

  /// Submits a request to a randomly chosen entry.
  void Submit(BenchRequest aRequest);

  [[nodiscard]] EventLoop& Loop() noexcept { return loop_; }
  [[nodiscard]] FakeEngine& Engine(EngineIndex aIndex)
  {
    return *engines_[aIndex.Get()];
  }
  [[nodiscard]] const FleetMeasures& Measures() const noexcept
  {
    return measures_;
  }
  /// Sets a listener for every outcome, including those not counted.
  void OnOutcome(OutcomeSink aListener) { listener_ = std::move(aListener); }
  /// @returns the measurements that all scenarios share
  [[nodiscard]] DecideRow Row(std::string_view aPolicy, double aLoad) const;

private:
  void DeliverReports();
  void DeliverCacheEvent(EngineIndex aEngine, const CacheEvent& aEvent);
  void CountOutcome(const BenchOutcome& aOutcome);

  FleetSettings settings_;
  EventLoop loop_;
  RequestMaker maker_;
  Random random_;
  Engines engines_;
  std::vector<std::unique_ptr<BenchEntry>> entries_;
  std::vector<std::unique_ptr<LiveCallers>> live_;
  std::vector<std::unique_ptr<FakeTrainer>> trainers_;
  std::map<TrainerId, FakeTrainer*> trainerOf_;
  OutcomeSink listener_;
  FleetMeasures measures_;
};

/// @returns the sum of the engines' speeds, in engines of nominal speed
[[nodiscard]] double
TotalSpeed(const FleetSettings& aSettings) noexcept;

/// Measures the requests per second that one saturated engine completes, for a
/// mix of live and trainer requests.
/// @param aLiveShare share of live requests among all requests
[[nodiscard]] double
MeasurePeakRequests(const EngineSettings& aEngine,
                    const RequestShape& aLive,
                    const RequestShape& aTrainer,
                    double aLiveShare);

} // namespace marjoramtally::bench
