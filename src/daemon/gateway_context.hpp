/// Dependencies of the components of a daemon on the users' platform. Tests
/// replace all of them by fakes.
#pragma once

#include "daemon/gateway_settings.hpp"
#include "marjoramtally/process/relay_plan.hpp"
#include "marjoramtally/runtime/http_client.hpp"
#include "marjoramtally/runtime/http_server.hpp"
#include "marjoramtally/runtime/loop_timers.hpp"
#include "marjoramtally/runtime/metrics.hpp"
#include "marjoramtally/runtime/platform.hpp"
#include "marjoramtally/runtime/rpc.hpp"
#include "marjoramtally/runtime/store.hpp"

namespace marjoramtally {

/// Connecting to an upstream within the platform takes a few milliseconds, so
/// an upstream that does not accept within this time is considered dead.
inline constexpr auto kUpstreamConnectTimeout = std::chrono::milliseconds(250);

/// Prefix of the records in which owners of jobs tell the holder of the order
/// duty how many slots the items of a model have wanted at once.
inline constexpr const char* kBurstPrefix = "mt/duty/burst/";

/// RPC between processes. Handlers and completions run on the loop.
class PeerCalls
{
public:
  virtual ~PeerCalls() = default;
  virtual void Call(const std::string& aAddress,
                    RpcCall aCall,
                    RpcDone aDone) = 0;
  /// Registers the handler of a topic's calls.
  virtual void Serve(RpcTopic aTopic, RpcHandler aHandler) = 0;
};

/// Opens HTTP listeners whose requests are handled on the loop.
class Listeners
{
public:
  virtual ~Listeners() = default;
  /// @returns an error naming the address if it cannot be bound
  [[nodiscard]] virtual Result<std::unique_ptr<HttpServer>> Serve(
    const ListenAddress& aAddress,
    std::uint64_t aMaxBodyBytes,
    HttpHandler aHandler) = 0;
  /// Limits the times of callers at all listeners.
  virtual void SetTimeouts(const CallerTimeouts& aTimeouts) = 0;
};

/// References to the process's settings, clocks and connections.
class GatewayContext
{
public:
  /// All pointees outlive the context.
  struct Parts
  {
    const GatewaySettings* settings_ = nullptr;
    const Platform* platform_ = nullptr;
    HttpClient* client_ = nullptr;
    LoopTimers* timers_ = nullptr;
    Store* store_ = nullptr;
    const Clock* clock_ = nullptr;
    const Clock* leaseClock_ = nullptr;
    const Clock* wallClock_ = nullptr;
    Metrics* metrics_ = nullptr;
    RelayPlan* relays_ = nullptr;
    PeerCalls* peers_ = nullptr;
    std::string incarnation_;
  };

  explicit GatewayContext(Parts aParts)
    : parts_(std::move(aParts))
  {
  }

  [[nodiscard]] const GatewaySettings& Settings() const noexcept
  {
    return *parts_.settings_;
  }
  [[nodiscard]] const Platform& Formats() const noexcept
  {
    return *parts_.platform_;
  }
  [[nodiscard]] HttpClient& Client() const noexcept { return *parts_.client_; }
  [[nodiscard]] LoopTimers& Timers() const noexcept { return *parts_.timers_; }
  [[nodiscard]] Store& PlatformStore() const noexcept { return *parts_.store_; }
  [[nodiscard]] TimePoint Now() const noexcept { return parts_.clock_->Now(); }
  /// Advances while the machine is suspended.
  [[nodiscard]] const Clock& LeaseClock() const noexcept
  {
    return *parts_.leaseClock_;
  }
  /// @returns the time of day since the Unix epoch
  [[nodiscard]] Duration WallTime() const noexcept
  {
    return parts_.wallClock_->Now() - TimePoint{};
  }
  /// @returns the time of day in milliseconds since the Unix epoch, the format
  /// of times in stored records
  [[nodiscard]] std::int64_t WallMillis() const noexcept
  {
    return WholeMillis(WallTime());
  }
  [[nodiscard]] Metrics& Measures() const noexcept { return *parts_.metrics_; }
  /// Assigns the processes that watch the store on behalf of others.
  [[nodiscard]] RelayPlan& Relays() const noexcept { return *parts_.relays_; }
  [[nodiscard]] PeerCalls& Peers() const noexcept { return *parts_.peers_; }
  /// Identifies this run of the process.
  [[nodiscard]] const std::string& Incarnation() const noexcept
  {
    return parts_.incarnation_;
  }

private:
  Parts parts_;
};

} // namespace marjoramtally
