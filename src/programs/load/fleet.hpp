/// A fleet of fake engines before several entries, with late reports and
/// late, gappy cache events; it keeps the measures of one run.
#pragma once

#include "programs/load/bench_entry.hpp"
#include "programs/load/decide.hpp"

namespace marjoramtally::bench {

/// How a fleet is built.
struct FleetSettings
{
  std::size_t engines_ = 9;
  std::size_t entries_ = 6;
  EngineSettings engine_;
  /// Every third engine takes this many times longer; 1 is a uniform fleet.
  double olderSlowdown_ = 1;
  /// Age of a report when it reaches an entry.
  Duration reportLag_ = std::chrono::seconds(1);
  Duration reportPeriod_ = std::chrono::milliseconds(200);
  Duration cacheEventLag_ = std::chrono::milliseconds(500);
  /// Share of cache events that are lost.
  double cacheEventLoss_ = 0.2;
  std::uint64_t seed_ = 1;
  /// Ends before this time are not measured.
  TimePoint measureFrom_{ std::chrono::seconds(5) };
};

/// What one run counts.
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

/// Not thread-safe; one fleet is one run.
class Fleet
{
public:
  using MakeQueue = std::function<std::unique_ptr<QueuePolicy>()>;

  Fleet(const FleetSettings& aSettings,
        const RoutePolicySpec& aRoutes,
        const MakeQueue& aMakeQueue = MakeClassQueue);

  /// Adds live callers; they start with the run.
  void AddLive(const LiveSettings& aSettings);
  /// Adds a trainer; it starts with the run.
  void AddTrainer(const TrainerSettings& aSettings);
  /// Runs for a length of paused time.
  void Run(Duration aLength);

  /// Hands a request to one of the entries.
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
  /// Called with every outcome, measured or not.
  void OnOutcome(OutcomeSink aListener) { listener_ = std::move(aListener); }
  /// @returns the measures that all scenarios share
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

/// @returns the engines' speeds added up, in engines of the usual speed
[[nodiscard]] double
TotalSpeed(const FleetSettings& aSettings) noexcept;

/// Measures the requests per second that one engine completes of a mix of
/// live and trainer requests when it is never out of work.
/// @param aLiveShare share of live requests among all requests
[[nodiscard]] double
MeasurePeakRequests(const EngineSettings& aEngine,
                    const RequestShape& aLive,
                    const RequestShape& aTrainer,
                    double aLiveShare);

} // namespace marjoramtally::bench
