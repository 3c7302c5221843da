/// Moves the upstreams that this process owns to the wanted weights and roles:
/// prefetches weights within the rate of the weight store, then switches
/// upstreams in waves that keep a minimum number of them answering.
#pragma once

#include "marjoramtally/base/random.hpp"
#include "marjoramtally/process/order_fencing.hpp"
#include "marjoramtally/process/rollout_messages.hpp"
#include "marjoramtally/process/rollout_shares.hpp"

#include <memory>
#include <set>

namespace marjoramtally {

/// Maximum number of times that a retry delay doubles.
inline constexpr std::uint64_t kMaxBackoffDoublings = 4;

/// Limits of one owner.
struct RolloutPolicy
{
  FencingPolicy fencing_;
  /// Loads per second: this owner's share of the weight store's rate.
  double loadsPerSecond_ = 50.0;
  std::uint64_t parallelLoads_ = 64;
  /// Consecutive failed orders after which an upstream is abandoned until
  /// `longRetryDelay_` has passed.
  std::uint64_t maxAttempts_ = 4;
  /// Delay before the first retry; doubles with each further one.
  Duration retryDelay_ = std::chrono::milliseconds(250);
  /// Delay before an abandoned upstream, or one that refused an order, is tried
  /// again.
  Duration longRetryDelay_ = std::chrono::seconds(30);
  /// Time between two reads of the state of a settled upstream.
  Duration readPeriod_ = std::chrono::seconds(1);
};

/// Wanted state of the upstreams of a service.
struct ServiceGoal
{
  ModelVersions versions_;
  /// Maximum number of answering upstreams of this owner that may switch at the
  /// same time.
  std::uint64_t switchSlots_ = 0;
  /// Time within which generations in progress may finish on the old weights;
  /// zero resumes them on the new ones.
  Duration drain_{ 0 };
};

/// An upstream that this process owns.
struct OwnedUpstream
{
  UpstreamId id_;
  ServiceId service_;
  bool checksFencing_ = true;
};

/// Counts for metrics.
struct RolloutCounts
{
  std::uint64_t owned_ = 0;
  std::uint64_t settled_ = 0;
  std::uint64_t answering_ = 0;
  std::uint64_t inProgress_ = 0;
};

/// The rollout of one owner. Not thread-safe.
class Rollout
{
public:
  /// @param aPermits limits the rate of loads; `SharedRatePermits` if null
  Rollout(RolloutPolicy aPolicy,
          std::uint64_t aSeed,
          std::unique_ptr<LoadPermits> aPermits = nullptr);

  void SetPolicy(const RolloutPolicy& aPolicy);
  void SetGoal(const ServiceId& aService, ServiceGoal aGoal);
  void SetRole(const UpstreamId& aUpstream, const std::string& aRole);
  /// The process owns the upstream under this term. A repeated call with the
  /// same term changes nothing.
  void OnOwned(const OwnedUpstream& aUpstream,
               FencingNumber aTerm,
               TimePoint aNow);
  /// The process no longer owns the upstream.
  void OnLost(const UpstreamId& aUpstream);
  /// The lease of this process is valid until then by the local clock.
  void OnLease(TimePoint aUntil) noexcept;
  /// A read of an upstream's state succeeded.
  /// @param aAskedAt when the read was sent
  void OnState(const UpstreamId& aUpstream,
               UpstreamState aState,
               TimePoint aAskedAt,
               TimePoint aNow);
  void OnUnreadable(const UpstreamId& aUpstream, TimePoint aNow);
  /// An order ended. Ignored if the order was sent before the upstream was last
  /// lost.
  void OnOrderEnd(const SendOrder& aOrder, OrderEnd aEnd, TimePoint aNow);
  /// @returns the actions to perform now
  [[nodiscard]] RolloutActions Decide(TimePoint aNow);
  [[nodiscard]] RolloutCounts Counts() const;
  /// @returns whether this process owns the upstream and no order or read is in
  /// progress
  [[nodiscard]] bool Idle(const UpstreamId& aUpstream) const;

private:
  struct Upstream
  {
    OwnedUpstream owned_;
    OrderFence fence_;
    UpstreamState state_;
    std::string role_;
    std::optional<SendOrder> order_;
    bool readInProgress_ = false;
    /// The state was read and no read has failed since.
    bool readable_ = false;
    bool outOfRotation_ = false;
    bool settled_ = false;
    std::uint64_t failures_ = 0;
    std::uint64_t failedReads_ = 0;
    /// Consecutive loads that the weight store refused.
    std::uint64_t refusedLoads_ = 0;
    TimePoint retryAt_;
    TimePoint nextRead_;
  };
  /// Number of upstreams of each service that are switching or not answering.
  using SlotUse = std::map<ServiceId, std::uint64_t>;

  [[nodiscard]] static bool IsAnswering(const Upstream& aUpstream) noexcept;
  [[nodiscard]] SlotUse CountSlots() const;
  void DecideOne(Upstream& aUpstream,
                 SlotUse& aUse,
                 TimePoint aNow,
                 RolloutActions& aOut);
  [[nodiscard]] std::optional<SendOrder> NextOrder(
    const Upstream& aUpstream) const;
  [[nodiscard]] bool MayStart(const Upstream& aUpstream,
                              const SendOrder& aOrder,
                              SlotUse& aUse,
                              TimePoint aNow);
  [[nodiscard]] bool MayLoad(const Upstream& aUpstream, TimePoint aNow);
  void Read(Upstream& aUpstream, RolloutActions& aOut);
  void Send(Upstream& aUpstream, SendOrder aOrder, RolloutActions& aOut);
  void Settle(Upstream& aUpstream, TimePoint aNow, RolloutActions& aOut);
  void OnStoreBusy(Upstream& aUpstream, TimePoint aNow);
  void OnDone(Upstream& aUpstream, const SendOrder& aOrder);
  void OnFailed(Upstream& aUpstream, TimePoint aNow);
  void Abandon(Upstream& aUpstream, TimePoint aNow);
  /// @returns the duration multiplied by a random factor from 0.75 to 1.25
  [[nodiscard]] Duration Jitter(Duration aDuration) noexcept;
  void Notify(const Upstream& aUpstream, RolloutNoticeKind aKind);

  RolloutPolicy policy_;
  Random random_;
  std::unique_ptr<LoadPermits> permits_;
  TimePoint leaseUntil_;
  std::uint64_t loadsInProgress_ = 0;
  std::uint64_t lastOrder_ = 0;
  std::map<ServiceId, ServiceGoal> goals_;
  std::map<UpstreamId, Upstream> upstreams_;
  RolloutActions notices_;
};

} // namespace marjoramtally
