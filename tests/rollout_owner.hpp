/// An owner and fake engines on a simulated clock, for tests of rollouts.
#pragma once

#include "marjoramtally/process/rollout.hpp"

#include <functional>

namespace marjoramtally::test {

using namespace std::chrono_literals;

inline const ServiceId kService{ "lm" };
inline const UpstreamId kEngine{ "engine-1" };

/// An engine on which orders take effect at once. Tests decide when orders
/// arrive and whether replies do.
struct FakeEngine
{
  bool checks_ = true;
  std::uint64_t seen_ = 0;
  UpstreamState state_;

  OrderEnd Take(const SendOrder& aOrder)
  {
    if (checks_ && aOrder.term_.Get() < seen_) {
      return OrderEnd::Refused;
    }
    seen_ = std::max(seen_, aOrder.term_.Get());
    if (aOrder.kind_ == OrderKind::Prefetch) {
      state_.loaded_[aOrder.model_] = aOrder.version_;
    } else if (aOrder.kind_ == OrderKind::Switch) {
      state_.served_[aOrder.model_] = aOrder.version_;
    }
    return OrderEnd::Done;
  }
  [[nodiscard]] std::uint64_t Served() const
  {
    const auto found = state_.served_.find("m");
    return found == state_.served_.end() ? 0 : found->second.Get();
  }
};

inline RolloutPolicy
MakePolicy()
{
  RolloutPolicy policy;
  policy.maxAttempts_ = 3;
  return policy;
}

/// One owner with its own clock and lease.
struct Owner
{
  Rollout rollout_{ MakePolicy(), 1 };
  TimePoint now_;
  std::map<UpstreamId, FakeEngine*> engines_;
  std::vector<RolloutNoticeKind> notices_;
  /// Decides how an order ends; by default, the engine does.
  std::function<OrderEnd(const SendOrder&, FakeEngine&)> onOrder_ =
    [](const SendOrder& aOrder, FakeEngine& aEngine) {
      return aEngine.Take(aOrder);
    };
  bool readable_ = true;

  void Own(const UpstreamId& aId, FakeEngine& aEngine, std::uint64_t aTerm)
  {
    engines_[aId] = &aEngine;
    rollout_.OnOwned(
      { aId, kService, aEngine.checks_ }, FencingNumber{ aTerm }, now_);
  }
  void Want(std::uint64_t aVersion, std::uint64_t aSlots = 1)
  {
    rollout_.SetGoal(kService,
                     { { { "m", WeightVersion{ aVersion } } }, aSlots, 0ms });
  }
  void Perform(const RolloutAction& aAction)
  {
    if (const auto* order = std::get_if<SendOrder>(&aAction)) {
      const OrderEnd end = now_ > order->sendBy_
                             ? OrderEnd::NotSent
                             : onOrder_(*order, *engines_[order->upstream_]);
      rollout_.OnOrderEnd(*order, end, now_);
    } else if (const auto* read = std::get_if<ReadState>(&aAction)) {
      if (readable_) {
        rollout_.OnState(
          read->upstream_, engines_[read->upstream_]->state_, now_, now_);
      } else {
        rollout_.OnUnreadable(read->upstream_, now_);
      }
    } else {
      notices_.push_back(std::get<RolloutNotice>(aAction).kind_);
    }
  }
  /// Runs for this long in steps of 50 ms. The lease is renewed if `aLeased` is
  /// set.
  void Run(Duration aFor, bool aLeased = true)
  {
    const TimePoint end = now_ + aFor;
    while (now_ < end) {
      if (aLeased) {
        rollout_.OnLease(now_ + 10s);
      }
      for (const RolloutAction& action : rollout_.Decide(now_)) {
        Perform(action);
      }
      now_ = now_ + 50ms;
    }
  }
  [[nodiscard]] bool Noticed(RolloutNoticeKind aKind) const
  {
    return std::count(notices_.begin(), notices_.end(), aKind) > 0;
  }
};

} // namespace marjoramtally::test
