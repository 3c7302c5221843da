/// A seeded simulation of several gateways before one small service, whose
/// upstreams one request crashes each time they run it.
#pragma once

#include "gateway_fixture.hpp"
#include "marjoramtally/base/random.hpp"

#include <functional>
#include <set>

namespace marjoramtally::test {

/// The shape of a simulated fleet.
struct CrashFleetOptions
{
  std::size_t gateways_ = 9;
  std::size_t upstreams_ = 4;
  /// Lookups a second, by all gateways together.
  double lookupsPerSecond_ = 6;
  /// Scoring calls of one gateway, sent in bursts, that go to the same service.
  std::size_t scoresPerBurst_ = 100;
  /// Whether scoring calls are exempt from the quarantine, as those of gateways
  /// are. Otherwise they stand for any request that is often repeated.
  bool trustedScores_ = true;
};

/// What one simulation showed.
struct CrashFleetResult
{
  int crashes_ = 0;
  /// Arrivals of the crashing request at an upstream that is up, later than the
  /// notification time after its third crash.
  int late_ = 0;
  /// Other requests that were refused as if they crashed upstreams.
  int othersRefused_ = 0;
  /// Refusals of other requests for a moment only.
  int othersHeldBack_ = 0;
  int answered_ = 0;
};

/// Runs forwarders with their quarantines; upstreams, their registrations and
/// the callers are simulated.
class CrashSimulation
{
public:
  CrashSimulation(std::uint64_t aSeed, CrashFleetOptions aOptions);

  [[nodiscard]] CrashFleetResult Run();

private:
  /// A gateway's forwarder and what it refers to.
  struct Gateway
  {
    Gateway(CrashSimulation& aSimulation, std::size_t aIndex);

    std::string name_;
    FakeClient client_;
    LinkedPeers peers_;
    RelayPlan relays_;
    Metrics metrics_;
    GatewayContext host_;
    UpstreamTable upstreams_;
    Forwarder forwarder_;
  };

  /// A call as its upstream sees it.
  struct Arrival
  {
    std::size_t gateway_ = 0;
    HttpCallId call_ = 0;
    Duration work_{ 0 };
    bool crashing_ = false;
    /// When it started to run; `kNever` while it waits for a slot.
    TimePoint startedAt_ = kNever;
  };

  struct Upstream
  {
    UpstreamId id_;
    bool up_ = false;
    std::vector<Arrival> arrivals_;
  };

  /// A request as its caller sees it.
  struct Request
  {
    std::string body_;
    std::uint32_t maxAttempts_ = 2;
    Duration objective_{ 0 };
    Duration limit_{ 0 };
    std::uint32_t retriesLeft_ = 1;
    Duration retryDelay_{ 0 };
  };

  void StartUpstream(std::size_t aIndex);
  /// Tells all gateways of registrations that changed.
  void DeliverChanges();
  void CrashUpstream(std::size_t aIndex);
  void Send(const Request& aRequest, std::size_t aGateway);
  void SendCrashing();
  void SendLookup();
  void SendScores();
  /// Delivers new calls to their upstreams, or refuses the connection.
  void Deliver();
  void DropCancelled(Upstream& aUpstream);
  /// Runs what waits, ends what has run.
  void Serve(std::size_t aIndex);
  [[nodiscard]] const SentCall* Find(const Arrival& aArrival) const;
  [[nodiscard]] Duration RandomMillis(std::uint64_t aFrom, std::uint64_t aTo);
  [[nodiscard]] TimePoint Now() const { return fakes_.clock_.Now(); }

  CrashFleetOptions options_;
  Random random_;
  GatewayFakes fakes_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<Upstream> upstreams_;
  /// Changes of registrations that the next batch contains.
  std::vector<std::function<void(Gateway&)>> changes_;
  /// Calls that reached an upstream, by gateway.
  std::vector<std::set<HttpCallId>> delivered_;
  int starts_ = 0;
  int requests_ = 0;
  TimePoint startedAt_;
  TimePoint thirdCrashAt_ = kNever;
  CrashFleetResult result_;
};

} // namespace marjoramtally::test
