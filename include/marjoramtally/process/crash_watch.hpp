/// Distinguishes crashes of upstreams from broken connections and attributes
/// them to the requests in progress there.
///
/// A connection breaks for many reasons. A break counts as a crash only if the
/// upstream's registration ends after it without notice and with no heartbeat
/// in between. An upstream that registers again as the same incarnation did not
/// crash, and the suspicions that resulted are withdrawn.
#pragma once

#include "marjoramtally/process/quarantine.hpp"
#include "marjoramtally/process/upstream_table.hpp"

#include <deque>
#include <utility>

namespace marjoramtally {

/// Criteria of a crash.
struct CrashWatchOptions
{
  /// Maximum time from sending a request to a break that it can have caused. A
  /// request that crashes its upstream does so soon after it starts.
  Duration maxRunBeforeCrash_ = std::chrono::seconds(5);
  /// Maximum time from a crash to the end of the registration: three heartbeats
  /// of 1.2 s, plus up to 1.7 s of delay through a relay.
  Duration maxRegistrationLag_ = std::chrono::seconds(6);
  /// Maximum time between the first and last broken connection of one crash.
  Duration breakSpread_ = std::chrono::seconds(1);
  /// Maximum time for which an upstream runs a call that was abandoned.
  Duration maxAbandonedRun_ = std::chrono::seconds(1);
  /// Time after a break from which a renewal of the registration proves that
  /// the upstream is alive. An earlier renewal can have been sent before the
  /// break, because a relay delays it by up to 1.7 s.
  Duration minRenewalLag_ = std::chrono::seconds(2);
  /// Time for which ended registrations are kept. Registrations that expired
  /// because the store was down return within two seconds of its recovery.
  Duration endedRetention_ = std::chrono::seconds(60);
  /// Maximum number of breaks kept; the oldest are dropped.
  std::size_t maxBreaks_ = 512;
  /// Time after which a request that waits for another one on trial may come
  /// again; most requests are answered by then.
  Duration trialWait_ = std::chrono::milliseconds(200);
  /// Requests that shared two crashes run on trial, so that an innocent request
  /// is not refused with the culprit; the bound is for requests that nothing
  /// distinguishes. All instances report a crash within the settling time; a
  /// call between zones takes some tens of milliseconds.
  QuarantineOptions quarantine_{ .crashesInCommon_ = 5,
                                 .settlingTime_ =
                                   std::chrono::milliseconds(300) };
};

/// A break that no longer counts, because its upstream proved to be alive.
struct DisprovedBreak
{
  UpstreamId upstream_;
  Fingerprint fingerprint_;
};

/// The crashes that one instance observes. Not thread-safe.
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
  /// @returns whether a request may run; one on trial must wait while another
  /// one is
  [[nodiscard]] QuarantineVerdict Judge(Fingerprint aFingerprint,
                                        TimePoint aNow);
  /// @returns whether a request was in progress at a crash
  [[nodiscard]] bool WasAtCrash(Fingerprint aFingerprint) const
  {
    return quarantine_.Suspects(aFingerprint);
  }
  /// @returns upstreams at which another suspect is in progress, if this
  /// request is a suspect; else none
  [[nodiscard]] std::vector<UpstreamId> UpstreamsToAvoid(
    Fingerprint aFingerprint) const;
  void OnSent(const UpstreamId& aUpstream,
              Fingerprint aFingerprint,
              TimePoint aNow);
  /// Clears a request after a complete answer.
  /// @returns updates for the other instances
  [[nodiscard]] Updates OnCompleted(const UpstreamId& aUpstream,
                                    Fingerprint aFingerprint,
                                    TimePoint aNow);
  /// Records that the connection broke after bytes were sent.
  /// @returns updates for the other instances
  [[nodiscard]] Updates OnBroken(const UpstreamId& aUpstream,
                                 Fingerprint aFingerprint,
                                 TimePoint aNow);
  /// Records that this side ended a call without an answer. The upstream may go
  /// on running it for a moment, and a crash in that time is the request's too.
  /// @returns updates for the other instances
  [[nodiscard]] Updates OnAbandoned(const UpstreamId& aUpstream,
                                    Fingerprint aFingerprint,
                                    TimePoint aNow);
  /// Records any other end of a call: not sent, or not run.
  void OnEnded(const UpstreamId& aUpstream, Fingerprint aFingerprint);

  // Registrations of upstreams.
  /// Records an entry that an upstream wrote, which proves that it was alive.
  /// @returns updates for the other instances
  [[nodiscard]] Updates OnEntry(const UpstreamEntry& aEntry, TimePoint aNow);
  /// Records the end of a registration.
  /// @returns updates for the other instances
  [[nodiscard]] Updates OnVanished(const UpstreamId& aUpstream, TimePoint aNow);
  /// Takes a complete list of entries; registrations missing from it have
  /// ended.
  /// @returns updates for the other instances
  [[nodiscard]] Updates OnList(const std::vector<UpstreamEntry>& aEntries,
                               TimePoint aNow);

  // Other instances.
  /// Applies an update from another instance.
  /// @returns this instance's suspicion against the request of the update
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
  /// @returns the breaks disproved since the last call, for the log
  [[nodiscard]] std::vector<DisprovedBreak> TakeDisproved()
  {
    return std::exchange(disproved_, {});
  }
  /// @returns the number of breaks that wait for the end of a registration
  [[nodiscard]] std::size_t Breaks() const noexcept { return breaks_.size(); }

private:
  /// How an entry became known.
  enum class EntrySource
  {
    /// Its upstream wrote it, which proves that it was alive.
    Written,
    /// A list contained it. The list may be older than the end of the
    /// registration, because a replica of the store may be seconds behind.
    Listed,
  };
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
  /// An end of a call that may have crashed its upstream.
  struct Break
  {
    UpstreamId upstream_;
    Fingerprint fingerprint_;
    TimePoint sentAt_;
    TimePoint brokenAt_;
    /// Ended by this side; the connection did not break.
    bool abandoned_ = false;
  };
  using Running = std::multimap<Fingerprint, TimePoint>;

  /// @returns whether any request on trial is in progress
  [[nodiscard]] bool IsTrialInProgress(TimePoint aNow);
  /// @returns the start of a call for the comparison of crashes; one crash can
  /// break a request twice, if it was retried at the dying upstream or sent by
  /// two instances, and the earlier start makes both breaks overlap
  [[nodiscard]] TimePoint ComparableStart(const Break& aBreak) const;
  /// @returns whether a request is suspected of a crash, or was in progress at
  /// a recent break
  [[nodiscard]] bool IsSuspect(Fingerprint aFingerprint) const;
  /// Ends one call of a request at an upstream, the first one sent.
  /// @returns when it was sent; nothing if unknown
  std::optional<TimePoint> EndCall(const UpstreamId& aUpstream,
                                   Fingerprint aFingerprint);
  [[nodiscard]] Updates Register(const UpstreamEntry& aEntry,
                                 EntrySource aSource,
                                 TimePoint aNow);
  /// Attributes the crash of an upstream to the requests that broke there.
  [[nodiscard]] Updates AttributeCrash(const UpstreamId& aUpstream,
                                       TimePoint aNow);
  [[nodiscard]] Updates AddBreak(const UpstreamId& aUpstream,
                                 Fingerprint aFingerprint,
                                 TimePoint aNow,
                                 bool aAbandoned);
  /// @returns when the last connection to an upstream broke, or the last call
  /// there was abandoned if none broke
  [[nodiscard]] TimePoint LastBreakAt(const UpstreamId& aUpstream) const;
  void DropOldBreaks(TimePoint aNow);
  /// Drops the breaks at an upstream that was alive at a time.
  void ForgetBreaks(const UpstreamId& aUpstream,
                    TimePoint aBefore,
                    TimePoint aNow);

  CrashWatchOptions options_;
  Quarantine quarantine_;
  /// In order of `brokenAt_`.
  std::deque<Break> breaks_;
  std::map<UpstreamId, Running> running_;
  std::map<UpstreamId, Registration> registered_;
  std::map<UpstreamId, Ended> ended_;
  std::vector<DisprovedBreak> disproved_;
};

} // namespace marjoramtally
