#include "programs/gatewayd/request_quarantine.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace marjoramtally {

namespace {

/// Timeout of one call; between zones it takes some tens of milliseconds.
constexpr auto kUpdateTimeout = std::chrono::milliseconds(500);
/// Delay before an update is sent again to a gateway that did not answer. A
/// gateway that stays unreachable for all tries receives the suspicion in the
/// answer to its own report of the request.
constexpr auto kUpdateRetryDelay = std::chrono::seconds(1);
constexpr std::uint32_t kMaxUpdateTries = 4;

std::string
UpstreamNames(const SuspicionUpdate& aUpdate)
{
  std::string names;
  for (const CrashReport& crash : aUpdate.crashes_) {
    names += (names.empty() ? "" : ",") + crash.upstream_.Get();
  }
  return names;
}

} // namespace

CallEnd
CallEndOf(HttpEnd aEnd) noexcept
{
  switch (aEnd) {
    case HttpEnd::Complete:
    case HttpEnd::NotSent:
      return CallEnd::Other;
    case HttpEnd::Broken:
      return CallEnd::Broken;
    case HttpEnd::TimedOut:
    case HttpEnd::Cancelled:
      return CallEnd::Abandoned;
  }
  return CallEnd::Other;
}

Fingerprint
FingerprintOf(std::string_view aMethod,
              std::string_view aHost,
              std::string_view aTarget,
              std::string_view aBody) noexcept
{
  return MakeFingerprint(
    { aMethod, aHost.substr(0, aHost.find(':')), aTarget, aBody });
}

std::string
Hex(Fingerprint aFingerprint)
{
  return fmt::format("{:016x}", aFingerprint.Get());
}

RequestQuarantine::RequestQuarantine(GatewayContext& aHost)
  : host_(aHost)
{
  host_.Peers().Serve(RpcTopic::Suspicion,
                      [this](const RpcCall& aCall, const RpcDone& aDone) {
                        OnUpdates(aCall, aDone);
                      });
}

QuarantineVerdict
RequestQuarantine::Judge(Fingerprint aFingerprint)
{
  QuarantineVerdict verdict = watch_.Judge(aFingerprint, host_.Now());
  if (verdict.heldBack_) {
    host_.Measures().Count("suspects_held_back_total");
  } else if (verdict.refused_) {
    host_.Measures().Count("quarantine_refusals_total");
    LogRefusal(aFingerprint, verdict);
  } else if (verdict.sparedFor_) {
    LogSpared(aFingerprint, *verdict.sparedFor_);
  }
  return verdict;
}

void
RequestQuarantine::LogSpared(Fingerprint aFingerprint,
                             const CoSuspect& aCoSuspect)
{
  const TimePoint now = host_.Now();
  std::erase_if(loggedSpared_, [&](const auto& aEntry) {
    return watch_.KnownSuspicion(aEntry.first, now).empty();
  });
  for (const SuspicionUpdate& known :
       watch_.KnownSuspicion(aFingerprint, now)) {
    std::size_t& logged = loggedSpared_[aFingerprint];
    if (std::exchange(logged, known.crashes_.size()) < known.crashes_.size()) {
      LogEvent(LogLevel::Warn,
               "suspect_spared",
               { { "fingerprint", Hex(aFingerprint) },
                 { "upstreams", UpstreamNames(known) },
                 { "other", Hex(aCoSuspect.fingerprint_) },
                 { "other_crashes", std::to_string(aCoSuspect.crashes_) } });
    }
  }
}

void
RequestQuarantine::LogDisproved()
{
  for (const DisprovedBreak& disproved : watch_.TakeDisproved()) {
    LogEvent(LogLevel::Info,
             "break_disproved",
             { { "fingerprint", Hex(disproved.fingerprint_) },
               { "upstream", disproved.upstream_.Get() } });
  }
}

CrashWatch::Updates
RequestQuarantine::Apply(const SuspicionUpdate& aUpdate)
{
  const TimePoint now = host_.Now();
  const auto countKnown = [](const CrashWatch::Updates& aKnown) {
    return aKnown.empty() ? 0 : aKnown.front().crashes_.size();
  };
  const std::size_t before =
    countKnown(watch_.KnownSuspicion(aUpdate.fingerprint_, now));
  CrashWatch::Updates known = watch_.OnUpdate(aUpdate, now);
  if (countKnown(known) > before) {
    LogEvent(LogLevel::Warn,
             "suspect_told",
             { { "fingerprint", Hex(aUpdate.fingerprint_) },
               { "upstreams", UpstreamNames(known.front()) } });
  }
  return known;
}

void
RequestQuarantine::LogRefusal(Fingerprint aFingerprint,
                              const QuarantineVerdict& aVerdict)
{
  const TimePoint now = host_.Now();
  std::erase_if(loggedUntil_,
                [&](const auto& aEntry) { return aEntry.second <= now; });
  if (!loggedUntil_.try_emplace(aFingerprint, now + aVerdict.retryAfter_)
         .second) {
    return;
  }
  for (const SuspicionUpdate& known :
       watch_.KnownSuspicion(aFingerprint, now)) {
    LogEvent(LogLevel::Warn,
             "quarantined",
             { { "fingerprint", Hex(aFingerprint) },
               { "crashes", std::to_string(known.crashes_.size()) },
               { "upstreams", UpstreamNames(known) },
               { "for_ms", std::to_string(WholeMillis(known.refusedFor_)) } });
  }
  host_.Measures().Set("requests_quarantined",
                       static_cast<double>(watch_.Refused(now)));
}

void
RequestQuarantine::OnEnd(Fingerprint aFingerprint,
                         const UpstreamId& aUpstream,
                         CallEnd aEnd)
{
  if (aEnd == CallEnd::Answered) {
    Publish(watch_.OnCompleted(aUpstream, aFingerprint, host_.Now()));
  } else if (aEnd == CallEnd::Broken) {
    Publish(watch_.OnBroken(aUpstream, aFingerprint, host_.Now()));
  } else if (aEnd == CallEnd::Abandoned) {
    Publish(watch_.OnAbandoned(aUpstream, aFingerprint, host_.Now()));
  } else {
    watch_.OnEnded(aUpstream, aFingerprint);
  }
  LogDisproved();
}

void
RequestQuarantine::OnEntry(const UpstreamEntry& aEntry)
{
  Publish(watch_.OnEntry(aEntry, host_.Now()));
  LogDisproved();
}

void
RequestQuarantine::OnVanished(const UpstreamId& aUpstream)
{
  Publish(watch_.OnVanished(aUpstream, host_.Now()));
}

void
RequestQuarantine::OnList(const std::vector<UpstreamEntry>& aEntries)
{
  Publish(watch_.OnList(aEntries, host_.Now()));
  LogDisproved();
}

void
RequestQuarantine::Publish(const CrashWatch::Updates& aUpdates)
{
  if (aUpdates.empty()) {
    return;
  }
  for (const SuspicionUpdate& update : aUpdates) {
    LogEvent(LogLevel::Warn,
             update.cleared_ ? "suspect_cleared" : "suspect",
             { { "fingerprint", Hex(update.fingerprint_) },
               { "upstreams", UpstreamNames(update) } });
  }
  const std::string body = Encode(aUpdates);
  for (const std::string& address : host_.Relays().Peers()) {
    SendUpdates(address, body, kMaxUpdateTries);
  }
}

void
RequestQuarantine::SendUpdates(const std::string& aAddress,
                               const std::string& aBody,
                               std::uint32_t aTriesLeft)
{
  RpcCall call;
  call.topic_ = RpcTopic::Suspicion;
  call.timeout_ = kUpdateTimeout;
  call.body_ = aBody;
  host_.Peers().Call(
    aAddress,
    std::move(call),
    [this, aAddress, aBody, aTriesLeft](const RpcReply& aReply) {
      const auto known = aReply ? DecodeSuspicionUpdates(aReply.value())
                                : Result<CrashWatch::Updates>(aReply.error());
      if (known) {
        for (const SuspicionUpdate& update : known.value()) {
          static_cast<void>(Apply(update));
        }
        return;
      }
      LogEvent(LogLevel::Info,
               "suspicion_untold",
               { { "peer", aAddress },
                 { "tries_left", std::to_string(aTriesLeft - 1) },
                 { "error", known.error().message_ } });
      if (aTriesLeft > 1) {
        host_.Timers().After(kUpdateRetryDelay,
                             [this, aAddress, aBody, aTriesLeft] {
                               SendUpdates(aAddress, aBody, aTriesLeft - 1);
                             });
      }
    });
}

void
RequestQuarantine::OnUpdates(const RpcCall& aCall, const RpcDone& aDone)
{
  const auto updates = DecodeSuspicionUpdates(aCall.body_);
  if (!updates) {
    aDone(updates.error());
    return;
  }
  CrashWatch::Updates known;
  for (const SuspicionUpdate& update : updates.value()) {
    CrashWatch::Updates found = Apply(update);
    std::move(found.begin(), found.end(), std::back_inserter(known));
  }
  aDone(Encode(known));
}

} // namespace marjoramtally
