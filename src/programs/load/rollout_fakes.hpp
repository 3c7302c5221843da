/// Fakes for the rollout bench: weight store, permit record and sampler.
#pragma once

#include "programs/load/rollout_fleet.hpp"

namespace marjoramtally::bench {

/// Serves loads up to its rate, counted over the last second, and refuses
/// others.
class FakeWeightStore
{
public:
  explicit FakeWeightStore(double aPerSecond) noexcept
    : perSecond_(aPerSecond)
  {
  }
  /// @returns whether the load may start
  [[nodiscard]] bool Load(TimePoint aNow);

  std::uint64_t loads_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t peak_ = 0;

private:
  double perSecond_;
  std::deque<TimePoint> recent_;
};

/// A record in the platform's store with the time at which the next load may
/// start. Owners reserve turns by compare-and-swap; writes are served one after
/// another at the store's rate.
class PermitRecord
{
public:
  PermitRecord(EventLoop& aLoop, double aLoadsPerSecond) noexcept
    : loop_(aLoop)
    , turnInterval_(Duration(static_cast<Duration::rep>(1e6 / aLoadsPerSecond)))
  {
  }
  /// Reads the record and reserves the next turn; retries after a random delay
  /// on a conflict.
  void Reserve(std::function<void(TimePoint)> aDone,
               std::uint64_t aAttempt = 0);

  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;

private:
  void Write(std::uint64_t aRevision,
             std::function<void(TimePoint)> aDone,
             std::uint64_t aAttempt);

  EventLoop& loop_;
  Duration turnInterval_;
  Random random_{ 7 };
  std::uint64_t revision_ = 0;
  TimePoint nextTurn_;
  TimePoint writerFree_;
};

/// Permits of one owner that come from a `PermitRecord`; one turn is reserved
/// at a time.
class RecordPermits final : public LoadPermits
{
public:
  explicit RecordPermits(PermitRecord& aRecord) noexcept
    : record_(aRecord)
  {
  }
  void SetRate(double) noexcept override {}
  void OnNewWeights(Random&) noexcept override {}
  [[nodiscard]] bool Take(TimePoint aNow, bool aRetry) noexcept override;

private:
  PermitRecord& record_;
  bool reserving_ = false;
  std::optional<TimePoint> turn_;
};

/// Grants every load at once.
class UnpacedPermits final : public LoadPermits
{
public:
  void SetRate(double) noexcept override {}
  void OnNewWeights(Random&) noexcept override {}
  [[nodiscard]] bool Take(TimePoint, bool) noexcept override { return true; }
};

/// State of one simulated sampler.
struct FakeSampler
{
  UpstreamState state_;
  bool answering_ = true;
};

} // namespace marjoramtally::bench
