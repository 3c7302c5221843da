#include "daemon/config_service.hpp"

#include <random>

namespace marjoramtally {

namespace {

constexpr std::string_view kFileName = "/config.bin";
/// Read period of instances that watch the store. It detects dead connections
/// that report no error and a store restored to an older state.
constexpr Duration kWatcherReadPeriod = std::chrono::seconds(5);
/// Read period of the other instances, in case every announcing peer is
/// outdated.
constexpr Duration kBackupReadPeriod = std::chrono::minutes(2);
/// Ticks to wait for the first view of the other instances.
constexpr int kTicksBeforePeerFetch = 2;
/// Ticks that a new instance waits for a peer's answer.
constexpr int kMaxTicksForPeerFetch = 3;
/// Ticks between reads while no rules are in force.
constexpr int kTicksPerReadWithoutRules = 5;

std::string
FileIn(const std::string& aFolder)
{
  return aFolder.empty() ? std::string{} : aFolder + std::string(kFileName);
}

FanoutMember
ToMember(const InstanceRecord& aRecord)
{
  return { aRecord.zone_, aRecord.id_, aRecord.rpc_ };
}

} // namespace

ConfigService::ConfigService(const DaemonSettings& aSettings,
                             Store& aStore,
                             Timers& aTimers,
                             Metrics& aMetrics,
                             Cluster& aCluster)
  : settings_(aSettings)
  , timers_(aTimers)
  , cluster_(aCluster)
  , state_(FileIn(aSettings.dataDir_),
           aMetrics,
           [this](std::shared_ptr<const Rules> aRules) {
             const ConfigRevision revision = aRules->revision_;
             cluster_.SetRules(std::move(aRules));
             if (onRevision_) {
               onRevision_(revision);
             }
             peers_.Announce();
           })
  , watch_(aStore, state_, aMetrics)
  , peers_(state_, aMetrics)
  , jitter_(std::random_device{}())
{
}

void
ConfigService::Start(RpcNode& aNode)
{
  peers_.Start(aNode, cluster_.Self().rpc_);
  state_.LoadFile();
  timers_.Every(settings_.refresh_, [this] { Tick(); });
}

void
ConfigService::Stop()
{
  peers_.Stop();
}

FanoutRole
ConfigService::Role() const
{
  const ClusterViewPtr view = cluster_.View();
  std::vector<FanoutMember> members;
  for (const auto& [id, record] : view->instances_) {
    members.push_back(ToMember(record));
  }
  return ChooseFanout(std::move(members), ToMember(cluster_.Self()));
}

void
ConfigService::Tick()
{
  const FanoutRole role = Role();
  peers_.SetTargets(role.targets_);
  if (!QueryPeersFirst()) {
    return;
  }
  watch_.Keep(role.watches_, clock_.Now());
  ReadIfDue(role.watches_);
  if (Revision() == ConfigRevision{ 0 }) {
    FetchFromNextPeer();
  }
  peers_.Announce();
}

/// A new instance queries a peer before the store: the store may have been
/// restored to an older state, and the new instance must not apply a lower
/// revision than its peers.
/// @returns whether the peer has answered or the wait for it has ended
bool
ConfigService::QueryPeersFirst()
{
  if (peersQueried_) {
    return true;
  }
  if (++ticks_ < kTicksBeforePeerFetch) {
    return false;
  }
  if (ticks_ == kTicksBeforePeerFetch) {
    FetchFromNextPeer();
  }
  peersQueried_ = !peers_.Fetching() ||
                  ticks_ >= kTicksBeforePeerFetch + kMaxTicksForPeerFetch;
  return peersQueried_;
}

void
ConfigService::ReadIfDue(bool aWatches)
{
  const TimePoint now = clock_.Now();
  if (now < nextRead_) {
    return;
  }
  Duration period = aWatches ? kWatcherReadPeriod : kBackupReadPeriod;
  if (Revision() == ConfigRevision{ 0 }) {
    period = settings_.refresh_ * kTicksPerReadWithoutRules;
  }
  const auto spread = static_cast<std::uint64_t>(period.count());
  nextRead_ = now + period / 2 +
              Duration(static_cast<Duration::rep>(jitter_.Below(spread)));
  watch_.Read();
}

void
ConfigService::FetchFromNextPeer()
{
  const ClusterViewPtr view = cluster_.View();
  std::vector<std::string> addresses;
  for (const auto& [id, record] : view->instances_) {
    if (id != cluster_.Self().id_) {
      addresses.push_back(record.rpc_);
    }
  }
  if (!addresses.empty()) {
    peers_.FetchFrom(addresses[nextPeer_++ % addresses.size()]);
  }
}

void
ConfigService::OnReceivedRevision(ConfigRevision aRevision,
                                  const std::string& aPeer)
{
  peers_.OnReceivedRevision(aRevision, aPeer);
}

ConfigRevision
ConfigService::Revision() const
{
  return state_.Revision();
}

void
ConfigService::Serve(const RpcCall& aCall, RpcDone aDone)
{
  peers_.Serve(aCall, std::move(aDone));
}

std::string
ConfigService::WhyNotReady() const
{
  const ConfigStatus status = state_.Status();
  if (status.inForce_.revision_ > ConfigRevision{ 0 }) {
    return peersQueried_ ? std::string{}
                         : "asking peers for a higher revision first";
  }
  if (!status.problem_.empty()) {
    return status.problem_;
  }
  const std::string store = watch_.LastError();
  return store.empty()
           ? "no accepted rules are known yet"
           : "no accepted rules are known: " + store +
               "; no peer gave any, and none was kept on a disk here";
}

} // namespace marjoramtally
