/// Claims idempotency keys in the platform's store before non-idempotent
/// requests run.
#pragma once

#include "daemon/host.hpp"
#include "marjoramtally/process.hpp"

namespace marjoramtally {

/// Drives the claim table of one entry process. Thread-safe.
class ClaimGate
{
public:
  using VerdictCallback = std::function<void(ClaimVerdict)>;
  using RecordedCallback = std::function<void()>;

  explicit ClaimGate(Host& aHost);

  void Start();
  /// Claims a request's key; `aOnVerdict` is called exactly once.
  void Claim(const RequestSpec& aSpec, VerdictCallback aOnVerdict);
  /// Records how a request ended that was told to run; `aOnRecorded` is
  /// called once a resend meets that end, or when it cannot be written.
  void RecordOutcome(const RequestSpec& aSpec,
                     Outcome aOutcome,
                     int aStatus,
                     RecordedCallback aOnRecorded);
  /// @returns claims in progress
  [[nodiscard]] std::size_t OpenCount() const;

private:
  /// A request that waits for its verdict.
  struct PendingClaim
  {
    std::string name_;
    VerdictCallback onVerdict_;
  };

  void Tick();
  void EnsureLease();
  void UpdateCommitInterval(const ClusterView& aView);
  void Perform(ClaimActions aActions);
  void DeliverVerdict(const ClaimVerdict& aVerdict);
  void Commit(ClaimBatch aBatch);
  void OnCommitted(ClaimBatchId aId, const Result<StoreCommit>& aResult);
  void ReadBack(const std::string& aName);

  Host& host_;
  mutable std::mutex mutex_;
  ClaimTable table_;
  std::uint64_t lastTicket_ = 0;
  std::unordered_map<ClaimTicket, PendingClaim> pendingClaims_;
  std::unordered_map<ClaimTicket, RecordedCallback> recordCallbacks_;
  /// The ticket under which a running request was claimed.
  std::unordered_map<std::string, ClaimTicket> runningTickets_;
  StoreLeaseId lease_ = 0;
  TimePoint nextGrant_;
  bool granting_ = false;
};

/// @returns the response to a request that is not run
[[nodiscard]] HttpResponse
MakeClaimResponse(const ClaimVerdict& aVerdict);

} // namespace marjoramtally
