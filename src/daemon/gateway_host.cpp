#include "daemon/gateway_host.hpp"

#include "daemon/metered_store.hpp"

#include "marjoramtally/process/job_takeover.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <csignal>
#include <future>
#include <map>
#include <thread>
#include <unistd.h>

namespace marjoramtally {

namespace {

/// How often a stopping process checks whether its last request has ended.
constexpr auto kIdlePollInterval = std::chrono::milliseconds(100);
/// Network time of a relay's answer, added to the time for which the relay may
/// delay it.
constexpr auto kRelayCallSlack = std::chrono::milliseconds(300);
/// Requests for metrics have no body.
constexpr std::uint64_t kMetricsBodyBytes = 1024;

constexpr std::uint64_t kBytesPerMegabyte = 1'000'000;

/// RPC node whose handlers and completions run on the loop.
class LoopPeers final : public PeerCalls
{
public:
  explicit LoopPeers(IoPool& aPool)
    : pool_(aPool)
  {
  }

  Result<bool> Open(const std::string& aAddress, std::uint16_t aPort)
  {
    auto node = RpcNode::Start(
      aAddress, aPort, [this](const RpcCall& aCall, const RpcDone& aDone) {
        pool_.Post(0, [this, aCall, aDone] { Dispatch(aCall, aDone); });
      });
    if (!node) {
      return node.error();
    }
    node_ = std::move(node).value();
    return true;
  }

  void Call(const std::string& aAddress, RpcCall aCall, RpcDone aDone) override
  {
    if (!node_) {
      pool_.Post(0, [done = std::move(aDone)] {
        done(Error{ ErrorKind::Unavailable,
                    "RPC between processes is unavailable" });
      });
      return;
    }
    node_->Call(aAddress,
                std::move(aCall),
                [this, done = std::move(aDone)](const RpcReply& aReply) {
                  pool_.Post(0, [done, aReply] { done(aReply); });
                });
  }

  void Serve(RpcTopic aTopic, RpcHandler aHandler) override
  {
    handlers_[aTopic] = std::move(aHandler);
  }

private:
  void Dispatch(const RpcCall& aCall, const RpcDone& aDone)
  {
    const auto it = handlers_.find(aCall.topic_);
    if (it == handlers_.end()) {
      aDone(Error{ ErrorKind::NotFound, "this process does not serve that" });
    } else {
      it->second(aCall, aDone);
    }
  }

  IoPool& pool_;
  std::unique_ptr<RpcNode> node_;
  std::map<RpcTopic, RpcHandler> handlers_;
};

std::string
MakeIncarnation(const std::string& aInstance)
{
  const auto time = std::chrono::system_clock::now().time_since_epoch().count();
  return MakeIncarnationName(InstanceId{ aInstance },
                             std::to_string(time) + "." +
                               std::to_string(getpid()));
}

/// @returns the signals that the main thread waits for
sigset_t
WaitedSignals()
{
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  return set;
}

} // namespace

void
BlockDaemonSignals()
{
  // Threads inherit the mask, so that only `Run` receives these signals.
  const sigset_t waited = WaitedSignals();
  pthread_sigmask(SIG_BLOCK, &waited, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

GatewayHost::GatewayHost(GatewaySettings aSettings,
                         std::unique_ptr<Platform> aPlatform,
                         const StoreFactory& aStore,
                         bool aRelayed)
  : settings_(std::move(aSettings))
  , platform_(std::move(aPlatform))
{
  pool_ = IoPool::Create(1);
  callers_ = CallerRegistry::Create(
    pool_,
    { settings_.memoryMb_ * kBytesPerMegabyte, settings_.descriptors_ },
    &metrics_);
  timers_ = LoopTimers::Create(*pool_, 0);
  client_ = HttpClient::Create(pool_);
  store_ =
    MakeMeteredStore(aStore(*client_, *timers_, settings_.store_), metrics_);
  const std::string incarnation = MakeIncarnation(settings_.instance_);
  relayPlan_ = std::make_unique<RelayPlan>(incarnation);
  OpenPeers();
  if (aRelayed && settings_.rpcPort_ != 0) {
    StartRelaying();
  }
  Store* store = store_.get();
  if (relayed_) {
    store = relayed_.get();
  }
  context_ =
    std::make_unique<GatewayContext>(GatewayContext::Parts{ &settings_,
                                                            platform_.get(),
                                                            client_.get(),
                                                            timers_.get(),
                                                            store,
                                                            &clock_,
                                                            &bootClock_,
                                                            &wallClock_,
                                                            &metrics_,
                                                            relayPlan_.get(),
                                                            peers_.get(),
                                                            incarnation });
}

GatewayHost::~GatewayHost()
{
  pool_->Stop();
}

void
GatewayHost::OpenPeers()
{
  auto peers = std::make_unique<LoopPeers>(*pool_);
  if (settings_.rpcPort_ != 0) {
    const auto opened = peers->Open(
      settings_.address_, static_cast<std::uint16_t>(settings_.rpcPort_));
    if (!opened) {
      LogEvent(LogLevel::Warn,
               "peers_unavailable",
               { { "error", opened.error().message_ } });
    }
  }
  peers_ = std::move(peers);
}

void
GatewayHost::StartRelaying()
{
  relayed_ = std::make_unique<RelayedStore>(
    *store_,
    *timers_,
    clock_,
    [this](const std::string& aAddress,
           const WatchAsk& aAsk,
           StoreDone<StoreWatchBatch> aDone) {
      QueryRelay(aAddress, aAsk, std::move(aDone));
    },
    [this](const std::string& aPrefix) -> const std::vector<std::string>& {
      return relayPlan_->Relays(aPrefix);
    });
  peers_->Serve(RpcTopic::Watch, [this](const RpcCall& aCall, RpcDone aDone) {
    ServeRelay(aCall, std::move(aDone));
  });
}

void
GatewayHost::ServeRelay(const RpcCall& aCall, RpcDone aDone)
{
  const auto ask = DecodeWatchAsk(aCall.body_);
  if (!ask) {
    aDone(ask.error());
    return;
  }
  relayed_->Serve(ask.value(), std::move(aDone));
}

void
GatewayHost::QueryRelay(const std::string& aAddress,
                        const WatchAsk& aAsk,
                        StoreDone<StoreWatchBatch> aDone)
{
  RpcCall call;
  call.topic_ = RpcTopic::Watch;
  call.timeout_ = aAsk.wait_ + kRelayCallSlack;
  call.body_ = EncodeWatchAsk(aAsk);
  peers_->Call(aAddress,
               std::move(call),
               [done = std::move(aDone)](const RpcReply& aReply) {
                 if (aReply) {
                   done(DecodeWatchBatch(aReply.value()));
                 } else {
                   done(aReply.error());
                 }
               });
}

Result<std::unique_ptr<HttpServer>>
GatewayHost::Serve(const ListenAddress& aAddress,
                   std::uint64_t aMaxBodyBytes,
                   HttpHandler aHandler)
{
  HttpServerOptions options;
  options.address_ = aAddress.address_;
  options.port_ = aAddress.port_;
  options.pool_ = pool_;
  options.callers_ = callers_;
  options.maxBodyBytes_ = aMaxBodyBytes;
  return HttpServer::Start(std::move(options), std::move(aHandler));
}

void
GatewayHost::SetTimeouts(const CallerTimeouts& aTimeouts)
{
  callers_->SetTimeouts(aTimeouts);
}

void
GatewayHost::ServeMetrics()
{
  if (settings_.metricsPort_ == 0) {
    return;
  }
  const ListenAddress address{
    settings_.address_, static_cast<std::uint16_t>(settings_.metricsPort_)
  };
  auto server =
    Serve(address,
          kMetricsBodyBytes,
          [this](const HttpRequest&, const HttpReplyPtr& aReply) {
            aReply->Send(
              { 200, { { "Content-Type", "text/plain" } }, metrics_.Render() });
          });
  if (server) {
    metricsServer_ = std::move(server).value();
  } else {
    LogEvent(LogLevel::Warn,
             "metrics_unavailable",
             { { "error", server.error().message_ } });
  }
}

void
GatewayHost::OnLoop(const std::function<void()>& aTask)
{
  std::promise<void> done;
  pool_->Post(0, [&] {
    aTask();
    done.set_value();
  });
  done.get_future().get();
}

void
GatewayHost::Run(const std::function<void()>& aStart,
                 const std::function<void()>& aStop,
                 const std::function<bool()>& aIdle)
{
  ServeMetrics();
  OnLoop(aStart);
  LogEvent(LogLevel::Info,
           "started",
           { { "incarnation", context_->Incarnation() },
             { "zone", settings_.zone_ } });
  const sigset_t waited = WaitedSignals();
  int signal = 0;
  while (sigwait(&waited, &signal) == 0 && signal == SIGHUP) {
    // Addresses and identity are fixed for the lifetime of a process, and the
    // operators' configuration is read from the store.
    LogEvent(LogLevel::Info, "reload", { { "outcome", "nothing to apply" } });
  }
  LogEvent(
    LogLevel::Info, "stopping", { { "signal", std::to_string(signal) } });
  const auto end =
    std::chrono::steady_clock::now() + settings_.grace_ - kExitMargin;
  OnLoop(aStop);
  bool idle = false;
  while (!idle && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kIdlePollInterval);
    OnLoop([&] { idle = aIdle(); });
  }
  LogEvent(LogLevel::Info, "stopped", { { "idle", idle ? "yes" : "no" } });
  pool_->Stop();
}

} // namespace marjoramtally
