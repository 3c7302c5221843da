#include "programs/entryd/crash_guard.hpp"

namespace marjoramtally {

namespace {

constexpr auto kAnnounceTimeout = std::chrono::seconds(1);

Fingerprint
FingerprintOf(const RequestSpec& aSpec)
{
  return Fingerprint{ aSpec.fingerprint_ };
}

} // namespace

void
CrashGuard::Start()
{
  host_.ClusterState().OnRefresh(
    [this](const ClusterViewPtr& aView) { AssignUpstreams(*aView); });
}

void
CrashGuard::AssignUpstreams(const ClusterView& aView)
{
  std::vector<InstanceId> entries;
  for (const auto& [id, instance] : aView.instances_) {
    if (IsZoneEntry(instance)) {
      entries.push_back(id);
    }
  }
  const InstanceId self{ host_.Settings().instance_ };
  std::map<std::string, std::size_t> counts;
  std::set<UpstreamId> others;
  for (const auto& [id, upstream] : aView.rules_->upstreams_) {
    const std::size_t turn = counts[upstream.service_]++;
    if (!entries.empty() && entries.at(turn % entries.size()) != self) {
      others.insert(id);
    }
  }
  const std::lock_guard lock(mutex_);
  quarantine_.SetOthersUpstreams(std::move(others));
}

bool
CrashGuard::IsZoneEntry(const InstanceRecord& aInstance) const
{
  return aInstance.role_ == "entry" &&
         aInstance.zone_.Get() == host_.Settings().zone_;
}

QuarantineVerdict
CrashGuard::Check(const RequestSpec& aSpec)
{
  const std::lock_guard lock(mutex_);
  return quarantine_.Judge(FingerprintOf(aSpec), host_.Now());
}

std::vector<UpstreamId>
CrashGuard::UpstreamsToAvoid(const RequestSpec& aSpec,
                             std::vector<UpstreamId> aTried) const
{
  const std::lock_guard lock(mutex_);
  if (quarantine_.size() == 0) {
    return aTried;
  }
  const auto avoid = quarantine_.UpstreamsToAvoid(FingerprintOf(aSpec));
  aTried.insert(aTried.end(), avoid.begin(), avoid.end());
  return aTried;
}

bool
CrashGuard::TryStart(const RequestSpec& aSpec, const UpstreamId& aUpstream)
{
  const std::lock_guard lock(mutex_);
  const TimePoint now = host_.Now();
  if (!quarantine_.MayStart(FingerprintOf(aSpec), aUpstream, now)) {
    return false;
  }
  quarantine_.OnSent(aUpstream, FingerprintOf(aSpec), now);
  return true;
}

void
CrashGuard::OnAttemptEnd(const RequestSpec& aSpec,
                         const UpstreamId& aUpstream,
                         HttpEnd aHttpEnd,
                         AttemptEnd aEnd)
{
  const Fingerprint fingerprint = FingerprintOf(aSpec);
  std::vector<SuspicionUpdate> updates;
  std::size_t refused = 0;
  {
    const std::lock_guard lock(mutex_);
    if (aEnd == AttemptEnd::Complete) {
      updates = quarantine_.OnCompleted(aUpstream, fingerprint);
    } else if (aHttpEnd == HttpEnd::Broken) {
      updates = quarantine_.OnBroken(aUpstream, fingerprint, host_.Now());
    } else {
      quarantine_.OnEnded(aUpstream, fingerprint);
    }
    if (!updates.empty()) {
      refused = quarantine_.Refused(host_.Now());
    }
  }
  if (updates.empty()) {
    return;
  }
  host_.Measures().Set("marjoram_quarantined", static_cast<double>(refused));
  const SuspicionUpdate& update = updates.front();
  LogEvent(LogLevel::Warn,
           update.cleared_ ? "suspect_cleared" : "suspect",
           { { "fingerprint", std::to_string(fingerprint.Get()) },
             { "service", aSpec.service_.Get() },
             { "upstream", aUpstream.Get() },
             { "crashes", std::to_string(update.crashes_.size()) },
             { "refused_for", FormatDuration(update.refusedFor_) } });
  Announce(updates);
}

void
CrashGuard::Announce(const std::vector<SuspicionUpdate>& aUpdates)
{
  const std::string body = Encode(aUpdates);
  const auto view = host_.ClusterState().View();
  for (const auto& [id, instance] : view->instances_) {
    if (!IsZoneEntry(instance) || id.Get() == host_.Settings().instance_) {
      continue;
    }
    RpcCall call;
    call.topic_ = RpcTopic::Claim;
    call.timeout_ = kAnnounceTimeout;
    call.body_ = body;
    host_.Rpc().Call(instance.rpc_, std::move(call), [](const RpcReply&) {});
  }
}

void
CrashGuard::OnRpc(const RpcCall& aCall, const RpcDone& aDone)
{
  const auto updates = DecodeSuspicionUpdates(aCall.body_);
  if (!updates) {
    aDone(updates.error());
    return;
  }
  std::size_t refused = 0;
  {
    const std::lock_guard lock(mutex_);
    for (const SuspicionUpdate& update : updates.value()) {
      quarantine_.OnUpdate(update, host_.Now());
    }
    refused = quarantine_.Refused(host_.Now());
  }
  host_.Measures().Set("marjoram_quarantined", static_cast<double>(refused));
  aDone(std::string());
}

} // namespace marjoramtally
