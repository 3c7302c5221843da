#include "marjoramtally/process/supply_plan.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace marjoramtally {

namespace {

/// Entries come and go within this of a boot or a registration.
constexpr auto kRegistrationLag = std::chrono::seconds(4);

std::uint32_t
SumOf(const std::map<ZoneId, std::uint32_t>& aCounts)
{
  return std::accumulate(
    aCounts.begin(),
    aCounts.end(),
    0U,
    [](std::uint32_t aSum, const auto& aZone) { return aSum + aZone.second; });
}

std::uint32_t
CountAt(const std::map<ZoneId, std::uint32_t>& aCounts, const ZoneId& aZone)
{
  const auto found = aCounts.find(aZone);
  return found == aCounts.end() ? 0 : found->second;
}

double
PriceOf(const SupplyView& aView, const ZoneId& aZone)
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
                     std::uint64_t aPlaces,
                     TimePoint aNow)
{
  demand_.try_emplace(aService, policy_.memory_)
    .first->second.OnDemand(aPlaces, aNow);
}

void
SupplyPlan::OnRestored(const SupplyPlace& aPlace, std::uint32_t aCount)
{
  ordered_[aPlace].count_ = aCount;
  known_.insert(aPlace.service_);
}

bool
SupplyPlan::Settled(const SupplyView& aView, TimePoint aNow)
{
  if (known_.contains(aView.service_)) {
    return true;
  }
  const std::uint32_t serving = SumOf(aView.serving_);
  First& first =
    first_.try_emplace(aView.service_, First{ 0, aNow }).first->second;
  if (serving > first.count_) {
    first = { serving, aNow };
  }
  if (first.count_ == 0 || aNow - first.grown_ < policy_.settle_) {
    return false;
  }
  known_.insert(aView.service_);
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
  const auto first = first_.find(aView.service_);
  const double upstreams =
    peak == 0 ? policy_.beforeDemand_ *
                  (first == first_.end() ? 0 : first->second.count_)
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
    open.begin(), open.end(), [&](const auto& aOne, const auto& aOther) {
      return PriceOf(aView, aOne) < PriceOf(aView, aOther);
    });
  std::uint32_t left = aWanted - std::min(aWanted, SumOf(spread));
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
SupplyPlan::Find(const SupplyPlace& aPlace, std::uint32_t aServing)
{
  const auto [it, added] = ordered_.try_emplace(aPlace);
  if (added) {
    // What was there at first is what the platform was told to hold.
    it->second.count_ = aServing;
  }
  return it->second;
}

bool
SupplyPlan::MayLower(const SupplyView& aView,
                     std::uint32_t aWanted,
                     TimePoint aNow)
{
  if (aWanted >= SumOf(aView.serving_) || Peak(aView.service_, aNow) == 0) {
    surplusSince_.erase(aView.service_);
    return false;
  }
  const TimePoint since =
    surplusSince_.try_emplace(aView.service_, aNow).first->second;
  return policy_.lowerAfter_ > Duration{ 0 } &&
         aNow - since >= policy_.lowerAfter_;
}

std::string_view
SupplyPlan::WhyOrder(Ordered& aOrdered,
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
    return "more are wanted";
  }
  if (aTarget < aOrdered.count_) {
    return "fewer are wanted";
  }
  if (aNow >= aOrdered.repeatAt_) {
    return "an older order may have come last";
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
  const bool mayLower = MayLower(aView, wanted, aNow);
  const auto spread = Spread(aView, wanted, aNow);
  for (const auto& [zone, total] : spread) {
    const std::uint32_t spotServing = CountAt(aView.spot_, zone);
    const std::uint32_t firm = CountAt(aView.serving_, zone) - spotServing;
    const SupplyPlace firmPlace{ aView.service_, zone, false };
    const SupplyPlace spotPlace{ aView.service_, zone, true };
    const std::uint32_t base = Find(firmPlace, firm).count_;
    const std::uint32_t extra = total - std::min(total, base);
    const auto spot = static_cast<std::uint32_t>(policy_.spotShare_ * extra);
    const auto add = [&](const SupplyPlace& aPlace,
                         std::uint32_t aTarget,
                         std::uint32_t aServing) {
      Ordered& ordered = Find(aPlace, aServing);
      const std::uint32_t target =
        mayLower ? aTarget : std::max(aTarget, ordered.count_);
      const std::string_view why =
        WhyOrder(ordered, target, aServing, aView.supply_.bootTime_, aNow);
      if (!why.empty()) {
        ordered.pending_ = true;
        orders.push_back({ aPlace, target, why });
      }
    };
    add(firmPlace, total - spot, firm);
    if (policy_.spotShare_ > 0 && aView.supply_.spotPrice_ > 0) {
      add(spotPlace, spot, spotServing);
    }
  }
  return orders;
}

void
SupplyPlan::OnEnd(const PlannedSupply& aOrder, SupplyEnd aEnd, TimePoint aNow)
{
  Ordered& ordered = ordered_[aOrder.place_];
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
      ordered.unavailableUntil_ = aNow + policy_.unavailable_;
      return;
    case SupplyEnd::Unknown:
      // Sent again at once by the next plan, and once more when the lost one
      // can no longer take effect.
      ordered.repeatAt_ = aNow + policy_.latestEffect_;
      return;
  }
}

} // namespace marjoramtally
