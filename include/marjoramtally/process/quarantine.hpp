/// Finds requests that crash their upstreams and keeps them from running.
///
/// All requests that a crash broke share the suspicion. A completion clears
/// a request. Suspects run apart from each other, so that the second crash
/// of a request has no other request to blame: at one instance at most one
/// at an upstream, and instances share the upstreams out. After two
/// independent crashes a request is refused until its quarantine expires.
#pragma once

#include "marjoramtally/connection/suspicion_messages.hpp"

#include <map>
#include <set>
#include <unordered_map>

namespace marjoramtally {

/// When requests are quarantined, and for how long.
struct QuarantineOptions
{
  /// Independent crashes after which a request is refused.
  std::size_t crashes_ = 2;
  /// The same where another request was at each of these crashes as well. If
  /// it is more than `crashes_`, a request is not refused while another one was
  /// at all of its crashes and at further ones: that one explains them.
  std::size_t crashesInCommon_ = 2;
  /// A crash counts from this time after its report on, so that the reports
  /// against others that were there have come.
  Duration settlingTime_{ 0 };
  /// For so long after a crash a suspect runs only at upstreams that are
  /// this instance's for suspects.
  Duration ownUpstreamsOnly_ = std::chrono::seconds(1);
  /// How long a crash is held against a request.
  Duration crashRetention_ = std::chrono::minutes(10);
  /// Length of a first quarantine; each further one doubles.
  Duration firstQuarantine_ = std::chrono::minutes(10);
  Duration maxQuarantine_ = std::chrono::hours(4);
  /// Most fingerprints remembered; the oldest go first.
  std::size_t maxSuspicions_ = 4096;
};

/// Whether and how a request may run.
struct QuarantineVerdict
{
  bool refused_ = false;
  /// Runs on an upstream where no other suspect is in progress.
  bool isolated_ = false;
  /// Set if refused.
  Duration retryAfter_{ 0 };
  /// For people; set if refused.
  std::string reason_;
};

/// Suspicions of one instance. Not thread-safe.
class Quarantine
{
public:
  explicit Quarantine(QuarantineOptions aOptions = {}) noexcept
    : options_(aOptions)
  {
  }

  /// @returns whether a request may run
  [[nodiscard]] QuarantineVerdict Judge(Fingerprint aFingerprint,
                                        TimePoint aNow);
  /// Sets the upstreams where other instances run their suspects first.
  void SetOthersUpstreams(std::set<UpstreamId> aUpstreams)
  {
    othersUpstreams_ = std::move(aUpstreams);
  }
  /// @returns whether a request may start at an upstream; a suspect may if
  /// no other suspect is in progress there, and it is itself nowhere
  [[nodiscard]] bool MayStart(Fingerprint aFingerprint,
                              const UpstreamId& aUpstream,
                              TimePoint aNow) const;
  /// @returns upstreams that a suspect had better not start at
  [[nodiscard]] std::vector<UpstreamId> UpstreamsToAvoid(
    Fingerprint aFingerprint) const;
  /// Records that an attempt started.
  void OnSent(const UpstreamId& aUpstream,
              Fingerprint aFingerprint,
              TimePoint aNow);
  /// Records an attempt that neither completed nor broke.
  void OnEnded(const UpstreamId& aUpstream, Fingerprint aFingerprint);
  /// Records a whole answer.
  /// @returns what to tell other instances
  [[nodiscard]] std::vector<SuspicionUpdate> OnCompleted(
    const UpstreamId& aUpstream,
    Fingerprint aFingerprint);
  /// Records an attempt whose connection broke after bytes were sent.
  /// @returns what to tell other instances
  [[nodiscard]] std::vector<SuspicionUpdate> OnBroken(
    const UpstreamId& aUpstream,
    Fingerprint aFingerprint,
    TimePoint aNow);
  /// Takes what another instance found.
  void OnUpdate(const SuspicionUpdate& aUpdate, TimePoint aNow);
  /// The incarnation of an upstream goes on: it has not crashed.
  void OnAlive(const UpstreamId& aUpstream, TimePoint aNow);
  /// @returns whether a request is suspected or refused
  [[nodiscard]] bool Suspects(Fingerprint aFingerprint) const
  {
    return suspicions_.contains(aFingerprint);
  }
  /// @returns what to tell an instance that asks for a request; empty if
  /// nothing is known against it
  [[nodiscard]] std::vector<SuspicionUpdate> KnownSuspicion(
    Fingerprint aFingerprint,
    TimePoint aNow) const;
  /// @returns fingerprints suspected or refused
  [[nodiscard]] std::size_t size() const noexcept { return suspicions_.size(); }
  /// @returns fingerprints now refused
  [[nodiscard]] std::size_t Refused(TimePoint aNow) const;

private:
  struct Crash
  {
    UpstreamId upstream_;
    /// When the request had started there.
    TimePoint startedAt_;
    TimePoint crashedAt_;
    /// When it became known here.
    TimePoint reportedAt_;
  };
  using Running = std::multimap<Fingerprint, TimePoint>;
  struct Suspicion
  {
    std::vector<Crash> crashes_;
    TimePoint refusedUntil_;
    /// Quarantines so far.
    std::uint32_t quarantines_ = 0;
  };

  [[nodiscard]] static bool SameCrash(const Crash& aOne,
                                      const Crash& aOther) noexcept;
  static void AddCrash(Suspicion& aSuspicion, Crash aCrash);
  [[nodiscard]] static bool WasInvolvedIn(const Suspicion& aSuspicion,
                                          const Crash& aCrash);
  /// @returns the settled crashes without those at which a refused request
  /// was that has more of them
  [[nodiscard]] std::vector<Crash> UnexplainedCrashes(
    const Suspicion& aSuspicion,
    TimePoint aNow) const;
  /// @returns the most crashes of another request that was at all of these
  [[nodiscard]] std::size_t MaxCrashesInCommon(
    const Suspicion& aSuspicion,
    const std::vector<Crash>& aCrashes) const;
  [[nodiscard]] bool IsQuarantineDue(const Suspicion& aSuspicion,
                                     TimePoint aNow) const;
  void QuarantineIfDue(Suspicion& aSuspicion, TimePoint aNow) const;
  [[nodiscard]] static SuspicionUpdate Describe(Fingerprint aFingerprint,
                                                const Suspicion& aSuspicion,
                                                TimePoint aNow);
  void ForgetOldCrashes(Suspicion& aSuspicion, TimePoint aNow) const;
  void BoundSize(Fingerprint aKeep);
  [[nodiscard]] static std::string DescribeRefusal(
    const std::vector<Crash>& aCrashes);
  [[nodiscard]] bool HasOtherSuspect(const Running& aRunning,
                                     Fingerprint aFingerprint) const;
  /// Ends the oldest attempt.
  /// @returns when it had started
  TimePoint EndAttempt(const UpstreamId& aUpstream,
                       Fingerprint aFingerprint,
                       TimePoint aNow);
  [[nodiscard]] static TimePoint LastActive(
    const Suspicion& aSuspicion) noexcept;

  QuarantineOptions options_;
  std::unordered_map<Fingerprint, Suspicion> suspicions_;
  /// Attempts in progress, by upstream, with their start.
  std::map<UpstreamId, Running> running_;
  std::set<UpstreamId> othersUpstreams_;
};

} // namespace marjoramtally
