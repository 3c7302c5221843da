/// Brings the upstreams that this process owns to the wanted weights and
/// roles: load ahead within the weight store's rate, then switch in waves
/// that keep a floor of upstreams answering.
#pragma once

#include "marjoramtally/base/random.hpp"
#include "marjoramtally/process/order_fencing.hpp"
#include "marjoramtally/process/rollout_messages.hpp"
#include "marjoramtally/process/rollout_shares.hpp"

#include <memory>
#include <set>

namespace marjoramtally {

/// How often a pause between two tries doubles.
inline constexpr std::uint64_t kMaxBackoffDoublings = 4;

/// Limits of one owner.
struct RolloutPolicy
{
  FencingPolicy fencing_;
  /// This owner's part of the weight store's rate.
  double loadsPerSecond_ = 50.0;
  std::uint64_t parallelLoads_ = 64;
  /// Failed orders in a row until an upstream is left as it is.
  std::uint64_t maxAttempts_ = 4;
  /// Before the first retry; doubles with each.
  Duration retryDelay_ = std::chrono::milliseconds(250);
  /// Before an upstream that was left as it is is tried again.
  Duration longRetryDelay_ = std::chrono::seconds(30);
  /// Between two reads of a settled upstream's state.
  Duration readPeriod_ = std::chrono::seconds(1);
};

/// What a service's upstreams are to be.
struct ServiceGoal
{
  ModelVersions versions_;
  /// Answering upstreams of this owner that may be switching at once.
  std::uint64_t switchSlots_ = 0;
  /// Generations in progress may end on the old weights for so long; zero
  /// resumes them on the new ones.
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
  /// @param aPermits paces loads; by default a share of the store's rate
  Rollout(RolloutPolicy aPolicy,
          std::uint64_t aSeed,
          std::unique_ptr<LoadPermits> aPermits = nullptr);

  void SetPolicy(const RolloutPolicy& aPolicy);
  void SetGoal(const ServiceId& aService, ServiceGoal aGoal);
  void SetRole(const UpstreamId& aUpstream, const std::string& aRole);
  /// We own it under this term; repeats change nothing.
  void OnOwned(const OwnedUpstream& aUpstream,
               FencingNumber aTerm,
               TimePoint aNow);
  /// We own it no longer.
  void OnLost(const UpstreamId& aUpstream);
  /// Our lease holds until then by our clock.
  void OnLease(TimePoint aUntil) noexcept;
  /// A read of state ended. `aAskedAt` is when it was sent.
  void OnState(const UpstreamId& aUpstream,
               UpstreamState aState,
               TimePoint aAskedAt,
               TimePoint aNow);
  void OnUnreadable(const UpstreamId& aUpstream, TimePoint aNow);
  /// An order ended; one from before the upstream was lost is ignored.
  void OnOrderEnd(const SendOrder& aOrder, OrderEnd aEnd, TimePoint aNow);
  /// @returns what to do now
  [[nodiscard]] RolloutActions Decide(TimePoint aNow);
  [[nodiscard]] RolloutCounts Counts() const;
  /// @returns whether it is ours and no order or read is in progress
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
    /// Its state was read and reads have not failed since.
    bool readable_ = false;
    bool outOfRotation_ = false;
    bool settled_ = false;
    std::uint64_t failures_ = 0;
    std::uint64_t failedReads_ = 0;
    /// Loads in a row that the weight store refused.
    std::uint64_t refusedLoads_ = 0;
    TimePoint retryAt_;
    TimePoint nextRead_;
  };
  /// Upstreams of one service that are not, or soon not, answering.
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
  /// @returns the duration stretched or shrunk by up to a quarter
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
