/// Allocates the engines of one service to its live callers and trainers by
/// floor, share and ceiling. Moves have hysteresis, except that live demand
/// reclaims engines at once.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"

#include <map>
#include <vector>

namespace marjoramtally {

/// Identifies a user of engines: a trainer, or all live callers of a service.
using EngineUserId = Strong<std::string, struct EngineUserTag>;

/// Limits of one user, in engines.
struct EngineUserRule
{
  EngineUserId id_;
  /// Engines that the user keeps whatever its demand.
  std::uint64_t floor_ = 0;
  std::uint64_t ceiling_ = UINT64_MAX;
  /// Weight among users whose demand exceeds their floor.
  std::uint64_t share_ = 1;
  /// Demand of a live user is met first and reclaims engines at once.
  bool live_ = false;
};

/// Hysteresis of moves between users.
struct AllocationPolicy
{
  /// Time constant of the average demand that decides non-urgent moves.
  Duration smoothing_ = std::chrono::seconds(5);
  /// How long allocation and target must differ before an engine moves.
  Duration hold_ = std::chrono::seconds(5);
  /// Minimum time an engine stays with a user, unless live demand reclaims
  /// it.
  Duration dwell_ = std::chrono::minutes(2);
  /// Live demand above this fraction of the live engines reclaims engines at
  /// once. Average demand below `lowWater_` of all but one of them releases
  /// engines after `hold_`.
  double highWater_ = 0.85;
  double lowWater_ = 0.6;
};

/// Reassigns an engine to another user.
struct EngineMove
{
  UpstreamId engine_;
  EngineUserId from_;
  EngineUserId to_;
  /// Reclaimed for live demand.
  bool urgent_ = false;
};

/// The allocation of one service. Not thread-safe.
class Allocation
{
public:
  explicit Allocation(AllocationPolicy aPolicy) noexcept;

  void SetUsers(const std::vector<EngineUserRule>& aUsers);
  /// Replaces the list of engines: missing ones are dropped, new ones are
  /// unassigned.
  void SetEngines(const std::vector<UpstreamId>& aEngines);
  /// Assigns an unassigned engine as an earlier allocation did, for instance
  /// that of the previous owner.
  void Adopt(const UpstreamId& aEngine, const EngineUserId& aUser);
  /// @param aEngines number of engines that the user's work would keep busy
  void OnDemand(const EngineUserId& aUser, double aEngines, TimePoint aNow);
  /// @returns moves to make now; they are already applied to this allocation
  [[nodiscard]] std::vector<EngineMove> Decide(TimePoint aNow);
  [[nodiscard]] std::uint64_t Held(const EngineUserId& aUser) const;
  [[nodiscard]] std::map<UpstreamId, EngineUserId> Assigned() const;
  /// @returns the user of an engine; empty if unassigned or unknown
  [[nodiscard]] EngineUserId UserOf(const UpstreamId& aEngine) const;

private:
  struct User
  {
    EngineUserRule rule_;
    double demand_ = 0.0;
    double average_ = 0.0;
    TimePoint demandAt_;
    std::uint64_t held_ = 0;
  };
  struct Engine
  {
    EngineUserId user_;
    TimePoint movedAt_;
  };
  using Targets = std::map<EngineUserId, std::uint64_t>;

  [[nodiscard]] std::uint64_t Wanted(const User& aUser) const noexcept;
  [[nodiscard]] Targets ComputeTargets() const;
  void Grant(Targets& aTargets,
             std::uint64_t& aLeft,
             const EngineUserId& aUser,
             std::uint64_t aUpTo) const;
  void ShareByWeight(Targets& aTargets,
                     std::uint64_t& aLeft,
                     bool aBeyondDemand) const;
  void AssignFree(const Targets& aTargets,
                  TimePoint aNow,
                  std::vector<EngineMove>& aOut);
  void ReclaimForLive(const Targets& aTargets,
                      TimePoint aNow,
                      std::vector<EngineMove>& aOut);
  void Rebalance(const Targets& aTargets,
                 TimePoint aNow,
                 std::vector<EngineMove>& aOut);
  /// @returns the user that exceeds its target by most; nullptr if none does
  [[nodiscard]] const User* LargestSurplus(const Targets& aTargets) const;
  /// @returns the user that is below its target by most; nullptr if none is
  [[nodiscard]] User* LargestDeficit(const Targets& aTargets);
  /// @returns the engine that a user has held longest
  [[nodiscard]] std::pair<const UpstreamId, Engine>* LongestHeld(
    const EngineUserId& aUser);
  void Move(std::pair<const UpstreamId, Engine>& aEngine,
            User& aTo,
            bool aUrgent,
            TimePoint aNow,
            std::vector<EngineMove>& aOut);

  AllocationPolicy policy_;
  std::map<EngineUserId, User> users_;
  std::map<UpstreamId, Engine> engines_;
  /// Start of the current difference between targets and held engines.
  TimePoint imbalancedSince_ = kNever;
};

} // namespace marjoramtally
