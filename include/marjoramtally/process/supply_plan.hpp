/// How many upstreams of a service to order in each availability zone.
///
/// Answers a load of steps that begin together: a burst of items wants a place
/// at once, a step is due soon after, and a new upstream serves only after its
/// boot time. An upstream that idles costs little beside a step that is late,
/// so the plan holds places for the largest burst of the last while, raises at
/// once and lowers late.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/process/peak_demand.hpp"
#include "marjoramtally/process/route_table.hpp"

#include <set>

namespace marjoramtally {

/// What the plan aims at.
struct SupplyPolicy
{
  /// Places held for each place wanted.
  double headroom_ = 1.25;
  /// Upstreams held for each that was there at first, as long as no demand was
  /// seen.
  double initialFactor_ = 2.0;
  /// Upstreams register one after the other; how many were there at first is
  /// known when none has come for this long. An order before that would take
  /// away those that had not registered.
  Duration settleTime_ = std::chrono::seconds(3);
  /// The largest demand of this time counts.
  Duration demandWindow_ = std::chrono::seconds(30);
  /// Less is ordered after this time of less demand; never: at zero.
  Duration scaleDownDelay_ = std::chrono::seconds(60);
  /// A zone that had none to give is asked again after this.
  Duration unavailableRetryDelay_ = std::chrono::seconds(5);
  /// Orders may be carried out so late, after newer ones.
  Duration maxEffectDelay_ = std::chrono::seconds(13);
  /// Part of what is ordered beyond the first upstreams that may be
  /// reclaimable.
  double spotShare_ = 0.0;
};

/// What is known of a service when a plan is made.
struct SupplyView
{
  ServiceId service_;
  UpstreamSupply supply_;
  /// Places of one upstream.
  std::uint32_t slots_ = 1;
  /// Upstreams that serve, by zone; zones without any are listed too.
  std::map<ZoneId, std::uint32_t> serving_;
  /// Of these, reclaimable ones.
  std::map<ZoneId, std::uint32_t> spot_;
};

/// What an order came to.
enum class SupplyEnd
{
  Accepted,
  /// There are none to be had now.
  Unavailable,
  /// It may have been carried out, or will be.
  Unknown,
};

/// Upstreams of one kind in one zone.
struct SupplyPool
{
  ServiceId service_;
  ZoneId zone_;
  bool spot_ = false;
  auto operator<=>(const SupplyPool&) const = default;
};

/// A number to order, and why.
struct PlannedSupply
{
  SupplyPool pool_;
  std::uint32_t count_ = 0;
  std::string_view reason_;
};

/// The plan. Remembers demand and orders.
class SupplyPlan
{
public:
  explicit SupplyPlan(SupplyPolicy aPolicy = {});

  /// Places that are wanted of a service now.
  void OnDemand(const ServiceId& aService,
                std::uint64_t aSlots,
                TimePoint aNow);
  /// An earlier holder of the duty ordered this number.
  void OnRestored(const SupplyPool& aPool, std::uint32_t aCount);
  /// @returns orders to send now
  [[nodiscard]] std::vector<PlannedSupply> Next(const SupplyView& aView,
                                                TimePoint aNow);
  void OnEnd(const PlannedSupply& aOrder, SupplyEnd aEnd, TimePoint aNow);
  /// @returns how many upstreams of a service are wanted in all
  [[nodiscard]] std::uint32_t Wanted(const SupplyView& aView,
                                     TimePoint aNow) const;

private:
  /// What is known of an order.
  struct Ordered
  {
    std::uint32_t count_ = 0;
    /// An order is on its way.
    bool pending_ = false;
    /// Repeated then, as an older one may take effect meanwhile.
    TimePoint repeatAt_ = kNever;
    /// None are to be had before then.
    TimePoint unavailableUntil_;
    /// Since when fewer serve than were ordered.
    TimePoint shortSince_ = kNever;
  };

  /// The upstreams of a service that were there before any order.
  struct InitialCount
  {
    std::uint32_t count_ = 0;
    TimePoint lastIncrease_;
  };

  /// @returns whether it is known how many upstreams were there at first
  [[nodiscard]] bool Settled(const SupplyView& aView, TimePoint aNow);
  [[nodiscard]] std::uint64_t Peak(const ServiceId& aService,
                                   TimePoint aNow) const;
  /// @returns numbers by zone that add up to what is wanted, evenly so that
  /// the loss of a zone takes few, cheaper zones first
  [[nodiscard]] std::map<ZoneId, std::uint32_t> Spread(const SupplyView& aView,
                                                       std::uint32_t aWanted,
                                                       TimePoint aNow) const;
  /// @returns why an order is due; empty if none is
  [[nodiscard]] std::string_view OrderReason(Ordered& aOrdered,
                                             std::uint32_t aTarget,
                                             std::uint32_t aServing,
                                             Duration aBootTime,
                                             TimePoint aNow) const;
  [[nodiscard]] bool MayScaleDown(const SupplyView& aView,
                                  std::uint32_t aWanted,
                                  TimePoint aNow);
  Ordered& Find(const SupplyPool& aPool, std::uint32_t aServing);

  SupplyPolicy policy_;
  std::map<ServiceId, PeakDemand> demand_;
  std::map<SupplyPool, Ordered> ordered_;
  std::map<ServiceId, InitialCount> initial_;
  /// Services whose present orders are known: from an earlier holder, or as
  /// what was there at first.
  std::set<ServiceId> settled_;
  /// Since when fewer upstreams of a service were wanted than were ordered.
  std::map<ServiceId, TimePoint> surplusSince_;
};

} // namespace marjoramtally
