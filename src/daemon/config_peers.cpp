#include "daemon/config_peers.hpp"

namespace marjoramtally {

namespace {

constexpr Duration kAnnounceTimeout = std::chrono::seconds(3);
constexpr Duration kFetchTimeout = std::chrono::seconds(2);

RpcCall
MakeCall(const ConfigRequest& aRequest, Duration aTimeout)
{
  RpcCall call;
  call.topic_ = RpcTopic::Config;
  call.timeout_ = aTimeout;
  call.body_ = EncodeConfigRequest(aRequest);
  return call;
}

} // namespace

ConfigPeers::ConfigPeers(ConfigState& aState, Metrics& aMetrics)
  : state_(aState)
  , metrics_(aMetrics)
{
}

void
ConfigPeers::Start(RpcNode& aNode, std::string aSelf)
{
  const std::lock_guard lock(mutex_);
  node_ = &aNode;
  self_ = std::move(aSelf);
}

void
ConfigPeers::SetTargets(const std::vector<std::string>& aTargets)
{
  const std::lock_guard lock(mutex_);
  targets_ = aTargets;
  const std::set<std::string> kept(aTargets.begin(), aTargets.end());
  std::erase_if(
    known_, [&](const auto& aEntry) { return !kept.contains(aEntry.first); });
}

void
ConfigPeers::Announce()
{
  const ConfigRevision revision = state_.Revision();
  const std::lock_guard lock(mutex_);
  if (node_ == nullptr) {
    return;
  }
  for (const std::string& target : targets_) {
    if (known_[target] < revision && announcing_.insert(target).second) {
      AnnounceTo(target, revision);
    }
  }
}

void
ConfigPeers::AnnounceTo(const std::string& aTarget, ConfigRevision aRevision)
{
  metrics_.Count("config_tells_total");
  node_->Call(aTarget,
              MakeCall({ aRevision, self_, false, {} }, kAnnounceTimeout),
              [this, aTarget](const RpcReply& aReply) {
                const auto reply = aReply ? DecodeConfigReply(aReply.value())
                                          : Result<ConfigReply>(aReply.error());
                const std::lock_guard held(mutex_);
                announcing_.erase(aTarget);
                if (reply) {
                  known_[aTarget] = reply.value().revision_;
                }
              });
}

void
ConfigPeers::Stop()
{
  const std::lock_guard lock(mutex_);
  node_ = nullptr;
}

void
ConfigPeers::OnReceivedRevision(ConfigRevision aRevision,
                                const std::string& aPeer)
{
  if (aRevision > state_.Revision() && !aPeer.empty()) {
    Fetch(aPeer);
  }
}

void
ConfigPeers::FetchFrom(const std::string& aPeer)
{
  Fetch(aPeer);
}

bool
ConfigPeers::Fetching()
{
  const std::lock_guard lock(mutex_);
  return fetching_;
}

void
ConfigPeers::Fetch(const std::string& aPeer)
{
  const ConfigContent content = state_.Content();
  ConfigRequest request{ content.manifest_.revision_, {}, true, {} };
  for (const auto& [hash, text] : content.blobs_) {
    request.known_.push_back(hash);
  }
  const std::lock_guard lock(mutex_);
  if (fetching_ || node_ == nullptr) {
    return;
  }
  fetching_ = true;
  metrics_.Count("config_peer_fetches_total");
  node_->Call(aPeer,
              MakeCall(request, kFetchTimeout),
              [this](const RpcReply& aReply) { OnFetched(aReply); });
}

void
ConfigPeers::OnFetched(const RpcReply& aReply)
{
  const auto reply = aReply ? DecodeConfigReply(aReply.value())
                            : Result<ConfigReply>(aReply.error());
  if (reply) {
    ApplyReply(reply.value());
  } else {
    LogEvent(LogLevel::Warn,
             "config_fetch_failed",
             { { "error", reply.error().message_ } });
  }
  {
    const std::lock_guard lock(mutex_);
    fetching_ = false;
  }
  AnswerWaitingPeers();
}

void
ConfigPeers::ApplyReply(const ConfigReply& aReply)
{
  const auto manifest = ParseManifest(aReply.manifest_);
  if (!manifest || state_.Judge(manifest.value(), ManifestSource::Peer) !=
                     ManifestVerdict::Newer) {
    return;
  }
  std::map<std::string, std::string> blobs;
  for (const ConfigBlob& blob : aReply.blobs_) {
    if (ContentHash(blob.text_) == blob.hash_) {
      blobs[blob.hash_] = blob.text_;
    }
  }
  state_.Apply(manifest.value(), blobs, ManifestSource::Peer);
}

void
ConfigPeers::AnswerWaitingPeers()
{
  std::vector<RpcDone> waiting;
  {
    const std::lock_guard lock(mutex_);
    waiting.swap(waitingPeers_);
  }
  const std::string answer = Answer({});
  for (const RpcDone& done : waiting) {
    done(answer);
  }
}

std::string
ConfigPeers::Answer(const ConfigRequest& aRequest) const
{
  ConfigReply reply;
  if (!aRequest.fetch_) {
    reply.revision_ = state_.Revision();
    return EncodeConfigReply(reply);
  }
  const ConfigContent content = state_.Content();
  reply.revision_ = content.manifest_.revision_;
  reply.manifest_ = FormatManifest(content.manifest_);
  const std::set<std::string> known(aRequest.known_.begin(),
                                    aRequest.known_.end());
  for (const auto& [hash, text] : content.blobs_) {
    if (!known.contains(hash)) {
      reply.blobs_.push_back({ hash, text });
    }
  }
  return EncodeConfigReply(reply);
}

void
ConfigPeers::Serve(const RpcCall& aCall, RpcDone aDone)
{
  const auto request = DecodeConfigRequest(aCall.body_);
  if (!request) {
    aDone(request.error());
    return;
  }
  const ConfigRequest& announcement = request.value();
  if (announcement.fetch_ || announcement.revision_ <= state_.Revision()) {
    aDone(Answer(announcement));
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    waitingPeers_.push_back(std::move(aDone));
  }
  OnReceivedRevision(announcement.revision_, announcement.sender_);
  // If a fetch ended before this entry was queued, nothing else answers it.
  if (announcement.revision_ <= state_.Revision()) {
    AnswerWaitingPeers();
  }
}

} // namespace marjoramtally
