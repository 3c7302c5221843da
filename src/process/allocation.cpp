#include "marjoramtally/process/allocation.hpp"

#include <algorithm>
#include <cmath>

namespace marjoramtally {

Allocation::Allocation(AllocationPolicy aPolicy) noexcept
  : policy_(aPolicy)
{
}

void
Allocation::SetUsers(const std::vector<EngineUserRule>& aUsers)
{
  std::map<EngineUserId, User> next;
  for (const EngineUserRule& rule : aUsers) {
    User user = users_[rule.id_];
    user.rule_ = rule;
    next.emplace(rule.id_, user);
  }
  users_ = std::move(next);
  for (auto& [id, engine] : engines_) {
    if (!users_.contains(engine.user_)) {
      engine.user_ = EngineUserId{};
    }
  }
}

void
Allocation::SetEngines(const std::vector<UpstreamId>& aEngines)
{
  std::map<UpstreamId, Engine> next;
  for (auto& [id, user] : users_) {
    user.held_ = 0;
  }
  for (const UpstreamId& id : aEngines) {
    const Engine engine = engines_[id];
    const auto user = users_.find(engine.user_);
    if (user != users_.end()) {
      ++user->second.held_;
    }
    next.emplace(id, engine);
  }
  engines_ = std::move(next);
}

void
Allocation::Adopt(const UpstreamId& aEngine, const EngineUserId& aUser)
{
  const auto engine = engines_.find(aEngine);
  const auto user = users_.find(aUser);
  if (engine == engines_.end() || user == users_.end() ||
      !engine->second.user_.Get().empty()) {
    return;
  }
  engine->second.user_ = aUser;
  ++user->second.held_;
}

void
Allocation::OnDemand(const EngineUserId& aUser, double aEngines, TimePoint aNow)
{
  const auto found = users_.find(aUser);
  if (found == users_.end()) {
    return;
  }
  User& user = found->second;
  const auto passed = static_cast<double>((aNow - user.demandAt_).count());
  const double keep =
    std::exp(-passed / static_cast<double>(policy_.smoothing_.count()));
  user.average_ = user.average_ * keep + aEngines * (1.0 - keep);
  user.demand_ = aEngines;
  user.demandAt_ = aNow;
}

std::uint64_t
Allocation::Wanted(const User& aUser) const noexcept
{
  const auto held = static_cast<double>(aUser.held_);
  double engines = aUser.average_;
  if (aUser.rule_.live_) {
    const bool over = aUser.demand_ > policy_.highWater_ * held;
    const bool under = aUser.average_ < policy_.lowWater_ * (held - 1.0);
    const double targetLoad = (policy_.highWater_ + policy_.lowWater_) / 2.0;
    engines = over    ? std::max(aUser.demand_, aUser.average_) / targetLoad
              : under ? aUser.average_ / targetLoad
                      : held;
  }
  const auto wanted = static_cast<std::uint64_t>(std::ceil(engines));
  return std::clamp(wanted,
                    std::min(aUser.rule_.floor_, aUser.rule_.ceiling_),
                    aUser.rule_.ceiling_);
}

void
Allocation::Grant(Targets& aTargets,
                  std::uint64_t& aLeft,
                  const EngineUserId& aUser,
                  std::uint64_t aUpTo) const
{
  std::uint64_t& target = aTargets[aUser];
  const std::uint64_t more =
    std::min(aLeft, aUpTo > target ? aUpTo - target : 0);
  target += more;
  aLeft -= more;
}

Allocation::Targets
Allocation::ComputeTargets() const
{
  Targets targets;
  std::uint64_t left = engines_.size();
  for (const bool live : { true, false }) {
    for (const auto& [id, user] : users_) {
      if (user.rule_.live_ == live) {
        Grant(targets, left, id, user.rule_.floor_);
      }
    }
  }
  for (const auto& [id, user] : users_) {
    if (user.rule_.live_) {
      Grant(targets, left, id, Wanted(user));
    }
  }
  ShareByWeight(targets, left, false);
  ShareByWeight(targets, left, true);
  return targets;
}

void
Allocation::ShareByWeight(Targets& aTargets,
                          std::uint64_t& aLeft,
                          bool aBeyondDemand) const
{
  while (aLeft > 0) {
    const User* least = nullptr;
    double lowest = 0.0;
    for (const auto& [id, user] : users_) {
      const std::uint64_t most =
        aBeyondDemand ? user.rule_.ceiling_ : Wanted(user);
      const std::uint64_t target = aTargets[id];
      const double level = static_cast<double>(target + 1) /
                           static_cast<double>(user.rule_.share_);
      if (target < most && !(aBeyondDemand && user.rule_.live_) &&
          (least == nullptr || level < lowest)) {
        least = &user;
        lowest = level;
      }
    }
    if (least == nullptr) {
      return;
    }
    ++aTargets[least->rule_.id_];
    --aLeft;
  }
}

std::vector<EngineMove>
Allocation::Decide(TimePoint aNow)
{
  std::vector<EngineMove> out;
  const Targets targets = ComputeTargets();
  AssignFree(targets, aNow, out);
  ReclaimForLive(targets, aNow, out);
  Rebalance(targets, aNow, out);
  return out;
}

void
Allocation::AssignFree(const Targets& aTargets,
                       TimePoint aNow,
                       std::vector<EngineMove>& aOut)
{
  for (auto& entry : engines_) {
    User* to = LargestDeficit(aTargets);
    if (entry.second.user_.Get().empty() && to != nullptr) {
      Move(entry, *to, false, aNow, aOut);
    }
  }
}

void
Allocation::ReclaimForLive(const Targets& aTargets,
                           TimePoint aNow,
                           std::vector<EngineMove>& aOut)
{
  for (auto& [id, user] : users_) {
    while (user.rule_.live_ && user.held_ < aTargets.at(id)) {
      const User* from = LargestSurplus(aTargets);
      auto* engine = from == nullptr ? nullptr : LongestHeld(from->rule_.id_);
      if (engine == nullptr) {
        break;
      }
      Move(*engine, user, true, aNow, aOut);
    }
  }
}

void
Allocation::Rebalance(const Targets& aTargets,
                      TimePoint aNow,
                      std::vector<EngineMove>& aOut)
{
  const User* from = LargestSurplus(aTargets);
  User* to = LargestDeficit(aTargets);
  if (from == nullptr || to == nullptr) {
    imbalancedSince_ = kNever;
    return;
  }
  if (imbalancedSince_ == kNever) {
    imbalancedSince_ = aNow;
  }
  auto* engine = LongestHeld(from->rule_.id_);
  if (aNow - imbalancedSince_ < policy_.hold_ || engine == nullptr ||
      aNow - engine->second.movedAt_ < policy_.dwell_) {
    return;
  }
  Move(*engine, *to, false, aNow, aOut);
}

const Allocation::User*
Allocation::LargestSurplus(const Targets& aTargets) const
{
  const User* most = nullptr;
  std::uint64_t over = 0;
  for (const auto& [id, user] : users_) {
    const std::uint64_t target = aTargets.at(id);
    if (user.held_ > target && user.held_ - target > over) {
      over = user.held_ - target;
      most = &user;
    }
  }
  return most;
}

Allocation::User*
Allocation::LargestDeficit(const Targets& aTargets)
{
  User* most = nullptr;
  std::uint64_t under = 0;
  for (auto& [id, user] : users_) {
    const std::uint64_t target = aTargets.at(id);
    if (target > user.held_ && target - user.held_ > under) {
      under = target - user.held_;
      most = &user;
    }
  }
  return most;
}

std::pair<const UpstreamId, Allocation::Engine>*
Allocation::LongestHeld(const EngineUserId& aUser)
{
  std::pair<const UpstreamId, Engine>* oldest = nullptr;
  for (auto& entry : engines_) {
    if (entry.second.user_ == aUser &&
        (oldest == nullptr ||
         entry.second.movedAt_ < oldest->second.movedAt_)) {
      oldest = &entry;
    }
  }
  return oldest;
}

void
Allocation::Move(std::pair<const UpstreamId, Engine>& aEngine,
                 User& aTo,
                 bool aUrgent,
                 TimePoint aNow,
                 std::vector<EngineMove>& aOut)
{
  const EngineUserId from = aEngine.second.user_;
  const auto holder = users_.find(from);
  if (holder != users_.end()) {
    --holder->second.held_;
  }
  ++aTo.held_;
  aEngine.second = { aTo.rule_.id_, aNow };
  aOut.push_back({ aEngine.first, from, aTo.rule_.id_, aUrgent });
}

std::uint64_t
Allocation::Held(const EngineUserId& aUser) const
{
  const auto found = users_.find(aUser);
  return found == users_.end() ? 0 : found->second.held_;
}

std::map<UpstreamId, EngineUserId>
Allocation::Assigned() const
{
  std::map<UpstreamId, EngineUserId> assigned;
  for (const auto& [id, engine] : engines_) {
    assigned.emplace(id, engine.user_);
  }
  return assigned;
}

EngineUserId
Allocation::UserOf(const UpstreamId& aEngine) const
{
  const auto found = engines_.find(aEngine);
  return found == engines_.end() ? EngineUserId{} : found->second.user_;
}

} // namespace marjoramtally
