#include "crash_simulation.hpp"

#include <algorithm>

namespace marjoramtally::test {

using namespace std::chrono_literals;

namespace {

constexpr auto kStep = 2ms;
constexpr auto kDuration = 30s;
/// When the crashing request is sent first.
constexpr auto kFirstCrashing = 4s;
/// By this time after a crash all gateways must have been told of it.
constexpr auto kNotificationTime = 3s;
constexpr std::size_t kSlots = 6;
constexpr std::size_t kQueue = 24;
/// Time from the start of a crashing run to the crash.
constexpr std::uint64_t kMinCrashMillis = 60;
constexpr std::uint64_t kMaxCrashMillis = 120;
/// Time from a crash to the end of the registration.
constexpr std::uint64_t kMinLagMillis = 2600;
constexpr std::uint64_t kMaxLagMillis = 3200;
/// Gateways receive changes of registrations in batches at this interval.
constexpr auto kBatchInterval = 400ms;
/// Time from a crash to the start of the next incarnation.
constexpr std::uint64_t kMinRestartMillis = 3000;
constexpr std::uint64_t kMaxRestartMillis = 3500;
constexpr auto kCrashingBody = "crashing";
constexpr std::string_view kScorePrefix = "score";

const ServiceId kService{ "svc" };

std::string
AddressOf(std::size_t aGateway)
{
  return "g" + std::to_string(aGateway) + ":1";
}

/// @returns the upstream that a call is meant for, which its address names
std::string
TargetOf(const SentCall& aCall)
{
  const std::string& url = aCall.call_.url_;
  return url.substr(7, url.find(':', 7) - 7);
}

} // namespace

CrashSimulation::Gateway::Gateway(CrashSimulation& aSimulation,
                                  std::size_t aIndex)
  : name_("g" + std::to_string(aIndex))
  , relays_(name_ + "~1")
  , host_({ &aSimulation.fakes_.settings_,
            aSimulation.fakes_.platform_.get(),
            &client_,
            &aSimulation.fakes_.timers_,
            &aSimulation.fakes_.store_,
            &aSimulation.fakes_.clock_,
            &aSimulation.fakes_.clock_,
            &aSimulation.fakes_.clock_,
            &metrics_,
            &relays_,
            &peers_,
            name_ + "~1" })
  , upstreams_(ZoneId{ "z" + std::to_string(aIndex % 4) },
               SelectionPolicy{},
               name_)
  , forwarder_(host_, upstreams_)
{
}

CrashSimulation::CrashSimulation(std::uint64_t aSeed,
                                 CrashFleetOptions aOptions)
  : options_(aOptions)
  , random_(aSeed)
  , upstreams_(aOptions.upstreams_)
  , delivered_(aOptions.gateways_)
{
  for (std::size_t i = 0; i < options_.gateways_; ++i) {
    gateways_.push_back(std::make_unique<Gateway>(*this, i));
  }
  for (std::size_t i = 0; i < options_.gateways_; ++i) {
    for (std::size_t j = 0; j < options_.gateways_; ++j) {
      if (i != j) {
        gateways_[i]->peers_.others_[AddressOf(j)] = &gateways_[j]->peers_;
        gateways_[i]->relays_.OnAlive(gateways_[j]->name_ + "~1",
                                      { ZoneId{ "z" }, AddressOf(j) });
      }
    }
  }
  startedAt_ = Now();
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    StartUpstream(i);
  }
}

Duration
CrashSimulation::RandomMillis(std::uint64_t aFrom, std::uint64_t aTo)
{
  return std::chrono::milliseconds(aFrom + random_.Below(aTo - aFrom + 1));
}

void
CrashSimulation::StartUpstream(std::size_t aIndex)
{
  Upstream& upstream = upstreams_[aIndex];
  upstream.id_ = UpstreamId{ "u" + std::to_string(++starts_) };
  upstream.up_ = true;
  UpstreamEntry entry;
  entry.id_ = upstream.id_;
  entry.service_ = kService;
  entry.address_ = upstream.id_.Get() + ":1";
  entry.zone_ = ZoneId{ "z" + std::to_string(aIndex % 4) };
  entry.slots_ = kSlots;
  changes_.push_back([entry](Gateway& aGateway) {
    aGateway.upstreams_.OnEntry(entry);
    aGateway.forwarder_.Quarantine().OnEntry(entry);
  });
}

void
CrashSimulation::DeliverChanges()
{
  for (const auto& change : std::exchange(changes_, {})) {
    for (auto& gateway : gateways_) {
      change(*gateway);
    }
  }
  fakes_.timers_.After(kBatchInterval, [this] { DeliverChanges(); });
}

void
CrashSimulation::CrashUpstream(std::size_t aIndex)
{
  Upstream& upstream = upstreams_[aIndex];
  upstream.up_ = false;
  ++result_.crashes_;
  if (result_.crashes_ == 3) {
    thirdCrashAt_ = Now();
  }
  const UpstreamId id = upstream.id_;
  fakes_.timers_.After(RandomMillis(kMinLagMillis, kMaxLagMillis), [this, id] {
    changes_.push_back([this, id](Gateway& aGateway) {
      aGateway.upstreams_.OnRemoved(id, Now());
      aGateway.forwarder_.Quarantine().OnVanished(id);
    });
  });
  fakes_.timers_.After(RandomMillis(kMinRestartMillis, kMaxRestartMillis),
                       [this, aIndex] { StartUpstream(aIndex); });
  for (const Arrival& arrival : std::exchange(upstream.arrivals_, {})) {
    if (const SentCall* call = Find(arrival)) {
      gateways_[arrival.gateway_]->client_.Fail(*call, HttpEnd::Broken);
    }
  }
}

void
CrashSimulation::Send(const Request& aRequest, std::size_t aGateway)
{
  ForwardRequest request;
  request.attempt_ = "r" + std::to_string(++requests_);
  request.method_ = "POST";
  request.target_ = "/p/" + aRequest.body_;
  request.headers_ = {
    { "Host", "h" }, { fakes_.platform_->Names().attempt_, request.attempt_ }
  };
  request.body_ = aRequest.body_;
  request.service_ = kService;
  request.maxAttempts_ = aRequest.maxAttempts_;
  request.limit_ = aRequest.limit_;
  request.objective_ = aRequest.objective_;
  request.trusted_ =
    options_.trustedScores_ && aRequest.body_.starts_with(kScorePrefix);
  gateways_[aGateway]->forwarder_.Start(
    std::move(request), [this, aRequest, aGateway](ForwardOutcome aOutcome) {
      Request again = aRequest;
      const bool scoring = aRequest.retriesLeft_ > 1;
      if (aOutcome.answered_ && aOutcome.response_.status_ == 200) {
        ++result_.answered_;
        return;
      }
      const std::string& why = aOutcome.response_.body_;
      if (again.body_ != kCrashingBody) {
        result_.othersRefused_ += why.find("quarantined") != std::string::npos;
        result_.othersHeldBack_ +=
          why.find("held back") != std::string::npos ||
          why.find("might crash one more") != std::string::npos;
      }
      if (again.retriesLeft_-- == 0) {
        return;
      }
      const std::size_t at =
        scoring ? aGateway : random_.Below(options_.gateways_);
      // Callers wait only after a refusal.
      const Duration delay =
        scoring || aOutcome.notRun_ ? again.retryDelay_ : Duration{ 1000 };
      fakes_.timers_.After(delay, [this, again, at] { Send(again, at); });
    });
}

void
CrashSimulation::SendCrashing()
{
  Send({ kCrashingBody, 2, 150ms, 1500ms, 1, 200ms },
       random_.Below(options_.gateways_));
  fakes_.timers_.After(RandomMillis(300, 1500), [this] { SendCrashing(); });
}

void
CrashSimulation::SendLookup()
{
  Send({ "lookup" + std::to_string(requests_), 2, 150ms, 1500ms, 1, 200ms },
       random_.Below(options_.gateways_));
  const auto pause =
    static_cast<std::uint64_t>(2000.0 / options_.lookupsPerSecond_);
  fakes_.timers_.After(RandomMillis(1, pause), [this] { SendLookup(); });
}

/// The texts of a trainer's step end within a second or two of each other.
void
CrashSimulation::SendScores()
{
  constexpr std::uint32_t kManyRetries = 200;
  const std::size_t gateway = random_.Below(options_.gateways_);
  for (std::size_t i = 0; i < options_.scoresPerBurst_; ++i) {
    const std::string body = std::string(kScorePrefix) +
                             std::to_string(requests_) + "-" +
                             std::to_string(i);
    fakes_.timers_.After(RandomMillis(1, 2000), [this, body, gateway] {
      Send({ body, 4, 400ms, 2000ms, kManyRetries, 150ms }, gateway);
    });
  }
  fakes_.timers_.After(RandomMillis(2500, 4500), [this] { SendScores(); });
}

const SentCall*
CrashSimulation::Find(const Arrival& aArrival) const
{
  const auto& open = gateways_[aArrival.gateway_]->client_.open_;
  const auto it =
    std::find_if(open.begin(), open.end(), [&](const SentCall& aCall) {
      return aCall.id_ == aArrival.call_;
    });
  return it == open.end() ? nullptr : &*it;
}

void
CrashSimulation::Deliver()
{
  for (std::size_t g = 0; g < gateways_.size(); ++g) {
    FakeClient& client = gateways_[g]->client_;
    std::vector<SentCall> fresh;
    for (const SentCall& call : client.open_) {
      if (delivered_[g].insert(call.id_).second) {
        fresh.push_back(call);
      }
    }
    for (const SentCall& call : fresh) {
      const std::string target = TargetOf(call);
      const auto upstream = std::find_if(
        upstreams_.begin(), upstreams_.end(), [&](const Upstream& aUpstream) {
          return aUpstream.up_ && aUpstream.id_.Get() == target;
        });
      if (upstream == upstreams_.end()) {
        client.Fail(call, HttpEnd::NotSent);
        continue;
      }
      const bool crashing = call.call_.body_ == kCrashingBody;
      result_.late_ += crashing && thirdCrashAt_ != kNever &&
                           Now() - thirdCrashAt_ > Duration{ kNotificationTime }
                         ? 1
                         : 0;
      if (upstream->arrivals_.size() >= kSlots + kQueue) {
        client.Answer(call, fakes_.NotRun(call, 503));
        continue;
      }
      const bool scoring = call.call_.body_.Get().starts_with(kScorePrefix);
      const Duration work = crashing
                              ? RandomMillis(kMinCrashMillis, kMaxCrashMillis)
                            : scoring ? RandomMillis(40, 140)
                                      : RandomMillis(10, 50);
      upstream->arrivals_.push_back({ g, call.id_, work, crashing });
    }
  }
}

void
CrashSimulation::DropCancelled(Upstream& aUpstream)
{
  std::erase_if(aUpstream.arrivals_, [&](const Arrival& aArrival) {
    // Nothing stops a crash once the run has started.
    const bool doomed = aArrival.crashing_ && aArrival.startedAt_ != kNever;
    return !doomed && Find(aArrival) == nullptr;
  });
}

void
CrashSimulation::Serve(std::size_t aIndex)
{
  Upstream& upstream = upstreams_[aIndex];
  if (!upstream.up_) {
    return;
  }
  DropCancelled(upstream);
  for (std::size_t i = 0; i < std::min(kSlots, upstream.arrivals_.size());
       ++i) {
    Arrival& arrival = upstream.arrivals_[i];
    arrival.startedAt_ = std::min(arrival.startedAt_, Now());
  }
  const auto due = [&](const Arrival& aArrival) {
    return aArrival.startedAt_ != kNever &&
           Now() - aArrival.startedAt_ >= aArrival.work_;
  };
  std::vector<Arrival> ended;
  std::copy_if(upstream.arrivals_.begin(),
               upstream.arrivals_.end(),
               std::back_inserter(ended),
               due);
  if (std::any_of(ended.begin(), ended.end(), [](const Arrival& aArrival) {
        return aArrival.crashing_;
      })) {
    CrashUpstream(aIndex);
    return;
  }
  std::erase_if(upstream.arrivals_, due);
  for (const Arrival& arrival : ended) {
    const SentCall* open = Find(arrival);
    if (open != nullptr) {
      const SentCall call = *open;
      gateways_[arrival.gateway_]->client_.Answer(
        call, fakes_.Answer(call, 200, "ok"));
    }
  }
}

CrashFleetResult
CrashSimulation::Run()
{
  DeliverChanges();
  SendLookup();
  if (options_.scoresPerBurst_ > 0) {
    SendScores();
  }
  fakes_.timers_.After(kFirstCrashing, [this] { SendCrashing(); });
  while (Now() - startedAt_ < Duration{ kDuration }) {
    Deliver();
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      Serve(i);
    }
    fakes_.timers_.Advance(kStep);
  }
  return result_;
}

} // namespace marjoramtally::test
