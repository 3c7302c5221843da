/// Simulates several gateways with connection resets, announced departures and
/// crashes of other causes, and one request that crashes each upstream that
/// runs it. Guards against refusing innocent requests, and against running the
/// culprit after the gateways have exchanged reports of its crashes.

#include "marjoramtally/process.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <utility>

using namespace marjoramtally;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kGateways = 4;
constexpr std::size_t kSlots = 6;
constexpr auto kRound = 20ms;
/// Time after which all gateways must know of a crash.
constexpr auto kNotificationTime = 3s;
const Fingerprint kCulprit{ 1 };

struct FleetResult
{
  int crashes_ = 0;
  /// Runs of the culprit later than `kNotificationTime` after its third crash.
  int late_ = 0;
  int innocentsRefused_ = 0;
  int answered_ = 0;
};

class SimulatedFleet
{
public:
  SimulatedFleet(std::uint64_t aSeed, std::size_t aServers)
    : random_(aSeed)
    , servers_(aServers)
  {
    clock_.Advance(1h);
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      Boot(i);
    }
  }

  FleetResult Run()
  {
    for (int round = 0; round < 3000; ++round) {
      clock_.Advance(kRound);
      RunDueEvents();
      Arrive(round);
      Serve();
      InjectFaults(round);
    }
    return result_;
  }

private:
  struct Call
  {
    Fingerprint request_;
    std::size_t gateway_ = 0;
    int triesLeft_ = 0;
    TimePoint due_;
  };
  struct Server
  {
    UpstreamId id_;
    bool alive_ = false;
    bool leaving_ = false;
    std::vector<Call> calls_;
  };

  void Schedule(Duration aWait, std::function<void()> aAction)
  {
    events_.emplace(clock_.Now() + aWait, std::move(aAction));
  }

  void RunDueEvents()
  {
    while (!events_.empty() && events_.begin()->first <= clock_.Now()) {
      const auto action = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      action();
    }
  }

  void Boot(std::size_t aIndex)
  {
    Server& server = servers_.at(aIndex);
    server = { UpstreamId{ "u" + std::to_string(++lastId_) }, true, false, {} };
    Announce(server);
  }

  void Announce(const Server& aServer)
  {
    UpstreamEntry entry;
    entry.id_ = aServer.id_;
    entry.draining_ = aServer.leaving_;
    for (std::size_t g = 0; g < kGateways; ++g) {
      Notify(g, gateways_.at(g).OnEntry(entry, clock_.Now()));
    }
  }

  void Notify(std::size_t aFrom, const CrashWatch::Updates& aUpdates)
  {
    for (const SuspicionUpdate& update : aUpdates) {
      for (std::size_t g = 0; g < kGateways; ++g) {
        if (g != aFrom) {
          Schedule(20ms + std::chrono::milliseconds(random_.Below(60)),
                   [this, g, update] {
                     static_cast<void>(
                       gateways_.at(g).OnUpdate(update, clock_.Now()));
                   });
        }
      }
    }
  }

  /// Ends the registration of a server; gateways observe it at different times.
  void EndRegistration(const UpstreamId& aId, Duration aWait)
  {
    for (std::size_t g = 0; g < kGateways; ++g) {
      Schedule(aWait + std::chrono::milliseconds(random_.Below(200)),
               [this, g, aId] {
                 Notify(g, gateways_.at(g).OnVanished(aId, clock_.Now()));
               });
    }
  }

  void Break(const UpstreamId& aId, const Call& aCall)
  {
    Notify(
      aCall.gateway_,
      gateways_.at(aCall.gateway_).OnBroken(aId, aCall.request_, clock_.Now()));
    if (aCall.triesLeft_ > 0) {
      Send(aCall.request_, aCall.gateway_, aCall.triesLeft_ - 1);
    } else if (aCall.request_ != kCulprit) {
      // The caller sends it again.
      Schedule(100ms, [this, request = aCall.request_] {
        Send(request, random_.Below(kGateways), 2);
      });
    }
  }

  void BreakAll(Server& aServer)
  {
    const std::vector<Call> calls = std::exchange(aServer.calls_, {});
    for (const Call& call : calls) {
      Break(aServer.id_, call);
    }
  }

  void Crash(std::size_t aIndex)
  {
    Server& server = servers_.at(aIndex);
    server.alive_ = false;
    EndRegistration(server.id_,
                    2400ms + std::chrono::milliseconds(random_.Below(1200)));
    BreakAll(server);
    Schedule(5s, [this, aIndex] { Boot(aIndex); });
  }

  void Leave(std::size_t aIndex)
  {
    Server& server = servers_.at(aIndex);
    if (!server.alive_ || server.leaving_) {
      return;
    }
    server.leaving_ = true;
    Announce(server);
    Schedule(2s, [this, aIndex] {
      Server& gone = servers_.at(aIndex);
      if (gone.alive_ && gone.leaving_) {
        gone.alive_ = false;
        EndRegistration(gone.id_, 50ms);
        BreakAll(gone);
        Schedule(1s, [this, aIndex] { Boot(aIndex); });
      }
    });
  }

  void Send(Fingerprint aRequest, std::size_t aGateway, int aTries)
  {
    CrashWatch& watch = gateways_.at(aGateway);
    if (watch.Judge(aRequest, clock_.Now()).refused_) {
      result_.innocentsRefused_ += aRequest != kCulprit ? 1 : 0;
      return;
    }
    const auto avoid = watch.UpstreamsToAvoid(aRequest);
    Server* best = nullptr;
    for (const bool apart : { true, false }) {
      for (Server& server : servers_) {
        const bool avoided =
          std::find(avoid.begin(), avoid.end(), server.id_) != avoid.end();
        if (server.alive_ && !server.leaving_ && !(apart && avoided) &&
            server.calls_.size() < kSlots &&
            (best == nullptr || server.calls_.size() < best->calls_.size())) {
          best = &server;
        }
      }
      if (best != nullptr) {
        break;
      }
    }
    if (best == nullptr) {
      if (aRequest != kCulprit) {
        Schedule(100ms,
                 [this, aRequest, aGateway] { Send(aRequest, aGateway, 2); });
      }
      return;
    }
    watch.OnSent(best->id_, aRequest, clock_.Now());
    const auto work = std::chrono::milliseconds(
      aRequest == kCulprit ? 20 : 40 + random_.Below(400));
    best->calls_.push_back({ aRequest, aGateway, aTries, clock_.Now() + work });
  }

  void Arrive(int aRound)
  {
    for (int i = 0; i < 2; ++i) {
      Send(Fingerprint{ ++lastRequest_ }, random_.Below(kGateways), 2);
    }
    if (aRound % 25 == 0) {
      Send(
        kCulprit, random_.Below(kGateways), static_cast<int>(random_.Below(2)));
    }
  }

  void Serve()
  {
    for (std::size_t index = 0; index < servers_.size(); ++index) {
      Server& server = servers_.at(index);
      const auto due = [&](const Call& aCall) {
        return aCall.due_ <= clock_.Now();
      };
      const bool dies = std::any_of(
        server.calls_.begin(), server.calls_.end(), [&](const Call& aCall) {
          return aCall.request_ == kCulprit && due(aCall);
        });
      if (dies) {
        result_.late_ +=
          result_.crashes_ >= 3 &&
              clock_.Now() - thirdCrashAt_ > Duration{ kNotificationTime }
            ? 1
            : 0;
        thirdCrashAt_ = ++result_.crashes_ == 3 ? clock_.Now() : thirdCrashAt_;
        Crash(index);
        continue;
      }
      std::vector<Call> done;
      std::copy_if(server.calls_.begin(),
                   server.calls_.end(),
                   std::back_inserter(done),
                   due);
      std::erase_if(server.calls_, due);
      for (const Call& call : done) {
        ++result_.answered_;
        Notify(call.gateway_,
               gateways_.at(call.gateway_)
                 .OnCompleted(server.id_, call.request_, clock_.Now()));
      }
    }
  }

  void InjectFaults(int aRound)
  {
    Server& server = servers_.at(random_.Below(servers_.size()));
    if (aRound % 50 == 10) {
      // All connections of one upstream are reset.
      BreakAll(server);
    }
    if (aRound % 70 == 20) {
      // All connections of one gateway are reset.
      const std::size_t gateway = random_.Below(kGateways);
      for (Server& each : servers_) {
        std::vector<Call> lost;
        const auto ours = [&](const Call& aCall) {
          return aCall.gateway_ == gateway;
        };
        std::copy_if(each.calls_.begin(),
                     each.calls_.end(),
                     std::back_inserter(lost),
                     ours);
        std::erase_if(each.calls_, ours);
        for (const Call& call : lost) {
          Break(each.id_, call);
        }
      }
    }
    if (aRound % 300 == 150 && server.alive_) {
      Crash(static_cast<std::size_t>(&server - servers_.data()));
    }
    if (aRound % 400 == 250) {
      Leave(random_.Below(servers_.size()));
    }
  }

  Random random_;
  ManualClock clock_;
  std::array<CrashWatch, kGateways> gateways_;
  std::vector<Server> servers_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::uint64_t lastRequest_ = 1;
  int lastId_ = 0;
  TimePoint thirdCrashAt_;
  FleetResult result_;
};

} // namespace

TEST_CASE("several gateways refuse the culprit and no other request")
{
  for (const std::size_t upstreams : { 9U, 24U }) {
    int crashes = 0;
    int late = 0;
    int answered = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      const FleetResult result = SimulatedFleet(seed, upstreams).Run();
      INFO("seed " << seed << ", " << upstreams << " upstreams, "
                   << result.crashes_ << " crashes");
      CHECK(result.innocentsRefused_ == 0);
      CHECK(result.late_ <= 3);
      CHECK(result.crashes_ >= 2);
      crashes += result.crashes_;
      late += result.late_;
      answered += result.answered_;
    }
    WARN("40 simulated runs of " << upstreams << " upstreams: " << crashes
                                 << " crashes by the culprit, " << late
                                 << " late ones; " << answered << " answers");
  }
}
