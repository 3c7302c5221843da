/// Staleness bounds of samples and validation of their version labels. The age
/// of a version counts from the announcement of the next newer one.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/request/sample.hpp"

#include <map>

namespace marjoramtally {

/// How stale a delivered sample may be.
struct StalenessRule
{
  /// How many versions the oldest version of a sample may be behind the
  /// trainer's.
  std::uint64_t versions_ = 1;
  /// Time since the oldest version was superseded; zero sets no bound.
  Duration age_{ 0 };
};

/// Versions of one model announced by its trainer.
class VersionHistory
{
public:
  /// Number of versions kept; older ones count as never announced.
  static constexpr std::size_t kMaxVersions = 64;

  /// Adds a version announced now; ignored unless it is newer than all others.
  void Announce(WeightVersion aVersion, TimePoint aNow);
  /// Adds a version whose time of announcement is unknown. The version before
  /// it was then superseded at an unknown time, so a bound on age excludes that
  /// one.
  void AddPast(WeightVersion aVersion);
  [[nodiscard]] bool Announced(WeightVersion aVersion) const noexcept;
  /// @returns the newest announced version; 0 if there is none
  [[nodiscard]] WeightVersion Newest() const noexcept;
  /// @returns the oldest version that was superseded at most `aAge` ago; the
  /// newest counts as not superseded
  [[nodiscard]] WeightVersion OldestWithin(Duration aAge,
                                           TimePoint aNow) const noexcept;

private:
  void Trim();

  /// Time of announcement of each version; `kUnknownTime` if unknown.
  std::map<WeightVersion, TimePoint> announced_;
};

/// @returns the oldest version that may be delivered now to a trainer at
/// version `aTrainer`
[[nodiscard]] WeightVersion
OldestAllowed(const StalenessRule& aRule,
              const VersionHistory& aHistory,
              WeightVersion aTrainer,
              TimePoint aNow) noexcept;

/// @returns whether the labels cover all tokens and name only announced
/// versions
[[nodiscard]] bool
LabelsCertain(const Sample& aSample, const VersionHistory& aHistory) noexcept;

} // namespace marjoramtally
