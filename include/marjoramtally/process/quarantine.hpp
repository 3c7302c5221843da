/// Detects requests that crash their upstreams and refuses to run them.
///
/// Every request in progress at a crash becomes a suspect, and a completion
/// clears it. Suspects run isolated from each other, so that a second crash can
/// be attributed to one request: an instance runs at most one suspect per
/// upstream, and the upstreams are divided among the instances. After two
/// independent crashes a request is refused until its quarantine expires.
#pragma once

#include "marjoramtally/connection/suspicion_messages.hpp"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace marjoramtally {

/// Conditions and lengths of quarantines.
struct QuarantineOptions
{
  /// Independent crashes after which a request is refused.
  std::size_t crashes_ = 2;
  /// Crashes after which a request is refused although another request was in
  /// progress at each of them too. If greater than `crashes_`, such requests
  /// run on trial until a further crash distinguishes them.
  std::size_t crashesInCommon_ = 2;
  /// Time after its report at which a crash starts to count. By then the
  /// reports on the other requests of the same crash have arrived.
  Duration settlingTime_{ 0 };
  /// Time after which a crash that was never proven no longer counts.
  Duration unprovenRetention_ = std::chrono::seconds(8);
  /// Time after a crash for which a suspect runs only at the upstreams that are
  /// assigned to this instance for suspects.
  Duration ownUpstreamsOnly_ = std::chrono::seconds(1);
  /// Time for which a crash counts against a request.
  Duration crashRetention_ = std::chrono::minutes(10);
  /// Length of the first quarantine; each further one is twice as long.
  Duration firstQuarantine_ = std::chrono::minutes(10);
  Duration maxQuarantine_ = std::chrono::hours(4);
  /// Maximum number of suspicions kept; the least recent are evicted.
  std::size_t maxSuspicions_ = 4096;
};

/// A request that explains the crashes of another one, because it was in
/// progress at each of them.
struct CoSuspect
{
  Fingerprint fingerprint_;
  /// Number of all its crashes.
  std::size_t crashes_ = 0;
};

/// Whether and how a request may run.
struct QuarantineVerdict
{
  bool refused_ = false;
  /// Refused for a moment only, without a quarantine.
  bool heldBack_ = false;
  /// Must run at an upstream where no other suspect is in progress.
  bool isolated_ = false;
  /// Must not run beside another request on trial, or beside itself.
  bool onTrial_ = false;
  /// Set if refused.
  Duration retryAfter_{ 0 };
  /// Human-readable; set if refused.
  std::string reason_;
  /// Why a request with enough crashes to be refused is not.
  std::optional<CoSuspect> sparedFor_;
};

/// The suspicions of one instance. Not thread-safe.
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
  /// Sets the upstreams that are assigned to other instances for suspects.
  void SetOthersUpstreams(std::set<UpstreamId> aUpstreams)
  {
    othersUpstreams_ = std::move(aUpstreams);
  }
  /// @returns whether a request may start at an upstream; a suspect may if no
  /// other suspect is in progress there and the request itself is in progress
  /// nowhere
  [[nodiscard]] bool MayStart(Fingerprint aFingerprint,
                              const UpstreamId& aUpstream,
                              TimePoint aNow) const;
  /// @returns upstreams at which a request should not start if possible; none
  /// unless it is a suspect
  [[nodiscard]] std::vector<UpstreamId> UpstreamsToAvoid(
    Fingerprint aFingerprint) const;
  /// Records that an attempt started.
  void OnSent(const UpstreamId& aUpstream,
              Fingerprint aFingerprint,
              TimePoint aNow);
  /// Records the end of an attempt that neither completed nor broke.
  void OnEnded(const UpstreamId& aUpstream, Fingerprint aFingerprint);
  /// Records a complete answer.
  /// @returns updates for the other instances
  [[nodiscard]] std::vector<SuspicionUpdate> OnCompleted(
    const UpstreamId& aUpstream,
    Fingerprint aFingerprint);
  /// Records an attempt whose connection broke after bytes were sent.
  /// @returns updates for the other instances
  [[nodiscard]] std::vector<SuspicionUpdate> OnBroken(
    const UpstreamId& aUpstream,
    Fingerprint aFingerprint,
    TimePoint aNow);
  /// Applies an update from another instance.
  void OnUpdate(const SuspicionUpdate& aUpdate, TimePoint aNow);
  /// Counts a call that ended without an answer as a crash at once, if earlier
  /// crashes of its request suffice for a quarantine. Its next run would crash
  /// another upstream before the end of the registration proves this crash.
  /// @returns updates for the other instances
  [[nodiscard]] std::vector<SuspicionUpdate> OnUnprovenCrash(
    const UpstreamId& aUpstream,
    Fingerprint aFingerprint,
    TimePoint aStartedAt,
    TimePoint aNow);
  /// Withdraws all crashes of an upstream whose incarnation is still running.
  void OnAlive(const UpstreamId& aUpstream, TimePoint aNow);
  /// Withdraws the unproven crashes of an upstream that was alive at a later
  /// time.
  /// @param aBefore crashes at or after this time remain
  void WithdrawUnproven(const UpstreamId& aUpstream,
                        TimePoint aBefore,
                        TimePoint aNow);
  /// @returns whether a request is a suspect or refused
  [[nodiscard]] bool Suspects(Fingerprint aFingerprint) const
  {
    return suspicions_.contains(aFingerprint);
  }
  /// @returns the suspicion against a request, for an instance that queries it;
  /// empty if there is none
  [[nodiscard]] std::vector<SuspicionUpdate> KnownSuspicion(
    Fingerprint aFingerprint,
    TimePoint aNow) const;
  /// @returns the number of requests suspected or refused
  [[nodiscard]] std::size_t size() const noexcept { return suspicions_.size(); }
  /// @returns the number of requests now refused
  [[nodiscard]] std::size_t Refused(TimePoint aNow) const;

private:
  struct Crash
  {
    UpstreamId upstream_;
    /// Start of the attempt there.
    TimePoint startedAt_;
    TimePoint crashedAt_;
    /// When this instance learned of it.
    TimePoint reportedAt_;
    /// Whether the upstream's registration has ended.
    bool proven_ = true;
  };
  using Running = std::multimap<Fingerprint, TimePoint>;
  struct Suspicion
  {
    std::vector<Crash> crashes_;
    TimePoint refusedUntil_;
    /// Number of quarantines so far.
    std::uint32_t quarantines_ = 0;
  };

  [[nodiscard]] static bool SameCrash(const Crash& aOne,
                                      const Crash& aOther) noexcept;
  static void AddCrash(Suspicion& aSuspicion, Crash aCrash);
  [[nodiscard]] static bool WasInvolvedIn(const Suspicion& aSuspicion,
                                          const Crash& aCrash);
  /// @returns the crashes that were reported long enough ago to count
  [[nodiscard]] std::vector<Crash> SettledCrashes(const Suspicion& aSuspicion,
                                                  TimePoint aNow) const;
  /// @returns the settled crashes except those that a refused request with more
  /// crashes explains, because it was in progress there too
  [[nodiscard]] std::vector<Crash> UnexplainedCrashes(
    const Suspicion& aSuspicion,
    TimePoint aNow) const;
  /// @returns the request with the most crashes among the others that were in
  /// progress at all of these
  [[nodiscard]] std::optional<CoSuspect> FindCoSuspect(
    const Suspicion& aSuspicion,
    const std::vector<Crash>& aCrashes) const;
  [[nodiscard]] bool IsQuarantineDue(const Suspicion& aSuspicion,
                                     TimePoint aNow) const;
  /// @returns whether another refused request explains a refused one
  [[nodiscard]] bool IsExonerated(const Suspicion& aSuspicion,
                                  TimePoint aNow) const;
  /// @returns for how long a suspect waits until the reports of its last crash
  /// have settled
  [[nodiscard]] Duration SettlingTimeLeft(const Suspicion& aSuspicion,
                                          TimePoint aNow) const;
  [[nodiscard]] std::size_t ProvenCrashes(const Suspicion& aSuspicion) const;
  /// Removes crashes; a quarantine ends, and is decided anew.
  template<typename Predicate>
  static void Withdraw(Suspicion& aSuspicion,
                       TimePoint aNow,
                       Predicate aPredicate);
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
  /// Ends one attempt of a request at an upstream, the first one sent.
  /// @returns its start; `aNow` if unknown
  TimePoint EndAttempt(const UpstreamId& aUpstream,
                       Fingerprint aFingerprint,
                       TimePoint aNow);
  [[nodiscard]] static TimePoint LastActive(
    const Suspicion& aSuspicion) noexcept;

  QuarantineOptions options_;
  std::unordered_map<Fingerprint, Suspicion> suspicions_;
  /// Attempts in progress with their start, by upstream.
  std::map<UpstreamId, Running> running_;
  std::set<UpstreamId> othersUpstreams_;
};

} // namespace marjoramtally
