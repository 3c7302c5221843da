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
  using Decided = std::function<void(ClaimVerdict)>;
  using Recorded = std::function<void()>;

  explicit ClaimGate(Host& aHost);

  void Start();
  /// Claims a request's key; `aDecided` is called exactly once.
  void Ask(const RequestSpec& aSpec, Decided aDecided);
  /// Records how a request ended that was told to run; `aRecorded` is
  /// called once a resend meets that end, or when it cannot be written.
  void End(const RequestSpec& aSpec,
           Outcome aOutcome,
           int aStatus,
           Recorded aRecorded);
  /// @returns claims in progress
  [[nodiscard]] std::size_t Open() const;

private:
  /// A request that waits for its verdict.
  struct Asking
  {
    std::string name_;
    Decided decided_;
  };

  void Tick();
  void EnsureLease();
  void FitGap(const ClusterView& aView);
  void Perform(ClaimActions aActions);
  void Decide(const ClaimVerdict& aVerdict);
  void Commit(ClaimBatch aBatch);
  void OnCommitted(ClaimBatchId aId, const Result<StoreCommit>& aResult);
  void ReadBack(const std::string& aName);

  Host& host_;
  mutable std::mutex mutex_;
  ClaimTable table_;
  std::uint64_t lastTicket_ = 0;
  std::unordered_map<ClaimTicket, Asking> asking_;
  std::unordered_map<ClaimTicket, Recorded> ending_;
  /// The ticket under which a running request was claimed.
  std::unordered_map<std::string, ClaimTicket> running_;
  StoreLeaseId lease_ = 0;
  TimePoint leaseDue_;
  bool granting_ = false;
};

/// @returns the response to a request that is not run
[[nodiscard]] HttpResponse
MakeClaimResponse(const ClaimVerdict& aVerdict);

} // namespace marjoramtally
