/// How old a sample may be, and whether its labels are certain. A version
/// ages from the moment at which a newer one was announced.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/request/sample.hpp"

#include <map>

namespace marjoramtally {

/// How far behind its trainer a delivered sample may be.
struct StalenessRule
{
  /// Versions the oldest version of a sample may be behind the trainer's.
  std::uint64_t versions_ = 1;
  /// Time since the oldest version was superseded; zero sets no bound.
  Duration age_{ 0 };
};

/// The versions of one model that its trainer announced.
class VersionHistory
{
public:
  /// Versions remembered; older ones count as never announced.
  static constexpr std::size_t kMaxVersions = 64;

  /// Adds a version announced now; versions that are known change nothing.
  void Announce(WeightVersion aVersion, TimePoint aNow);
  /// Adds a version announced at a time that nobody remembers. When it was
  /// superseded is unknown too, so that any bound on age excludes it unless
  /// it is the newest.
  void AddPast(WeightVersion aVersion);
  [[nodiscard]] bool Announced(WeightVersion aVersion) const noexcept;
  /// @returns the newest announced version; 0 if there is none
  [[nodiscard]] WeightVersion Newest() const noexcept;
  /// @returns the oldest version superseded no longer ago than `aAge`
  [[nodiscard]] WeightVersion OldestWithin(Duration aAge,
                                           TimePoint aNow) const noexcept;

private:
  void Trim();

  /// When each version was announced; `kUnknownTime` if nobody remembers.
  std::map<WeightVersion, TimePoint> announced_;
};

/// @returns the oldest version that a trainer at `aTrainer` may be given now
[[nodiscard]] WeightVersion
OldestAllowed(const StalenessRule& aRule,
              const VersionHistory& aHistory,
              WeightVersion aTrainer,
              TimePoint aNow) noexcept;

/// @returns whether the labels cover all tokens and name only versions that
/// were announced
[[nodiscard]] bool
LabelsCertain(const Sample& aSample, const VersionHistory& aHistory) noexcept;

} // namespace marjoramtally
