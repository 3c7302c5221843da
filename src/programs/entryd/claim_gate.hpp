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
  /// Records the outcome of a request whose verdict was `Run`. `aOnRecorded` is
  /// called once a resend of the request is answered by this outcome, or once
  /// the outcome cannot be written.
  void RecordOutcome(const RequestSpec& aSpec,
                     Outcome aOutcome,
                     int aStatus,
                     RecordedCallback aOnRecorded);
  /// @returns number of claims in progress
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
  /// Tickets of running requests, by the name of their claim.
  std::unordered_map<std::string, ClaimTicket> runningTickets_;
  /// Lease of new claims; 0: none.
  StoreLeaseId lease_ = 0;
  TimePoint nextGrant_;
  bool granting_ = false;
};

/// @returns the response to a request that must not run
[[nodiscard]] HttpResponse
MakeClaimResponse(const ClaimVerdict& aVerdict);

} // namespace marjoramtally
