/// A record of this process that hangs on a lease, kept as long as the
/// process lives: a sign of life, or the ownership of a duty.
#pragma once

#include "marjoramtally/base.hpp"
#include "marjoramtally/base/backoff.hpp"
#include "marjoramtally/runtime/loop_timers.hpp"
#include "marjoramtally/runtime/store.hpp"

namespace marjoramtally {

/// Options of a leased key.
struct LeasedKeyOptions
{
  std::string key_;
  std::string value_;
  Duration ttl_ = std::chrono::seconds(3);
  /// Wait for a key that another process holds, instead of writing over it.
  bool exclusive_ = false;
  /// @returns whether a value is that of an earlier run of this very process:
  /// that one has ended, whatever its lease says. Used if exclusive.
  std::function<bool(const std::string&)> isOurs_ = {};
};

/// Grants a lease, writes the key, renews the lease, and starts over when it
/// is lost. Used on one loop.
class LeasedKey
{
public:
  /// All arguments outlive this.
  /// @param aClock counts suspension, as the store does
  LeasedKey(Store& aStore,
            LoopTimers& aTimers,
            const Clock& aClock,
            LeasedKeyOptions aOptions);
  ~LeasedKey();
  LeasedKey(const LeasedKey&) = delete;
  LeasedKey& operator=(const LeasedKey&) = delete;

  /// Set before `Start`. The key is ours since that revision.
  std::function<void(FencingNumber)> onHeld_;
  std::function<void()> onLost_;

  void Start();
  /// Keeps the key on a lease of another length from now on.
  void SetTtl(Duration aTtl);
  /// Another process's key was seen to be gone.
  void Retry();
  /// Gives the key up and contends for it anew after a while.
  void StartOver();
  /// Ends the lease, so that others need not wait for it to lapse.
  void Release();

  /// @returns whether the key is ours for certain, less a margin for what is
  /// sent now to arrive
  [[nodiscard]] bool Held() const noexcept;
  [[nodiscard]] FencingNumber Fence() const noexcept { return fence_; }
  /// @returns whether the last call to the store was answered
  [[nodiscard]] bool StoreReachable() const noexcept { return storeReachable_; }

private:
  void OnStoreReachable(bool aReachable);
  void Grant();
  void Write();
  void OnWritten(const Result<StoreCommit>& aCommit);
  void ReadBack();
  void OnReadBack(const Result<StoreRange>& aRange);
  void RenewAfter(Duration aDelay);
  void Renew();
  void OnRenewed(TimePoint aSent, const Result<StoreLease>& aLease);
  /// @param aWhy for the log
  void OnLost(std::string_view aWhy);
  void Schedule(Duration aDelay, void (LeasedKey::*aStep)());
  template<typename T>
  StoreDone<T> Guarded(std::function<void(const Result<T>&)> aHandle);

  Store& store_;
  LoopTimers& timers_;
  const Clock& clock_;
  LeasedKeyOptions options_;
  StoreLeaseId lease_ = 0;
  /// The length that this lease was asked with.
  Duration requestedTtl_{ 0 };
  FencingNumber fence_;
  bool held_ = false;
  /// Another process holds the key.
  bool waiting_ = false;
  bool storeReachable_ = false;
  bool released_ = false;
  /// Revision of the key that our write replaces; 0: there is none.
  std::uint64_t replacedRevision_ = 0;
  TimePoint expiresAt_;
  TimePoint grantSentAt_;
  /// When the next renewal is to be sent.
  TimePoint renewalDue_;
  /// How much later than due the last renewal was sent, for other work of the
  /// process.
  Duration renewalDelay_{ 0 };
  Backoff retryDelays_;
  LoopTimerId nextStep_ = 0;
  /// Counts the leases given up; answers to calls about an earlier one are
  /// ignored.
  std::uint64_t epoch_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace marjoramtally
