/// Simulated callers of the decision bench: open-loop live callers, and
/// trainers that open steps of sample groups. All are seeded.
#pragma once

#include "marjoramtally/base/random.hpp"
#include "programs/load/fake_engine.hpp"

#include <map>

namespace marjoramtally::bench {

/// Sizes of a kind of request.
struct RequestShape
{
  std::uint64_t promptTokens_ = 400;
  std::uint64_t prefixTokens_ = 320;
  /// Number of shared prefixes; a few of them are used most.
  std::uint64_t prefixes_ = 48;
  /// Mean of the exponentially distributed output length.
  double meanOutputTokens_ = 30;
  std::uint64_t maxOutputTokens_ = 1024;
};

/// Configuration of live callers.
struct LiveSettings
{
  double perSecond_ = 0;
  Duration deadline_ = std::chrono::seconds(2);
  /// Rate within a burst divided by the mean rate; 1 for no bursts. Bursts take
  /// the first fifth of each period.
  double burstFactor_ = 1;
  Duration burstPeriod_ = std::chrono::seconds(10);
  RequestShape shape_{ 400, 320, 48, 30, 48 };
};

/// Configuration of a trainer, which opens the next step when it starts to
/// train on the last one.
struct TrainerSettings
{
  TrainerId id_;
  std::uint32_t groups_ = 16;
  std::uint32_t groupSize_ = 8;
  /// Time to train on one step.
  Duration training_ = std::chrono::seconds(20);
  RequestShape shape_{ 200, 180, 0, 150, 512 };
};

/// One request: `spec_` for the decision libraries, `job_` for the engine.
struct BenchRequest
{
  RequestSpec spec_;
  EngineJob job_;
};

using BenchSink = std::function<void(BenchRequest)>;

/// @returns an exponentially distributed value
[[nodiscard]] double
Exponential(Random& aRandom, double aMean);

/// Makes requests of a shape.
class RequestMaker
{
public:
  explicit RequestMaker(std::uint64_t aSeed) noexcept
    : random_(aSeed)
  {
  }

  /// Makes a request whose `spec_` has the mean output length, not the real
  /// one.
  [[nodiscard]] BenchRequest Make(const RequestShape& aShape,
                                  RequestClass aClass,
                                  std::uint64_t aPrefix,
                                  TimePoint aNow);
  /// @returns a prefix of the shape; low numbers are the most frequent
  [[nodiscard]] std::uint64_t DrawPrefix(const RequestShape& aShape);
  [[nodiscard]] Random& Rng() noexcept { return random_; }

private:
  Random random_;
  std::uint64_t lastJob_ = 0;
};

/// Open-loop callers with Poisson arrivals.
class LiveCallers
{
public:
  LiveCallers(EventLoop& aLoop,
              RequestMaker& aMaker,
              const LiveSettings& aSettings,
              BenchSink aSink);
  void Start();

private:
  /// @returns the current number of arrivals per second
  [[nodiscard]] double Rate() const;

  EventLoop& loop_;
  RequestMaker& maker_;
  LiveSettings settings_;
  BenchSink sink_;
};

/// A trainer that generates one step ahead of the one it trains on.
class FakeTrainer
{
public:
  FakeTrainer(EventLoop& aLoop,
              RequestMaker& aMaker,
              TrainerSettings aSettings,
              BenchSink aSink);

  void Start();
  /// Called when one of its requests completes. Requests that end otherwise
  /// are not reported here.
  void OnComplete(GenerationId aJob);
  /// @returns the time without a complete step to train on, after the first one
  [[nodiscard]] Duration Idle() const noexcept { return idle_; }
  [[nodiscard]] const std::vector<double>& GroupSeconds() const noexcept
  {
    return groupSeconds_;
  }

private:
  void OpenStep();
  void StartTraining();

  EventLoop& loop_;
  RequestMaker& maker_;
  TrainerSettings settings_;
  BenchSink sink_;
  std::map<GenerationId, std::uint32_t> groupOf_;
  std::vector<std::uint32_t> remaining_;
  std::uint32_t remainingGroups_ = 0;
  TimePoint openedAt_;
  std::uint64_t lastPrefix_ = 0;
  bool stepComplete_ = false;
  bool training_ = false;
  bool trainedOnce_ = false;
  TimePoint idleSince_;
  Duration idle_{ 0 };
  std::vector<double> groupSeconds_;
};

} // namespace marjoramtally::bench
