#include "programs/orderd/order_duty.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <algorithm>
#include <utility>

namespace marjoramtally {

namespace {

/// An upstream normally replies to an order within a few milliseconds. After a
/// timeout it may still carry out the order.
constexpr auto kOrderTimeout = std::chrono::milliseconds(500);
/// A load takes about 0.9 s, and reports are a few hundred milliseconds late.
constexpr auto kFirstCheckDelay = std::chrono::milliseconds(1050);
constexpr auto kMinCheckInterval = std::chrono::milliseconds(100);
/// The interval is the elapsed time of the load divided by this, within the
/// limits above and below.
constexpr int kCheckIntervalDivisor = 10;
constexpr auto kMaxCheckInterval = std::chrono::seconds(1);
/// An order is considered lost if it is no longer in progress and changed
/// nothing. Reports are late, so this is decided only after this time.
constexpr auto kLostLoadTimeout = std::chrono::seconds(5);
/// A warning is logged if a plan takes more than the lease duration divided by
/// this: renewals are due three times within the lease duration.
constexpr int kSlowPlanLeaseDivisor = 10;

} // namespace

void
OrderDuty::ReadConfigForUnknownServices()
{
  bool read = false;
  for (const auto& [id, target] : targets_) {
    const ServiceId& service = target.entry_.service_;
    read =
      (!IsConfigured(service) && lookedUpServices_.insert(service).second) ||
      read;
  }
  if (read) {
    ReadConfig(++term_);
  }
}

void
OrderDuty::Plan()
{
  // Orders wait for the configuration, which determines whether runs must
  // finish before a version change and which upstreams belong to the system.
  if (!lease_.Active() || !services_ || !planDue_) {
    return;
  }
  if (!lease_.Held()) {
    // Renewals cause no event, so the lease is checked again later.
    SchedulePlan(kOrderRetryPause);
    return;
  }
  const TimePoint begun = host_.Now();
  if (begun < planLimiter_.NextAt()) {
    SchedulePlan(planLimiter_.NextAt() - begun);
    return;
  }
  planDue_ = false;
  ReadConfigForUnknownServices();
  std::vector<PlanUpstream> upstreams;
  for (const auto& [id, target] : targets_) {
    if (!target.versions_.empty() && IsConfigured(target.entry_.service_)) {
      const auto runs = longRuns_.find(id);
      upstreams.push_back({ id,
                            target.entry_.service_,
                            target.entry_.zone_,
                            target.versions_,
                            target.phase_ != Phase::Idle,
                            runs == longRuns_.end() ? 0 : runs->second,
                            target.entry_.slots_ });
    }
  }
  const std::vector<PlannedLoad> loads = plan_.Next(upstreams);
  const TimePoint ended = host_.Now();
  planLimiter_.OnDone(begun, ended);
  RecordPlanTime(upstreams.size(), loads.size(), ended - begun);
  plan_.OnOrdered(ended);
  host_.Measures().Set("loads_at_once", plan_.ConcurrentLoadLimit());
  host_.Measures().Set("loads_in_progress", plan_.LoadsInProgress());
  for (const PlannedLoad& load : loads) {
    StartLoad(load);
  }
}

/// Planning blocks the event loop, including renewals of the lease.
void
OrderDuty::RecordPlanTime(std::size_t aUpstreams,
                          std::size_t aLoads,
                          Duration aTook)
{
  host_.Measures().Observe("order_plan_seconds",
                           std::chrono::duration<double>(aTook).count());
  if (aTook > host_.Settings().leaseTtl_ / kSlowPlanLeaseDivisor) {
    LogEvent(LogLevel::Warn,
             "plan_slow",
             { { "upstreams", std::to_string(aUpstreams) },
               { "loads", std::to_string(aLoads) },
               { "looks", std::to_string(plan_.ExaminedCandidates()) },
               { "took_ms", std::to_string(WholeMillis(aTook)) } });
  }
}

void
OrderDuty::SchedulePlan(Duration aPause)
{
  if (planTimer_ != 0) {
    return;
  }
  planTimer_ = host_.Timers().After(aPause, [this] {
    planTimer_ = 0;
    Plan();
  });
}

void
OrderDuty::Replan()
{
  planDue_ = true;
  Plan();
}

void
OrderDuty::StartLoad(const PlannedLoad& aLoad)
{
  Target& target = targets_.at(aLoad.upstream_);
  target.load_ = aLoad;
  target.loadStartedAt_ = host_.Now();
  if (target.acceptedOrders_) {
    SendOrder(target);
  } else {
    ReadState(target);
  }
}

HttpDone
OrderDuty::MakeReplyHandler(Target& aTarget,
                            void (OrderDuty::*aHandler)(const UpstreamId&,
                                                        const HttpResult&))
{
  const UpstreamId id = aTarget.entry_.id_;
  const std::uint64_t step = ++aTarget.step_;
  return [this, id, step, aHandler](const HttpResult& aResult) {
    const auto it = targets_.find(id);
    if (lease_.Active() && it != targets_.end() && it->second.step_ == step) {
      (this->*aHandler)(id, aResult);
    }
  };
}

void
OrderDuty::ScheduleStep(Target& aTarget,
                        Duration aPause,
                        void (OrderDuty::*aStep)(Target&))
{
  const UpstreamId id = aTarget.entry_.id_;
  const std::uint64_t step = ++aTarget.step_;
  host_.Timers().After(aPause, [this, id, step, aStep] {
    const auto it = targets_.find(id);
    if (lease_.Active() && it != targets_.end() && it->second.step_ == step) {
      (this->*aStep)(it->second);
    }
  });
}

void
OrderDuty::ReadState(Target& aTarget)
{
  if (aTarget.phase_ != Phase::Loading) {
    aTarget.phase_ = Phase::Reading;
  }
  HttpCall call = host_.Formats().MakeReportCall(aTarget.entry_);
  call.timeout_ = kOrderTimeout;
  call.connectTimeout_ = kUpstreamConnectTimeout;
  host_.Client().Send(std::move(call),
                      MakeReplyHandler(aTarget, &OrderDuty::OnState));
}

void
OrderDuty::OnState(const UpstreamId& aId, const HttpResult& aResult)
{
  Target& target = targets_.at(aId);
  if (aResult.end_ != HttpEnd::Complete || aResult.response_.status_ != 200) {
    BackOff(target, "report not received");
    return;
  }
  const auto report = host_.Formats().ReadReport(aResult.response_.body_);
  if (!report) {
    BackOff(target, report.error().message_);
    return;
  }
  const bool startKnown = target.entry_.start_ != UpstreamStart{};
  const bool restarted =
    startKnown && ResetIfRestarted(target, report.value().start_);
  planDue_ = MergeModels(target, report.value().models_) || planDue_;
  if (restarted) {
    Replan();
    return;
  }
  const bool reached =
    target.versions_[target.load_.model_] >= target.load_.version_;
  if (target.phase_ == Phase::Loading) {
    // A load in progress still counts against the limit: it keeps the weight
    // store busy, and another order would only add to the load there.
    const bool lost = !report.value().busy_ &&
                      host_.Now() - target.loadStartedAt_ > kLostLoadTimeout;
    if (reached || lost) {
      LogEvent(
        LogLevel::Info,
        "load_ended",
        { { "upstream", aId.Get() },
          { "model", target.load_.model_ },
          { "version", std::to_string(target.load_.version_.Get()) },
          { "took_ms",
            std::to_string(WholeMillis(host_.Now() - target.acceptedAt_)) },
          { "in_progress", std::to_string(plan_.LoadsInProgress()) },
          { "at_once", std::to_string(plan_.ConcurrentLoadLimit()) },
          { "outcome", reached ? "loaded" : "lost" } });
      target.phase_ = Phase::Idle;
      if (reached) {
        plan_.OnLoaded(host_.Now() - target.acceptedAt_, host_.Now());
        RecordLoadLimit();
      } else {
        target.acceptedOrders_.reset();
      }
      Replan();
    } else {
      const Duration elapsed = host_.Now() - target.acceptedAt_;
      ScheduleReport(target,
                     std::clamp<Duration>(elapsed / kCheckIntervalDivisor,
                                          kMinCheckInterval,
                                          kMaxCheckInterval));
    }
    return;
  }
  target.acceptedOrders_ = report.value().orders_;
  if (reached) {
    target.phase_ = Phase::Idle;
    Replan();
  } else if (report.value().busy_) {
    BackOff(target, "another order is in progress");
  } else {
    SendOrder(target);
  }
}

void
OrderDuty::SendOrder(Target& aTarget)
{
  if (!lease_.Held()) {
    aTarget.phase_ = Phase::Idle;
    planDue_ = true;
    return;
  }
  aTarget.phase_ = Phase::Sending;
  const VersionOrder order{
    aTarget.load_.model_,    aTarget.load_.version_,
    host_.Incarnation(),     lease_.Fence(),
    aTarget.acceptedOrders_, singleVersion_.contains(aTarget.load_.model_)
  };
  LogEvent(
    LogLevel::Info,
    "order_sent",
    { { "upstream", aTarget.entry_.id_.Get() },
      { "model", order.model_ },
      { "version", std::to_string(order.version_.Get()) },
      { "fence", std::to_string(order.fence_.Get()) },
      { "runs", order.runsFinish_ ? "finish first" : "go on" },
      { "expected", std::to_string(order.expectedOrders_.value_or(0)) } });
  HttpCall call = host_.Formats().MakeOrder(aTarget.entry_, order);
  call.timeout_ = kOrderTimeout;
  call.connectTimeout_ = kUpstreamConnectTimeout;
  lease_.OnCallSent();
  host_.Client().Send(std::move(call),
                      MakeReplyHandler(aTarget, &OrderDuty::OnOrderReply));
}

void
OrderDuty::OnOrderReply(const UpstreamId& aId, const HttpResult& aResult)
{
  Target& target = targets_.at(aId);
  const int status =
    aResult.end_ == HttpEnd::Complete ? aResult.response_.status_ : 0;
  LogEvent(LogLevel::Info,
           "order_answered",
           { { "upstream", aId.Get() },
             { "status", std::to_string(status) },
             { "error", aResult.message_ } });
  switch (status) {
    case 202:
      ++*target.acceptedOrders_;
      target.acceptedAt_ = host_.Now();
      target.phase_ = Phase::Loading;
      ScheduleReport(target, kFirstCheckDelay);
      return;
    case 200:
      // Without an id this reply cannot be distinguished from a late duplicate
      // reply to the preceding report. Trusting it could leave the upstream
      // without this version permanently, so the next report decides.
      BackOff(target, "unconfirmed reply that the version is already loaded");
      return;
    case 412:
      // Another process has sent orders under a higher fencing number.
      lease_.OnFenced();
      return;
    case 421:
      targets_.erase(aId);
      Replan();
      return;
    default:
      BackOff(target, status == 0 ? "no reply" : "refused");
      return;
  }
}

void
OrderDuty::ScheduleReport(Target& aTarget, Duration aPause)
{
  ScheduleStep(aTarget, aPause, &OrderDuty::ReadState);
}

void
OrderDuty::BackOff(Target& aTarget, std::string_view aReason)
{
  LogEvent(LogLevel::Info,
           "order_put_off",
           { { "upstream", aTarget.entry_.id_.Get() },
             { "why", std::string(aReason) } });
  aTarget.phase_ = Phase::BackingOff;
  aTarget.acceptedOrders_.reset();
  ScheduleStep(aTarget, kOrderRetryPause, &OrderDuty::EndBackOff);
}

void
OrderDuty::EndBackOff(Target& aTarget)
{
  aTarget.phase_ = Phase::Idle;
  Replan();
}

} // namespace marjoramtally
