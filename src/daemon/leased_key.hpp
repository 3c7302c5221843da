/// A record attached to a lease that this process renews, such as a liveness
/// record or the ownership of a duty.
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
  /// Wait for a key that another process holds, instead of overwriting it.
  bool exclusive_ = false;
  /// @returns whether an earlier run of this process wrote the value. That run
  /// has ended even if its lease has not expired. Used if exclusive.
  std::function<bool(const std::string&)> isOurs_ = {};
};

/// Obtains a lease, writes the key, renews the lease, and starts again when the
/// lease is lost. Used on one loop.
class LeasedKey
{
public:
  /// All arguments outlive this.
  /// @param aClock advances while the machine is suspended, as the store's does
  LeasedKey(Store& aStore,
            LoopTimers& aTimers,
            const Clock& aClock,
            LeasedKeyOptions aOptions);
  ~LeasedKey();
  LeasedKey(const LeasedKey&) = delete;
  LeasedKey& operator=(const LeasedKey&) = delete;

  /// Set before `Start`. Called with the revision at which the key was
  /// acquired.
  std::function<void(FencingNumber)> onHeld_;
  std::function<void()> onLost_;

  void Start();
  /// Moves the key to a lease with another time to live.
  void SetTtl(Duration aTtl);
  /// Contends for the key again; call when another process's key was deleted.
  void Retry();
  /// Releases the key and contends for it again after one time to live.
  void StartOver();
  /// Revokes the lease, so that others need not wait until it expires.
  void Release();

  /// @returns whether the key is certainly held, with a margin for messages
  /// sent now to arrive
  [[nodiscard]] bool Held() const noexcept;
  [[nodiscard]] FencingNumber Fence() const noexcept { return fence_; }
  /// @returns whether the store answered the last call
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
  /// Time to live requested for the current lease.
  Duration requestedTtl_{ 0 };
  FencingNumber fence_;
  bool held_ = false;
  /// Another process holds the key.
  bool waiting_ = false;
  bool storeReachable_ = false;
  bool released_ = false;
  /// Revision of the key that the next write replaces; 0: the key is absent.
  std::uint64_t replacedRevision_ = 0;
  TimePoint expiresAt_;
  TimePoint grantSentAt_;
  /// When the next renewal is due.
  TimePoint renewalDue_;
  /// How late the last renewal was sent because the process was busy.
  Duration renewalDelay_{ 0 };
  Backoff retryDelays_;
  LoopTimerId nextStep_ = 0;
  /// Incremented when a lease is abandoned; answers to calls about an earlier
  /// lease are ignored.
  std::uint64_t epoch_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace marjoramtally
