/// Tells crashes of upstreams from broken connections, and holds them against
/// the requests that were there.
///
/// A connection breaks for many reasons. A crash is believed only where the
/// upstream's registration ended as well, without notice, after the break and
/// without a sign of life in between. An upstream that comes back as the same
/// incarnation had not crashed; then nothing is held against anybody.
#pragma once

#include "marjoramtally/process/quarantine.hpp"
#include "marjoramtally/process/upstream_board.hpp"

#include <deque>

namespace marjoramtally {

/// What counts as a crash.
struct CrashWatchOptions
{
  /// A request that crashes its upstream does so as it begins; one that had
  /// been sent longer ago than this did not do it.
  Duration maxRunBeforeCrash_ = std::chrono::seconds(5);
  /// A registration ends this long after its upstream at the latest: three
  /// heartbeats of 1.2 s, and up to 1.7 s on the way through a relay.
  Duration maxRegistrationLag_ = std::chrono::seconds(6);
  /// Connections that a crash breaks are seen to break within this time.
  Duration breakSpread_ = std::chrono::seconds(1);
  /// A registration that is renewed so long after a break was renewed by a
  /// living upstream: the way through a relay takes 1.7 s at most.
  Duration minRenewalLag_ = std::chrono::seconds(2);
  /// Registrations that lapsed with the store come back within two seconds of
  /// the store's return; ends of registrations are remembered for this long.
  Duration endedRetention_ = std::chrono::seconds(60);
  /// Most breaks remembered; the oldest go first.
  std::size_t maxBreaks_ = 512;
  /// Innocents that were twice with the culprit are not refused with it; a
  /// third crash decides. Reports of one crash by all instances come within
  /// the settling time, a call between zones taking some tens of ms.
  QuarantineOptions quarantine_{ .crashesInCommon_ = 3,
                                 .settlingTime_ =
                                   std::chrono::milliseconds(300) };
};

/// Crashes as one instance sees them. Not thread-safe.
class CrashWatch
{
public:
  using Updates = std::vector<SuspicionUpdate>;

  explicit CrashWatch(CrashWatchOptions aOptions = {})
    : options_(aOptions)
    , quarantine_(aOptions.quarantine_)
  {
  }

  // Calls to upstreams.
  /// @returns whether a request may run
  [[nodiscard]] QuarantineVerdict Judge(Fingerprint aFingerprint,
                                        TimePoint aNow)
  {
    return quarantine_.Judge(aFingerprint, aNow);
  }
  /// @returns upstreams where another request that may be a culprit is in
  /// progress, if this one may be a culprit
  [[nodiscard]] std::vector<UpstreamId> UpstreamsToAvoid(
    Fingerprint aFingerprint) const;
  void OnSent(const UpstreamId& aUpstream,
              Fingerprint aFingerprint,
              TimePoint aNow);
  /// A whole answer came: the request is cleared.
  /// @returns what to tell other instances
  [[nodiscard]] Updates OnCompleted(const UpstreamId& aUpstream,
                                    Fingerprint aFingerprint);
  /// The connection broke after bytes were sent.
  void OnBroken(const UpstreamId& aUpstream,
                Fingerprint aFingerprint,
                TimePoint aNow);
  /// The call ended otherwise.
  void OnEnded(const UpstreamId& aUpstream, Fingerprint aFingerprint);

  // Registrations of upstreams.
  /// An upstream wrote its entry, and lived as it did.
  /// @returns what to tell other instances
  [[nodiscard]] Updates OnEntry(const UpstreamEntry& aEntry, TimePoint aNow);
  /// @returns what to tell other instances
  [[nodiscard]] Updates OnVanished(const UpstreamId& aUpstream, TimePoint aNow);
  /// The whole list was read; what is not in it has vanished.
  /// @returns what to tell other instances
  [[nodiscard]] Updates OnList(const std::vector<UpstreamEntry>& aEntries,
                               TimePoint aNow);

  // Other instances.
  /// @returns what is known here of the request of the update
  [[nodiscard]] Updates OnUpdate(const SuspicionUpdate& aUpdate,
                                 TimePoint aNow);
  [[nodiscard]] Updates KnownSuspicion(Fingerprint aFingerprint,
                                       TimePoint aNow) const
  {
    return quarantine_.KnownSuspicion(aFingerprint, aNow);
  }
  [[nodiscard]] std::size_t Refused(TimePoint aNow) const
  {
    return quarantine_.Refused(aNow);
  }
  /// @returns breaks that wait for the end of a registration
  [[nodiscard]] std::size_t Breaks() const noexcept { return breaks_.size(); }

private:
  struct Registration
  {
    UpstreamStart start_;
    bool leaving_ = false;
  };
  struct Ended
  {
    UpstreamStart start_;
    TimePoint endedAt_;
  };
  struct Break
  {
    UpstreamId upstream_;
    Fingerprint fingerprint_;
    /// When the call was sent.
    TimePoint sentAt_;
    TimePoint brokenAt_;
  };
  using Running = std::multimap<Fingerprint, TimePoint>;

  [[nodiscard]] bool IsSuspect(Fingerprint aFingerprint) const;
  /// Ends the oldest call.
  /// @returns when it was sent
  std::optional<TimePoint> EndCall(const UpstreamId& aUpstream,
                                   Fingerprint aFingerprint);
  [[nodiscard]] Updates Register(const UpstreamEntry& aEntry, TimePoint aNow);
  /// The upstream's incarnation has crashed.
  [[nodiscard]] Updates AttributeCrash(const UpstreamId& aUpstream,
                                       TimePoint aNow);
  void DropOldBreaks(TimePoint aNow);
  void ForgetBreaks(const UpstreamId& aUpstream, TimePoint aBefore);

  CrashWatchOptions options_;
  Quarantine quarantine_;
  /// In the order of their times.
  std::deque<Break> breaks_;
  std::map<UpstreamId, Running> running_;
  std::map<UpstreamId, Registration> registered_;
  std::map<UpstreamId, Ended> ended_;
};

} // namespace marjoramtally
