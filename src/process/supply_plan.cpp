#include "marjoramtally/process/supply_plan.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace marjoramtally {

namespace {

/// Maximum delay between the boot or end of an upstream and the change of its
/// registration.
constexpr auto kRegistrationLag = std::chrono::seconds(4);

std::uint32_t
TotalCount(const std::map<ZoneId, std::uint32_t>& aCounts)
{
  return std::accumulate(
    aCounts.begin(),
    aCounts.end(),
    0U,
    [](std::uint32_t aSum, const auto& aZone) { return aSum + aZone.second; });
}

std::uint32_t
ZoneCount(const std::map<ZoneId, std::uint32_t>& aCounts, const ZoneId& aZone)
{
  const auto found = aCounts.find(aZone);
  return found == aCounts.end() ? 0 : found->second;
}

double
ZonePrice(const SupplyView& aView, const ZoneId& aZone)
{
  const auto price = aView.supply_.zonePrices_.find(aZone);
  return price == aView.supply_.zonePrices_.end() ? 1.0 : price->second;
}

} // namespace

SupplyPlan::SupplyPlan(SupplyPolicy aPolicy)
  : policy_(aPolicy)
{
}

void
SupplyPlan::OnDemand(const ServiceId& aService,
                     std::uint64_t aSlots,
                     TimePoint aNow)
{
  demand_.try_emplace(aService, policy_.demandWindow_)
    .first->second.OnDemand(aSlots, aNow);
}

void
SupplyPlan::OnRestored(const SupplyPool& aPool, std::uint32_t aCount)
{
  ordered_[aPool].count_ = aCount;
  settled_.insert(aPool.service_);
}

bool
SupplyPlan::Settled(const SupplyView& aView, TimePoint aNow)
{
  if (settled_.contains(aView.service_)) {
    return true;
  }
  const std::uint32_t serving = TotalCount(aView.serving_);
  InitialCount& initial =
    initial_.try_emplace(aView.service_, InitialCount{ 0, aNow }).first->second;
  if (serving > initial.count_) {
    initial = { serving, aNow };
  }
  if (initial.count_ == 0 ||
      aNow - initial.lastIncrease_ < policy_.settleTime_) {
    return false;
  }
  settled_.insert(aView.service_);
  return true;
}

std::uint64_t
SupplyPlan::Peak(const ServiceId& aService, TimePoint aNow) const
{
  const auto demand = demand_.find(aService);
  return demand == demand_.end() ? 0 : demand->second.At(aNow);
}

std::uint32_t
SupplyPlan::Wanted(const SupplyView& aView, TimePoint aNow) const
{
  const std::uint64_t peak = Peak(aView.service_, aNow);
  const auto initial = initial_.find(aView.service_);
  const double upstreams =
    peak == 0 ? policy_.initialFactor_ *
                  (initial == initial_.end() ? 0 : initial->second.count_)
              : policy_.headroom_ * static_cast<double>(peak) / aView.slots_;
  const auto zones = static_cast<std::uint32_t>(aView.serving_.size());
  const auto wanted = static_cast<std::uint32_t>(std::ceil(upstreams));
  return std::clamp(
    wanted, aView.supply_.min_ * zones, aView.supply_.max_ * zones);
}

std::map<ZoneId, std::uint32_t>
SupplyPlan::Spread(const SupplyView& aView,
                   std::uint32_t aWanted,
                   TimePoint aNow) const
{
  std::map<ZoneId, std::uint32_t> spread;
  std::vector<ZoneId> open;
  for (const auto& [zone, serving] : aView.serving_) {
    spread[zone] = aView.supply_.min_;
    const auto ordered = ordered_.find({ aView.service_, zone, false });
    if (ordered != ordered_.end() && ordered->second.unavailableUntil_ > aNow) {
      spread[zone] = std::max(aView.supply_.min_, serving);
    } else {
      open.push_back(zone);
    }
  }
  std::stable_sort(
    open.begin(), open.end(), [&](const auto& aLeft, const auto& aRight) {
      return ZonePrice(aView, aLeft) < ZonePrice(aView, aRight);
    });
  std::uint32_t left = aWanted - std::min(aWanted, TotalCount(spread));
  bool added = true;
  while (left > 0 && added) {
    added = false;
    for (const ZoneId& zone : open) {
      if (left > 0 && spread[zone] < aView.supply_.max_) {
        ++spread[zone];
        --left;
        added = true;
      }
    }
  }
  return spread;
}

SupplyPlan::Ordered&
SupplyPlan::Find(const SupplyPool& aPool, std::uint32_t aServing)
{
  const auto [it, added] = ordered_.try_emplace(aPool);
  if (added) {
    // The platform already keeps the initial upstreams, so they count as
    // ordered.
    it->second.count_ = aServing;
  }
  return it->second;
}

bool
SupplyPlan::MayScaleDown(const SupplyView& aView,
                         std::uint32_t aWanted,
                         TimePoint aNow)
{
  if (aWanted >= TotalCount(aView.serving_) ||
      Peak(aView.service_, aNow) == 0) {
    surplusSince_.erase(aView.service_);
    return false;
  }
  const TimePoint since =
    surplusSince_.try_emplace(aView.service_, aNow).first->second;
  return policy_.scaleDownDelay_ > Duration{ 0 } &&
         aNow - since >= policy_.scaleDownDelay_;
}

std::string_view
SupplyPlan::OrderReason(Ordered& aOrdered,
                        std::uint32_t aTarget,
                        std::uint32_t aServing,
                        Duration aBootTime,
                        TimePoint aNow) const
{
  if (aServing >= aOrdered.count_) {
    aOrdered.shortSince_ = kNever;
  } else if (aOrdered.shortSince_ == kNever) {
    aOrdered.shortSince_ = aNow;
  }
  if (aOrdered.pending_ || aOrdered.unavailableUntil_ > aNow) {
    return {};
  }
  if (aTarget > aOrdered.count_) {
    return "more upstreams are wanted";
  }
  if (aTarget < aOrdered.count_) {
    return "fewer upstreams are wanted";
  }
  if (aNow >= aOrdered.repeatAt_) {
    return "an older order may have taken effect last";
  }
  const Duration grace = aBootTime + kRegistrationLag;
  if (aOrdered.shortSince_ != kNever && aNow - aOrdered.shortSince_ >= grace) {
    aOrdered.shortSince_ = aNow;
    return "fewer serve than were ordered";
  }
  return {};
}

std::vector<PlannedSupply>
SupplyPlan::Next(const SupplyView& aView, TimePoint aNow)
{
  std::vector<PlannedSupply> orders;
  if (!Settled(aView, aNow)) {
    return orders;
  }
  const std::uint32_t wanted = Wanted(aView, aNow);
  const bool mayScaleDown = MayScaleDown(aView, wanted, aNow);
  const auto spread = Spread(aView, wanted, aNow);
  for (const auto& [zone, total] : spread) {
    const std::uint32_t spotServing = ZoneCount(aView.spot_, zone);
    const std::uint32_t firm = ZoneCount(aView.serving_, zone) - spotServing;
    const SupplyPool firmPool{ aView.service_, zone, false };
    const SupplyPool spotPool{ aView.service_, zone, true };
    const std::uint32_t base = Find(firmPool, firm).count_;
    const std::uint32_t extra = total - std::min(total, base);
    const auto spot = static_cast<std::uint32_t>(policy_.spotShare_ * extra);
    const auto add = [&](const SupplyPool& aPool,
                         std::uint32_t aTarget,
                         std::uint32_t aServing) {
      Ordered& ordered = Find(aPool, aServing);
      const std::uint32_t target =
        mayScaleDown ? aTarget : std::max(aTarget, ordered.count_);
      const std::string_view reason =
        OrderReason(ordered, target, aServing, aView.supply_.bootTime_, aNow);
      if (!reason.empty()) {
        ordered.pending_ = true;
        orders.push_back({ aPool, target, reason });
      }
    };
    add(firmPool, total - spot, firm);
    if (policy_.spotShare_ > 0 && aView.supply_.spotPrice_ > 0) {
      add(spotPool, spot, spotServing);
    }
  }
  return orders;
}

void
SupplyPlan::OnEnd(const PlannedSupply& aOrder, SupplyEnd aEnd, TimePoint aNow)
{
  Ordered& ordered = ordered_[aOrder.pool_];
  ordered.pending_ = false;
  switch (aEnd) {
    case SupplyEnd::Accepted:
      if (aNow >= ordered.repeatAt_) {
        ordered.repeatAt_ = kNever;
      }
      ordered.count_ = aOrder.count_;
      ordered.shortSince_ = kNever;
      return;
    case SupplyEnd::Unavailable:
      ordered.unavailableUntil_ = aNow + policy_.unavailableRetryDelay_;
      return;
    case SupplyEnd::Unknown:
      // The next plan repeats the order without a delay. It is sent once more
      // when the lost one can no longer take effect.
      ordered.repeatAt_ = aNow + policy_.maxEffectDelay_;
      return;
  }
}

} // namespace marjoramtally
