/// Plans how many upstreams of a service to order in each availability zone.
///
/// Training steps begin together: a burst of items needs slots at once, a step
/// is due soon after, and a new upstream serves only after its boot time. An
/// idle upstream costs little compared with a late step. The plan therefore
/// holds slots for the largest recent burst, scales up at once and scales down
/// late.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/process/peak_demand.hpp"
#include "marjoramtally/process/route_table.hpp"

#include <set>

namespace marjoramtally {

/// Parameters of the plan.
struct SupplyPolicy
{
  /// Slots held for each slot wanted.
  double headroom_ = 1.25;
  /// Upstreams held for each initial one until demand has been reported.
  double initialFactor_ = 2.0;
  /// Upstreams register one after the other. Their initial number is known when
  /// none has registered for this long. An earlier order would remove upstreams
  /// that have not registered yet.
  Duration settleTime_ = std::chrono::seconds(3);
  /// Window of the largest demand.
  Duration demandWindow_ = std::chrono::seconds(30);
  /// Time of lower demand after which the order is reduced; zero: never.
  Duration scaleDownDelay_ = std::chrono::seconds(60);
  /// Delay before the next order to a zone that had no capacity.
  Duration unavailableRetryDelay_ = std::chrono::seconds(5);
  /// Maximum delay until an order is carried out, possibly after newer ones.
  Duration maxEffectDelay_ = std::chrono::seconds(13);
  /// Share of the upstreams ordered beyond the initial ones that may be
  /// reclaimable (spot).
  double spotShare_ = 0.0;
};

/// State of a service when a plan is made.
struct SupplyView
{
  ServiceId service_;
  UpstreamSupply supply_;
  /// Slots of one upstream.
  std::uint32_t slots_ = 1;
  /// Serving upstreams by zone; zones without any are listed too.
  std::map<ZoneId, std::uint32_t> serving_;
  /// Reclaimable ones among `serving_`, by zone.
  std::map<ZoneId, std::uint32_t> spot_;
};

/// How an order ended.
enum class SupplyEnd
{
  Accepted,
  /// No capacity is available now.
  Unavailable,
  /// The order may have been carried out, or will be.
  Unknown,
};

/// The upstreams of one kind in one zone.
struct SupplyPool
{
  ServiceId service_;
  ZoneId zone_;
  bool spot_ = false;
  auto operator<=>(const SupplyPool&) const = default;
};

/// The number of upstreams to order and the reason.
struct PlannedSupply
{
  SupplyPool pool_;
  std::uint32_t count_ = 0;
  std::string_view reason_;
};

/// Plans orders from recent demand and earlier orders.
class SupplyPlan
{
public:
  explicit SupplyPlan(SupplyPolicy aPolicy = {});

  /// Number of slots of a service that are wanted now.
  void OnDemand(const ServiceId& aService,
                std::uint64_t aSlots,
                TimePoint aNow);
  /// An earlier holder of the duty ordered this number.
  void OnRestored(const SupplyPool& aPool, std::uint32_t aCount);
  /// @returns the orders to send now
  [[nodiscard]] std::vector<PlannedSupply> Next(const SupplyView& aView,
                                                TimePoint aNow);
  void OnEnd(const PlannedSupply& aOrder, SupplyEnd aEnd, TimePoint aNow);
  /// @returns the total number of wanted upstreams of a service
  [[nodiscard]] std::uint32_t Wanted(const SupplyView& aView,
                                     TimePoint aNow) const;

private:
  /// State of the orders of one pool.
  struct Ordered
  {
    std::uint32_t count_ = 0;
    /// An order is in progress.
    bool pending_ = false;
    /// When the order is repeated, as an older one may take effect after it.
    TimePoint repeatAt_ = kNever;
    /// No capacity is expected before this time.
    TimePoint unavailableUntil_;
    /// Since when fewer upstreams serve than were ordered.
    TimePoint shortSince_ = kNever;
  };

  /// Number of upstreams that existed before any order.
  struct InitialCount
  {
    std::uint32_t count_ = 0;
    TimePoint lastIncrease_;
  };

  /// @returns whether the current orders of the service are known
  [[nodiscard]] bool Settled(const SupplyView& aView, TimePoint aNow);
  [[nodiscard]] std::uint64_t Peak(const ServiceId& aService,
                                   TimePoint aNow) const;
  /// @returns numbers by zone that add up to the wanted total: spread evenly,
  /// so that the loss of a zone removes few, with cheaper zones first
  [[nodiscard]] std::map<ZoneId, std::uint32_t> Spread(const SupplyView& aView,
                                                       std::uint32_t aWanted,
                                                       TimePoint aNow) const;
  /// @returns the reason for an order; empty if none is due
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
  /// Services with known current orders, either restored from an earlier holder
  /// or derived from the initial upstreams.
  std::set<ServiceId> settled_;
  /// Since when fewer upstreams of a service are wanted than serve.
  std::map<ServiceId, TimePoint> surplusSince_;
};

} // namespace marjoramtally
