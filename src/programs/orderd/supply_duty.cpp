#include "programs/orderd/supply_duty.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <fmt/format.h>

namespace marjoramtally {

namespace {

/// Followed by `SERVICE/ZONE/KIND`.
constexpr std::string_view kOrderedPrefix = "mt/supply/";
constexpr auto kStoreRetryPause = std::chrono::milliseconds(700);
constexpr auto kOrderTimeout = std::chrono::milliseconds(1500);

std::string
KeyOf(const SupplyPool& aPool)
{
  return fmt::format("{}{}/{}/{}",
                     kOrderedPrefix,
                     aPool.service_.Get(),
                     aPool.zone_.Get(),
                     aPool.spot_ ? "spot" : "firm");
}

std::optional<SupplyPool>
PoolOf(std::string_view aKey)
{
  aKey.remove_prefix(kOrderedPrefix.size());
  const std::size_t kind = aKey.rfind('/');
  const std::size_t zone =
    kind == std::string_view::npos ? kind : aKey.rfind('/', kind - 1);
  if (kind == 0 || zone == std::string_view::npos) {
    return std::nullopt;
  }
  return SupplyPool{ ServiceId{ std::string(aKey.substr(0, zone)) },
                     ZoneId{
                       std::string(aKey.substr(zone + 1, kind - zone - 1)) },
                     aKey.substr(kind + 1) == "spot" };
}

} // namespace

SupplyDuty::SupplyDuty(GatewayContext& aHost,
                       DutyLease& aLease,
                       const OrderDuty& aOrders)
  : host_(aHost)
  , lease_(aLease)
  , orders_(aOrders)
{
  if (!host_.Settings().dutyCalls_.empty()) {
    lease_.Add({ [this] { Begin(); }, [this] { End(); } });
  }
}

void
SupplyDuty::Begin()
{
  plan_ = SupplyPlan{};
  reportedDemand_.clear();
  restored_ = false;
  ReadOrdered(++term_);
}

void
SupplyDuty::End()
{
  ++term_;
  restored_ = false;
}

void
SupplyDuty::ReadOrdered(std::uint64_t aTerm)
{
  host_.PlatformStore().Read(
    std::string(kOrderedPrefix),
    [this, aTerm](const Result<StoreRange>& aRange) {
      if (!IsCurrent(aTerm)) {
        return;
      }
      if (aRange) {
        OnOrderedRead(aRange.value());
        return;
      }
      LogEvent(LogLevel::Warn,
               "supply_not_read",
               { { "error", aRange.error().message_ } });
      host_.Timers().After(kStoreRetryPause, [this, aTerm] {
        if (IsCurrent(aTerm)) {
          ReadOrdered(aTerm);
        }
      });
    });
}

void
SupplyDuty::OnOrderedRead(const StoreRange& aRange)
{
  for (const StoreRecord& record : aRange.records_) {
    const auto pool = PoolOf(record.key_);
    const auto count = ParseNumber(record.value_, 0, UINT32_MAX);
    if (pool && count) {
      plan_.OnRestored(*pool, static_cast<std::uint32_t>(*count));
    } else {
      LogEvent(
        LogLevel::Error, "record_unreadable", { { "key", record.key_ } });
    }
  }
  restored_ = true;
}

void
SupplyDuty::OnUsage(const GatewayUsage& aUsage)
{
  for (const auto& [service, places] : aUsage.demand_) {
    reportedDemand_[service] += places;
  }
}

void
SupplyDuty::Advance()
{
  const TimePoint now = host_.Now();
  for (const auto& [service, places] : std::exchange(reportedDemand_, {})) {
    if (places > 0) {
      plan_.OnDemand(service, places, now);
    }
  }
  if (!restored_ || !lease_.Held()) {
    return;
  }
  for (const SupplyView& view : orders_.SupplyViews()) {
    host_.Measures().Set("upstreams_wanted{service=\"" + view.service_.Get() +
                           "\"}",
                         plan_.Wanted(view, now));
    for (const PlannedSupply& order : plan_.Next(view, now)) {
      LogEvent(
        LogLevel::Info,
        "supply_planned",
        { { "service", order.pool_.service_.Get() },
          { "zone", order.pool_.zone_.Get() },
          { "spot", order.pool_.spot_ ? "yes" : "no" },
          { "count", std::to_string(order.count_) },
          { "wanted", std::to_string(plan_.Wanted(view, now)) },
          { "serving", std::to_string(view.serving_.at(order.pool_.zone_)) },
          { "why", std::string(order.reason_) } });
      RecordOrder(order);
    }
  }
}

void
SupplyDuty::RecordOrder(const PlannedSupply& aOrder)
{
  StoreTxn txn;
  txn.compares_.push_back(lease_.Compare());
  txn.puts_.push_back(
    { KeyOf(aOrder.pool_), std::to_string(aOrder.count_), 0 });
  host_.PlatformStore().Commit(
    std::move(txn),
    [this, aOrder, term = term_](const Result<StoreCommit>& aEnd) {
      if (!IsCurrent(term)) {
        return;
      }
      if (aEnd && aEnd.value().applied_) {
        SendOrder(aOrder);
      } else {
        EndOrder(aOrder, SupplyEnd::Unavailable, "not recorded in the store");
      }
    });
}

void
SupplyDuty::SendOrder(const PlannedSupply& aOrder)
{
  if (!lease_.Held()) {
    EndOrder(aOrder, SupplyEnd::Unavailable, "the lease is not certain");
    return;
  }
  HttpCall call = host_.Formats().MakeSupplyCall(host_.Settings().dutyCalls_,
                                                 lease_.Caller(),
                                                 { aOrder.pool_.service_,
                                                   aOrder.pool_.zone_,
                                                   aOrder.count_,
                                                   aOrder.pool_.spot_ });
  call.timeout_ = kOrderTimeout;
  call.connectTimeout_ = kOrderTimeout;
  lease_.OnCallSent();
  host_.Client().Send(std::move(call),
                      [this, aOrder, term = term_](const HttpResult& aResult) {
                        if (IsCurrent(term)) {
                          OnReply(aOrder, aResult);
                        }
                      });
}

void
SupplyDuty::OnReply(const PlannedSupply& aOrder, const HttpResult& aResult)
{
  const int status =
    aResult.end_ == HttpEnd::Complete ? aResult.response_.status_ : 0;
  // 409 means either that no upstreams are available or that a higher fencing
  // number was seen. A replaced holder detects that by losing its lease.
  const bool refused = status == 409 || status == 429 || status == 503;
  EndOrder(aOrder,
           status == 200 ? SupplyEnd::Accepted
           : refused     ? SupplyEnd::Unavailable
                         : SupplyEnd::Unknown,
           status == 0 ? aResult.message_ : std::to_string(status));
}

void
SupplyDuty::EndOrder(const PlannedSupply& aOrder,
                     SupplyEnd aEnd,
                     std::string_view aAnswer)
{
  plan_.OnEnd(aOrder, aEnd, host_.Now());
  if (aEnd == SupplyEnd::Accepted) {
    host_.Measures().Set("upstreams_ordered{service=\"" +
                           aOrder.pool_.service_.Get() + "\",zone=\"" +
                           aOrder.pool_.zone_.Get() + "\",kind=\"" +
                           (aOrder.pool_.spot_ ? "spot" : "firm") + "\"}",
                         aOrder.count_);
  }
  LogEvent(LogLevel::Info,
           "supply_ordered",
           { { "service", aOrder.pool_.service_.Get() },
             { "zone", aOrder.pool_.zone_.Get() },
             { "spot", aOrder.pool_.spot_ ? "yes" : "no" },
             { "count", std::to_string(aOrder.count_) },
             { "fence", std::to_string(lease_.Fence().Get()) },
             { "answer", std::string(aAnswer) } });
}

} // namespace marjoramtally
