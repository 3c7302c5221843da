/// Shares the engines of one service out among its live callers and trainers
/// by rules of floor, share and ceiling. Moves have hysteresis; live demand
/// takes engines back at once.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"

#include <map>
#include <vector>

namespace marjoramtally {

/// Who engines are for: the live callers of a service or a trainer.
using EngineUserId = Strong<std::string, struct EngineUserTag>;

/// What the rules give one user, in engines.
struct EngineUserRule
{
  EngineUserId id_;
  /// Never taken from it, whatever its demand.
  std::uint64_t floor_ = 0;
  std::uint64_t ceiling_ = UINT64_MAX;
  /// Weight among users that want more than their floor.
  std::uint64_t share_ = 1;
  /// Its demand is met before that of others and takes engines back at once.
  bool live_ = false;
};

/// How readily engines move.
struct AllocationPolicy
{
  /// Time constant of the average of demand that slow moves follow.
  Duration smoothing_ = std::chrono::seconds(5);
  /// How long a difference has to last before engines move for it.
  Duration hold_ = std::chrono::seconds(5);
  /// How long an engine stays where it is, unless live demand takes it.
  Duration dwell_ = std::chrono::minutes(2);
  /// Live demand over this part of its engines takes engines back at once;
  /// under `lowWater_` of them it lets one go after the hold.
  double highWater_ = 0.85;
  double lowWater_ = 0.6;
};

/// Gives an engine to another user.
struct EngineMove
{
  UpstreamId engine_;
  EngineUserId from_;
  EngineUserId to_;
  /// Taken back for live demand.
  bool urgent_ = false;
};

/// The allocation of one service. Not thread-safe.
class Allocation
{
public:
  explicit Allocation(AllocationPolicy aPolicy) noexcept;

  void SetUsers(const std::vector<EngineUserRule>& aUsers);
  /// Engines that are gone are forgotten, new ones belong to nobody yet.
  void SetEngines(const std::vector<UpstreamId>& aEngines);
  /// Takes over an allocation made before, for instance by the last owner.
  void Adopt(const UpstreamId& aEngine, const EngineUserId& aUser);
  /// @param aEngines how many engines its work would keep busy now
  void OnDemand(const EngineUserId& aUser, double aEngines, TimePoint aNow);
  /// Moves to make now; they count as made.
  [[nodiscard]] std::vector<EngineMove> Decide(TimePoint aNow);
  [[nodiscard]] std::uint64_t Held(const EngineUserId& aUser) const;
  [[nodiscard]] std::map<UpstreamId, EngineUserId> Assigned() const;
  /// @returns whose an engine is; empty for nobody's
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
  /// @returns the user that holds most over its target, none if nobody does
  [[nodiscard]] const User* LargestSurplus(const Targets& aTargets) const;
  [[nodiscard]] User* LargestDeficit(const Targets& aTargets);
  /// @returns the engine of a user that has stayed longest
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
  /// Since when the targets have differed from what is held.
  TimePoint imbalancedSince_ = kNever;
};

} // namespace marjoramtally
