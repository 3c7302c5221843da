#include "programs/gatewayd/gateway.hpp"

#include "marjoramtally/runtime/log.hpp"

namespace marjoramtally {

namespace {

/// Lease TTL of a process that owns no job. Only its peers depend on such a
/// process, and they detect its failure themselves; a longer TTL saves
/// renewals, which are billed calls to the store.
constexpr auto kIdleLeaseTtl = std::chrono::seconds(12);
/// Delay before the relay plan is used. All processes may start together, and
/// the relays are known once the liveness records are written. Watches opened
/// earlier would all go directly to the store, from every process.
constexpr auto kRelayPlanDelay = std::chrono::milliseconds(500);
/// Delay of watches that are not input to the relay plan; they open after the
/// plan is known.
constexpr auto kWatchDelay = std::chrono::milliseconds(700);
/// Maximum body size of a request of a caller or trainer, unless the
/// configuration states one.
constexpr std::uint64_t kMaxBodyBytes = 32ULL << 20U;
constexpr std::uint64_t kMaxReadyBodyBytes = 1024;
/// Time for which the listeners stay open after `Stop`. The balancer polls the
/// readiness once a second and keeps sending requests until two polls failed.
constexpr auto kDrainTime = std::chrono::milliseconds(2600);
/// Time for an answer to reach its caller after the limit of its request.
constexpr auto kAnswerMargin = std::chrono::milliseconds(100);
/// Sent as `Retry-After` while the configuration is missing or too old.
constexpr auto kRetryAfter = std::chrono::milliseconds(300);

LeasedKeyOptions
LivenessLeaseOptions(const GatewayContext& aHost)
{
  return { job_keys::Liveness(aHost.Incarnation()),
           WriteLivenessRecord({ ZoneId{ aHost.Settings().zone_ },
                                 aHost.Settings().address_ + ":" +
                                   std::to_string(aHost.Settings().rpcPort_),
                                 CapacityOf(aHost.Settings()) }),
           kIdleLeaseTtl,
           false };
}

SelectionPolicy
SelectionPolicyOf(const GatewayContext& aHost)
{
  SelectionPolicy policy;
  policy.loadAware_ =
    aHost.Settings().loadControl_ ||
    aHost.Formats().AsksForLoadControl(aHost.Settings().platformFeatures_);
  return policy;
}

std::string
HostWithoutPort(const HttpRequest& aRequest)
{
  const std::string_view host =
    FindHeader(aRequest.headers_, "Host").value_or("");
  return std::string(host.substr(0, host.find(':')));
}

/// Completes a caller's response. An incomplete stream is aborted, so that the
/// caller sees that it is incomplete.
/// @param aHeadOnly whether the request's method is HEAD
void
EndReply(HttpReply& aReply, ForwardOutcome aOutcome, bool aHeadOnly)
{
  if (!aOutcome.headSent_) {
    HttpResponse response = std::move(aOutcome.response_);
    HttpHeaders headers = ForwardableHeaders(response.headers_, {});
    const auto length = FindHeader(response.headers_, "Content-Length");
    if (aHeadOnly && length) {
      headers.push_back({ "Content-Length", std::string(*length) });
    }
    response.headers_ = std::move(headers);
    aReply.Send(std::move(response));
  } else if (aOutcome.answered_) {
    aReply.End();
  } else {
    aReply.Abort();
  }
}

} // namespace

Gateway::Gateway(GatewayContext& aHost, Listeners& aListeners)
  : host_(aHost)
  , listeners_(aListeners)
  , reader_(aHost.Formats())
  , upstreamTable_(ZoneId{ aHost.Settings().zone_ },
                   SelectionPolicyOf(aHost),
                   aHost.Settings().instance_)
  , forwarder_(aHost, upstreamTable_)
  , store_(aHost)
  , directory_(aHost, store_)
  , runner_(aHost, routes_, upstreamTable_, forwarder_, store_)
  , jobs_(aHost, store_, directory_, runner_)
  , usage_(aHost, forwarder_, runner_)
  , livenessLease_(aHost.PlatformStore(),
                   aHost.Timers(),
                   aHost.LeaseClock(),
                   LivenessLeaseOptions(aHost))
  , config_(aHost.PlatformStore(),
            aHost.Timers(),
            aHost.Formats().Places().config_)
  , upstreams_(aHost.PlatformStore(),
               aHost.Timers(),
               aHost.Formats().Places().upstreams_)
  , random_(std::hash<std::string>{}(aHost.Incarnation()))
{
}

Result<bool>
Gateway::Open()
{
  const auto front = ParseListenAddress(host_.Settings().front_);
  const auto ready = ParseListenAddress(host_.Settings().ready_);
  if (!front || !ready) {
    return Error{ ErrorKind::BadInput,
                  "[gateway] front or ready is missing or not an address" };
  }
  auto readyServer =
    listeners_.Serve(*ready,
                     kMaxReadyBodyBytes,
                     [this](const HttpRequest&, const HttpReplyPtr& aReply) {
                       HandleReady(aReply);
                     });
  if (!readyServer) {
    return readyServer.error();
  }
  ready_ = std::move(readyServer).value();
  auto frontServer = listeners_.Serve(
    *front, kMaxBodyBytes, [this](HttpRequest aRequest, HttpReplyPtr aReply) {
      Handle(std::move(aRequest), std::move(aReply));
    });
  if (!frontServer) {
    return frontServer.error();
  }
  front_ = std::move(frontServer).value();
  return true;
}

void
Gateway::Start()
{
  // Records are read from relays: those that served before until the other
  // processes are known. The list of upstreams, the largest part of the store,
  // waits for these.
  directory_.onSeeded_ = [this] { FollowConfig(); };
  directory_.onRead_ = [this] { FollowUpstreams(); };
  runner_.onUnfinishedChanged_ = [this](bool aOwning) {
    livenessLease_.SetTtl(aOwning ? host_.Settings().leaseTtl_ : kIdleLeaseTtl);
  };
  livenessLease_.Start();
  directory_.Start(kRelayPlanDelay);
}

void
Gateway::Stop()
{
  stopping_ = true;
  stoppedAt_ = host_.Now();
  directory_.StopClaiming();
  jobs_.Stop(host_.Settings().grace_);
}

bool
Gateway::Idle()
{
  if (host_.Now() - stoppedAt_ < kDrainTime) {
    return false;
  }
  front_->StopAccepting();
  if (!jobs_.Idle() || front_->InFlight() != 0) {
    return false;
  }
  livenessLease_.Release();
  return true;
}

bool
Gateway::CanEnd(Duration aLimit) const
{
  if (!stopping_) {
    return true;
  }
  const Duration stoppingFor = host_.Now() - stoppedAt_;
  return stoppingFor < kDrainTime || stoppingFor + aLimit + kAnswerMargin <=
                                       host_.Settings().grace_ - kExitMargin;
}

void
Gateway::FollowConfig()
{
  config_.onSnapshot_ = [this](const StoreRange& aRange) {
    for (const StoreRecord& record : aRange.records_) {
      ApplyConfig(record);
    }
  };
  config_.onChange_ = [this](const StoreEvent& aEvent) {
    if (!aEvent.deleted_) {
      ApplyConfig(aEvent.record_);
    }
  };
  config_.onBatchEnd_ = [this] { runner_.OnUpstreamsChanged(); };
  config_.onConfirmed_ = [this](Duration aAge) {
    configConfirmedAt_ = std::max(configConfirmedAt_, host_.Now() - aAge);
    configUnconfirmed_ = false;
    host_.Measures().Set("config_age_seconds",
                         std::chrono::duration<double>(aAge).count());
  };
  config_.onInterrupted_ = [this] { configUnconfirmed_ = true; };
  config_.Start(kWatchDelay);
}

void
Gateway::ApplyConfig(const StoreRecord& aRecord)
{
  if (aRecord.key_ != host_.Formats().Places().config_) {
    return;
  }
  auto config = host_.Formats().ReadConfig(aRecord.value_);
  if (!config) {
    LogEvent(LogLevel::Error,
             "config_unreadable",
             { { "error", config.error().message_ } });
    return;
  }
  const std::uint64_t revision = config.value().revision_.Get();
  const std::size_t routes = config.value().routes_.size();
  const bool applied = routes_.Apply(std::move(config).value());
  if (applied) {
    ApplyCallerBounds(routes_.Config().callerBounds_);
  }
  directory_.SetTrainers(ModelsOf(routes_.Config()));
  std::size_t keys = 0;
  for (const Customer& customer : routes_.Customers().All()) {
    keys += customer.keys_.size();
  }
  host_.Measures().Set("customers",
                       static_cast<double>(routes_.Customers().All().size()));
  host_.Measures().Set("keys", static_cast<double>(keys));
  LogEvent(
    LogLevel::Info,
    "config_read",
    { { "revision", std::to_string(revision) },
      { "routes", std::to_string(routes) },
      { "outcome", applied ? "applied" : "older than the current revision" } });
}

void
Gateway::ApplyCallerBounds(const CallerBounds& aBounds)
{
  HttpLimits limits;
  limits.maxBodyBytes_ =
    aBounds.maxBodyBytes_ > 0 ? aBounds.maxBodyBytes_ : kMaxBodyBytes;
  if (aBounds.maxHeadBytes_ > 0) {
    limits.maxHeadBytes_ = aBounds.maxHeadBytes_;
  }
  front_->SetLimits(limits);
  CallerTimeouts timeouts;
  if (aBounds.headerTimeout_ > Duration{ 0 }) {
    timeouts.header_ = aBounds.headerTimeout_;
  }
  if (aBounds.idleTimeout_ > Duration{ 0 }) {
    timeouts.idle_ = aBounds.idleTimeout_;
  }
  listeners_.SetTimeouts(timeouts);
}

void
Gateway::FollowUpstreams()
{
  upstreams_.onSnapshot_ = [this](const StoreRange& aRange) {
    ApplyUpstreamList(aRange);
  };
  upstreams_.onChange_ = [this](const StoreEvent& aEvent) {
    if (aEvent.deleted_) {
      const UpstreamId id = host_.Formats().UpstreamOf(aEvent.record_.key_);
      LogEvent(LogLevel::Info, "upstream_vanished", { { "id", id.Get() } });
      upstreamTable_.OnRemoved(id, host_.Now());
      forwarder_.Quarantine().OnVanished(id);
    } else {
      ApplyUpstream(aEvent.record_);
    }
  };
  upstreams_.onBatchEnd_ = [this] { runner_.OnUpstreamsChanged(); };
  upstreams_.Start(kWatchDelay);
}

void
Gateway::ApplyUpstream(const StoreRecord& aRecord)
{
  auto entry = reader_.Read(aRecord);
  if (!entry) {
    upstreamTable_.OnRemoved(host_.Formats().UpstreamOf(aRecord.key_),
                             host_.Now());
    return;
  }
  const UpstreamId id = entry->id_;
  const TrackedUpstream* known = upstreamTable_.Find(id);
  if (known == nullptr || known->entry_.draining_ != entry->draining_) {
    LogEvent(LogLevel::Info,
             "upstream_registered",
             { { "id", id.Get() },
               { "start", std::to_string(entry->start_.Get()) },
               { "service", entry->service_.Get() },
               { "draining", entry->draining_ ? "yes" : "no" } });
  }
  const UpstreamStart start = entry->start_;
  const EntryEffect effect = upstreamTable_.OnEntry(*entry);
  if (effect == EntryEffect::Restarted) {
    OnRestarted(id);
  } else if (effect == EntryEffect::Outdated) {
    LogEvent(LogLevel::Info,
             "upstream_entry_outdated",
             { { "id", id.Get() }, { "start", std::to_string(start.Get()) } });
  }
  // After the requests lost by a restart have been reported.
  forwarder_.Quarantine().OnEntry(*entry);
}

void
Gateway::ApplyUpstreamList(const StoreRange& aRange)
{
  upstreamsRead_ = true;
  std::vector<UpstreamEntry> entries = reader_.ReadAll(aRange);
  LogEvent(LogLevel::Info,
           "upstreams_read",
           { { "count", std::to_string(entries.size()) },
             { "revision", std::to_string(aRange.revision_) } });
  for (const UpstreamId& id : upstreamTable_.OnList(entries, host_.Now())) {
    OnRestarted(id);
  }
  forwarder_.Quarantine().OnList(entries);
}

/// Requests in progress at the previous incarnation are lost, even if their
/// connections have not reported it yet.
void
Gateway::OnRestarted(const UpstreamId& aId)
{
  LogEvent(LogLevel::Info, "upstream_restarted", { { "id", aId.Get() } });
  forwarder_.OnUpstreamRestarted(aId);
  runner_.OnUpstreamRestarted(aId);
}

/// A process without access to the store cannot accept jobs, while others may
/// be able to. In a partitioned zone, all processes detect this through their
/// watches within one or two seconds, and callers are routed to other zones;
/// processes that own no job renew their leases too rarely to detect it. If the
/// store answers no process, the balancer keeps using all of them. Before the
/// upstreams are read, every request would be refused for lack of an upstream.
std::string_view
Gateway::NotReadyReason() const
{
  if (stopping_) {
    return "stopping";
  }
  if (!routes_.HasConfig()) {
    return "no configuration yet";
  }
  if (!upstreamsRead_) {
    return "no upstreams read yet";
  }
  if (configUnconfirmed_) {
    return "nobody vouches for the configuration";
  }
  return livenessLease_.StoreReachable() ? "" : "the store does not answer";
}

void
Gateway::HandleReady(const HttpReplyPtr& aReply)
{
  const std::string_view why = NotReadyReason();
  if (why.empty()) {
    aReply->Send(HttpResponse{ 200, {}, "ready\n" });
  } else {
    aReply->Send(ErrorResponse(503, "not_ready", why));
  }
}

void
Gateway::Handle(HttpRequest aRequest, HttpReplyPtr aReply)
{
  if (!routes_.HasConfig()) {
    aReply->Send(RefusedResponse("no configuration yet", kRetryAfter));
    return;
  }
  const Route* route = routes_.Match(HostWithoutPort(aRequest), aRequest.path_);
  if (route == nullptr) {
    auto query = host_.Formats().ReadQuery(aRequest);
    if (query) {
      if (const auto customer = Authenticate(aRequest, false, *aReply)) {
        query->customer_ = *customer;
        jobs_.Query(*query, aRequest, std::move(aReply));
      }
      return;
    }
    LogEvent(
      LogLevel::Info,
      "no_route",
      { { "host", HostWithoutPort(aRequest) },
        { "path", aRequest.path_ },
        { "revision", std::to_string(routes_.Config().revision_.Get()) } });
    aReply->Send(ErrorResponse(404, "no_route", "no route takes this path"));
    return;
  }
  const auto customer = Authenticate(aRequest, route->public_, *aReply);
  if (!customer) {
    return;
  }
  if (route->kind_ == RouteKind::Rollout && aRequest.method_ == "POST") {
    jobs_.Submit(std::move(aRequest),
                 routes_.Config().revision_,
                 std::move(aReply),
                 *customer);
    return;
  }
  Forward(*route, std::move(aRequest), *customer, aReply);
}

std::optional<CustomerId>
Gateway::Authenticate(const HttpRequest& aRequest,
                      bool aPublic,
                      HttpReply& aReply)
{
  if (!routes_.RequiresKeys()) {
    return CustomerId{};
  }
  const GatewaySettings& settings = host_.Settings();
  const Duration keyLimit = settings.keyLimit_ > Duration{ 0 }
                              ? settings.keyLimit_
                              : settings.configBound_ + settings.configStretch_;
  const Duration age = ConfigAge();
  const KeyCheck keyCheck =
    CheckKey(routes_.Customers(),
             FindHeader(aRequest.headers_, "Authorization").value_or(""),
             aPublic,
             age,
             { settings.configBound_, keyLimit });
  if (keyCheck.verdict_ == KeyVerdict::Granted) {
    return keyCheck.customer_;
  }
  const bool refused = keyCheck.verdict_ == KeyVerdict::Refused;
  LogEvent(LogLevel::Info,
           refused ? "key_refused" : "key_uncertain",
           { { "id",
               std::string(
                 FindHeader(aRequest.headers_, host_.Formats().Names().attempt_)
                   .value_or("")) },
             { "customer", keyCheck.customer_.Get() },
             { "revision", std::to_string(routes_.Config().revision_.Get()) },
             { "config_age_ms", std::to_string(WholeMillis(age)) } });
  host_.Measures().Count(refused ? "keys_refused_total"
                                 : "keys_uncertain_total");
  if (refused) {
    aReply.Send(
      ErrorResponse(401, "unknown_key", "no customer holds the key sent"));
  } else {
    aReply.Send(
      RefusedResponse("the configuration known here is old", kRetryAfter));
  }
  return std::nullopt;
}

void
Gateway::Forward(const Route& aRoute,
                 HttpRequest aRequest,
                 const CustomerId& aCustomer,
                 const HttpReplyPtr& aReply)
{
  const WireNames& names = host_.Formats().Names();
  ForwardRequest request;
  request.attempt_ =
    std::string(FindHeader(aRequest.headers_, names.attempt_).value_or(""));
  request.method_ = std::move(aRequest.method_);
  request.target_ = aRequest.query_.empty()
                      ? std::move(aRequest.path_)
                      : aRequest.path_ + "?" + aRequest.query_;
  request.headers_ = ForwardableHeaders(aRequest.headers_, names);
  if (routes_.RequiresKeys()) {
    SetCustomer(request.headers_, names, aCustomer);
  }
  request.customer_ = aCustomer;
  request.body_ = std::move(aRequest.body_);
  request.service_ = DrawService(aRoute, random_.Next());
  request.kind_ = aRoute.kind_;
  request.resumable_ = aRoute.resumable_;
  if (aRoute.kind_ == RouteKind::Stream) {
    request.reply_ = aReply;
  }
  request.maxAttempts_ = aRoute.maxAttempts_;
  const auto deadline = ParseNumber(
    FindHeader(aRequest.headers_, names.deadline_).value_or(""), 0, UINT32_MAX);
  request.limit_ = deadline
                     ? std::min<Duration>(aRoute.timeout_,
                                          std::chrono::milliseconds(*deadline))
                     : aRoute.timeout_;
  request.objective_ = aRoute.objective_;
  if (!CanEnd(request.limit_)) {
    LogEvent(LogLevel::Info,
             "stopping_refused",
             { { "id", request.attempt_ },
               { "limit_ms", std::to_string(WholeMillis(request.limit_)) } });
    aReply->Send(RefusedResponse("shutting down", kRetryAfter));
    return;
  }
  const bool headOnly = request.method_ == "HEAD";
  const ForwardId id = forwarder_.Start(
    std::move(request), [aReply, headOnly](ForwardOutcome aOutcome) {
      EndReply(*aReply, std::move(aOutcome), headOnly);
    });
  aReply->OnCallerGone([this, id] { forwarder_.Cancel(id); });
}

} // namespace marjoramtally
