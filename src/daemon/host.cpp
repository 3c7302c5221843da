#include "daemon/host.hpp"

#include "daemon/budgeted_store.hpp"

#include "marjoramtally/runtime/program.hpp"

#include <sstream>
#include <thread>

namespace marjoramtally {

namespace {

constexpr std::uint32_t kStoreThreads = 1;
constexpr auto kDrainPoll = std::chrono::milliseconds(10);
/// Maximum wait for the store to remove the record at shutdown.
constexpr auto kLeaveLimit = std::chrono::seconds(1);

constexpr std::uint64_t kBytesPerMegabyte = 1'000'000;
/// Shorter keys are too easy to guess.
constexpr std::size_t kMinPeerKeyBytes = 32;

Result<std::vector<std::string>>
ReadPeerKeys(const std::string& aFile)
{
  std::vector<std::string> keys;
  if (aFile.empty()) {
    return keys;
  }
  const auto text = ReadFile(aFile);
  if (!text) {
    return text.error();
  }
  std::istringstream lines(text.value());
  std::string line;
  while (std::getline(lines, line)) {
    if (line.size() < kMinPeerKeyBytes) {
      return Error{ ErrorKind::BadInput,
                    aFile + ":" + std::to_string(keys.size() + 1) +
                      ": key is shorter than 32 characters" };
    }
    keys.push_back(line);
  }
  if (keys.empty()) {
    return Error{ ErrorKind::BadInput, aFile + ": contains no key" };
  }
  return keys;
}

} // namespace

Host::Host(DaemonSettings aSettings, std::string aProgram, std::string aRole)
  : settings_(std::move(aSettings))
  , role_(std::move(aRole))
  , traces_(settings_.traceFile_, aProgram + "/" + settings_.instance_)
  , loops_(IoPool::Create(static_cast<std::uint32_t>(settings_.threads_)))
  , callers_(CallerRegistry::Create(
      loops_,
      { settings_.memoryMb_ * kBytesPerMegabyte, settings_.descriptors_ },
      &metrics_))
  , client_(HttpClient::Create(loops_))
  , storeClient_(HttpClient::Create(kStoreThreads))
  , openedStore_(OpenStore(settings_.store_,
                           *storeClient_,
                           settings_.storeTimeout_,
                           clock_))
  , store_(MakeBudgetedStore(
      openedStore_ ? std::move(openedStore_).value()
                   : MakeEtcdStore(*storeClient_, "", Duration::zero()),
      StoreRate{},
      metrics_))
  , cluster_(std::make_unique<Cluster>(settings_, *store_, timers_))
  , gossip_(std::make_unique<GossipService>(timers_, metrics_))
  , instanceList_(std::make_unique<InstanceListReader>(settings_,
                                                       *client_,
                                                       timers_,
                                                       *gossip_))
  , config_(std::make_unique<ConfigService>(settings_,
                                            *store_,
                                            timers_,
                                            metrics_,
                                            *cluster_))
  , configHttp_(*config_, *cluster_, *store_, timers_)
{
  callers_->SetTimeouts({ settings_.headerTimeout_, settings_.idleTimeout_ });
  ConnectListeners();
}

/// Connects membership, configuration and store records: each forwards its
/// changes to the others.
void
Host::ConnectListeners()
{
  config_->onRevision_ = [this](ConfigRevision aRevision) {
    gossip_->SetRevision(aRevision);
  };
  gossip_->onRevision_ = [this](ConfigRevision aRevision,
                                const std::string& aPeer) {
    config_->OnReceivedRevision(aRevision, aPeer);
  };
  gossip_->onMembers_ = [this](const std::vector<Member>& aMembers) {
    cluster_->SetMembers(aMembers);
  };
  gossip_->onStoreRevision_ = [this](const GossipItem& aItem) {
    cluster_->Records().OnHint(aItem.key_, aItem.version_);
  };
  cluster_->onSeeds_ = [this](std::vector<std::string> aSeeds) {
    gossip_->SetSeeds(std::move(aSeeds));
  };
  cluster_->Records().shouldWatch_ = [this] { return gossip_->IsBridge(); };
  cluster_->Records().onChange_ = [this](const std::string& aGroup,
                                         std::uint64_t aRevision) {
    GossipItem item;
    item.kind_ = GossipItemKind::StoreRevision;
    item.key_ = aGroup;
    item.version_ = aRevision;
    gossip_->Publish(item);
  };
}

void
Host::StartGossip(const InstanceRecord& aSelf)
{
  Member self;
  self.id_ = aSelf.id_;
  self.role_ = aSelf.role_;
  self.zone_ = aSelf.zone_;
  self.http_ = aSelf.http_;
  self.rpc_ = aSelf.rpc_;
  gossip_->Start(std::move(self), *rpc_);
}

Result<bool>
Host::Start()
{
  if (!openedStore_) {
    return openedStore_.error();
  }
  auto keys = ReadPeerKeys(settings_.peerKeyFile_);
  if (!keys) {
    return keys.error();
  }
  auto rpc = RpcNode::Start(
    settings_.address_,
    static_cast<std::uint16_t>(settings_.rpcPort_),
    [this](RpcCall aCall, RpcDone aDone) {
      Serve(std::move(aCall), std::move(aDone));
    },
    std::move(keys).value());
  if (!rpc) {
    return rpc.error();
  }
  rpc_ = std::move(rpc).value();
  HttpServerOptions options;
  options.address_ = settings_.address_;
  options.port_ = static_cast<std::uint16_t>(settings_.httpPort_);
  options.pool_ = loops_;
  options.maxBodyBytes_ = settings_.maxBodyBytes_;
  options.maxHeadBytes_ = settings_.maxHeadBytes_;
  options.callers_ = callers_;
  auto server = HttpServer::Start(
    options, [this](HttpRequest aRequest, const HttpReplyPtr& aReply) {
      Handle(std::move(aRequest), aReply);
    });
  if (!server) {
    return server.error();
  }
  server_ = std::move(server).value();
  InstanceRecord self;
  self.id_ = InstanceId{ settings_.instance_ };
  self.role_ = role_;
  self.zone_ = ZoneId{ settings_.zone_ };
  self.http_ = settings_.address_ + ":" + std::to_string(server_->Port());
  self.rpc_ = settings_.address_ + ":" + std::to_string(rpc_->Port());
  LogEvent(LogLevel::Info,
           "started",
           { { "http", self.http_ }, { "rpc", self.rpc_ } });
  StartGossip(self);
  cluster_->Start(self);
  instanceList_->Start();
  config_->Start(*rpc_);
  if (!settings_.portFile_.empty()) {
    return WriteFile(settings_.portFile_, self.http_ + "\n");
  }
  return true;
}

void
Host::Serve(RpcCall aCall, RpcDone aDone)
{
  if (aCall.topic_ == RpcTopic::Config) {
    config_->Serve(aCall, std::move(aDone));
  } else if (aCall.topic_ == RpcTopic::Gossip) {
    gossip_->Serve(aCall, std::move(aDone));
  } else {
    onRpc_(std::move(aCall), std::move(aDone));
  }
}

InstanceStatus
Host::Status() const
{
  InstanceStatus status;
  status.self_ = cluster_->Self();
  status.view_ = cluster_->View();
  status.config_ = config_->Status();
  if (draining_) {
    status.notReady_ = "this instance is shutting down";
  } else {
    status.notReady_ = config_->WhyNotReady();
  }
  status.ready_ = status.notReady_.empty();
  return status;
}

HttpResponse
Host::ReadyResponse() const
{
  if (draining_) {
    return ErrorResponse(503, "draining", "this instance is shutting down");
  }
  const std::string reason = config_->WhyNotReady();
  if (!reason.empty()) {
    return ErrorResponse(503, "no_rules", reason);
  }
  return JsonResponse(200, R"({"ready":true})");
}

void
Host::Handle(HttpRequest aRequest, const HttpReplyPtr& aReply)
{
  if (aRequest.path_ == "/healthz") {
    aReply->Send(JsonResponse(200, R"({"alive":true})"));
  } else if (aRequest.path_ == "/readyz") {
    aReply->Send(ReadyResponse());
  } else if (aRequest.path_ == "/status.json") {
    aReply->Send(JsonResponse(200, RenderStatusJson(Status())));
  } else if (aRequest.path_ == "/status") {
    aReply->Send({ 200,
                   { { "Content-Type", "text/html; charset=utf-8" } },
                   RenderStatusPage(Status()) });
  } else if (aRequest.path_ == "/metrics") {
    aReply->Send(
      { 200, { { "Content-Type", "text/plain" } }, metrics_.Render() });
  } else if (!configHttp_.TryServe(aRequest, aReply)) {
    onHttp_(std::move(aRequest), aReply);
  }
}

void
Host::RunUntilStopped(const std::function<bool()>& aBusy)
{
  WaitForStopSignal();
  LogEvent(LogLevel::Info, "draining");
  draining_ = true;
  auto left = std::make_shared<std::atomic<bool>>(false);
  gossip_->Leave();
  cluster_->Leave([left] { *left = true; });
  std::this_thread::sleep_for(settings_.drainNotice_);
  server_->StopAccepting();
  const TimePoint limit = Now() + settings_.drainLimit_;
  while ((aBusy() || server_->InFlight() > 0) && Now() < limit) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  const TimePoint leaveLimit = Now() + kLeaveLimit;
  while (!*left && Now() < leaveLimit) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  timers_.Stop();
  config_->Stop();
  server_.reset();
  rpc_.reset();
  client_.reset();
  storeClient_.reset();
  store_.reset();
  LogEvent(LogLevel::Info, "stopped");
}

} // namespace marjoramtally
