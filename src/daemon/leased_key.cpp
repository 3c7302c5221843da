#include "daemon/leased_key.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <utility>

namespace marjoramtally {

namespace {

constexpr int kRenewalsPerTtl = 3;
/// A lease counts as held until this long before it expires. Covers the network
/// time of an order to an upstream and the drift of two clocks over one lease.
constexpr auto kExpiryMargin = std::chrono::milliseconds(400);
constexpr auto kMinRetryDelay = std::chrono::milliseconds(100);
constexpr auto kMaxRetryDelay = std::chrono::milliseconds(600);

} // namespace

LeasedKey::LeasedKey(Store& aStore,
                     LoopTimers& aTimers,
                     const Clock& aClock,
                     LeasedKeyOptions aOptions)
  : store_(aStore)
  , timers_(aTimers)
  , clock_(aClock)
  , options_(std::move(aOptions))
  , retryDelays_(kMinRetryDelay,
                 kMaxRetryDelay,
                 std::hash<std::string>{}(options_.value_))
{
}

LeasedKey::~LeasedKey()
{
  *alive_ = false;
  timers_.Cancel(nextStep_);
}

template<typename T>
StoreDone<T>
LeasedKey::Guarded(std::function<void(const Result<T>&)> aHandle)
{
  return [this, alive = alive_, epoch = epoch_, handle = std::move(aHandle)](
           const Result<T>& aResult) {
    if (!*alive || released_) {
      return;
    }
    OnStoreReachable(aResult || aResult.error().kind_ == ErrorKind::NotFound);
    if (epoch == epoch_) {
      handle(aResult);
    }
  };
}

void
LeasedKey::OnStoreReachable(bool aReachable)
{
  if (aReachable != storeReachable_) {
    storeReachable_ = aReachable;
    LogEvent(aReachable ? LogLevel::Info : LogLevel::Warn,
             aReachable ? "dependency_regained" : "dependency_lost",
             { { "dependency", "store" }, { "key", options_.key_ } });
  }
}

void
LeasedKey::Schedule(Duration aDelay, void (LeasedKey::*aStep)())
{
  timers_.Cancel(nextStep_);
  nextStep_ = timers_.After(aDelay, [this, aStep] { (this->*aStep)(); });
}

void
LeasedKey::Start()
{
  Grant();
}

void
LeasedKey::Retry()
{
  if (waiting_ && !released_) {
    waiting_ = false;
    Schedule(Duration{ 0 }, &LeasedKey::Grant);
  }
}

void
LeasedKey::SetTtl(Duration aTtl)
{
  if (aTtl == options_.ttl_ || released_) {
    return;
  }
  options_.ttl_ = aTtl;
  if (held_) {
    // The key is moved to the new lease. The previous lease is left to expire,
    // which saves a billed call.
    ++epoch_;
    Schedule(Duration{ 0 }, &LeasedKey::Grant);
  }
}

void
LeasedKey::StartOver()
{
  if (lease_ != 0) {
    store_.RevokeLease(lease_, [](const Result<bool>&) {});
  }
  ++epoch_;
  lease_ = 0;
  replacedRevision_ = 0;
  held_ = false;
  waiting_ = false;
  Schedule(options_.ttl_, &LeasedKey::Grant);
}

void
LeasedKey::Release()
{
  if (released_) {
    return;
  }
  released_ = true;
  timers_.Cancel(nextStep_);
  held_ = false;
  if (lease_ != 0) {
    store_.RevokeLease(lease_, [](const Result<bool>&) {});
  }
}

bool
LeasedKey::Held() const noexcept
{
  return held_ && clock_.Now() < expiresAt_ - kExpiryMargin;
}

void
LeasedKey::Grant()
{
  grantSentAt_ = clock_.Now();
  requestedTtl_ = options_.ttl_;
  store_.GrantLease(
    options_.ttl_, Guarded<StoreLease>([this](const auto& aLease) {
      if (!aLease) {
        Schedule(retryDelays_.Next(), &LeasedKey::Grant);
        return;
      }
      lease_ = aLease.value().id_;
      expiresAt_ = grantSentAt_ + std::min(aLease.value().ttl_, options_.ttl_);
      Write();
    }));
}

void
LeasedKey::Write()
{
  StoreTxn txn;
  // Also if others may not hold the key: a write that got no answer may be
  // executed later and must not replace a newer one.
  txn.compares_.push_back({ options_.key_, replacedRevision_ });
  txn.puts_.push_back({ options_.key_, options_.value_, lease_ });
  store_.Commit(
    std::move(txn),
    Guarded<StoreCommit>([this](const auto& aCommit) { OnWritten(aCommit); }));
}

void
LeasedKey::OnWritten(const Result<StoreCommit>& aCommit)
{
  if (aCommit && aCommit.value().applied_) {
    retryDelays_.Reset();
    held_ = true;
    waiting_ = false;
    fence_ = FencingNumber{ aCommit.value().revision_ };
    replacedRevision_ = aCommit.value().revision_;
    if (requestedTtl_ == options_.ttl_) {
      RenewAfter(options_.ttl_ / kRenewalsPerTtl);
    } else {
      // The time to live was changed while the key was written.
      Schedule(Duration{ 0 }, &LeasedKey::Grant);
    }
    if (onHeld_) {
      onHeld_(fence_);
    }
    return;
  }
  if (aCommit) {
    // Another process holds the key, or an earlier write of this process was
    // applied although its answer was lost.
    ReadBack();
    return;
  }
  const ErrorKind kind = aCommit.error().kind_;
  if (kind == ErrorKind::NotFound) {
    lease_ = 0;
    Schedule(retryDelays_.Next(), &LeasedKey::Grant);
  } else if (kind == ErrorKind::Unavailable) {
    Schedule(retryDelays_.Next(), &LeasedKey::Write);
  } else {
    Schedule(retryDelays_.Next(), &LeasedKey::ReadBack);
  }
}

void
LeasedKey::ReadBack()
{
  store_.Read(options_.key_, Guarded<StoreRange>([this](const auto& aRange) {
                OnReadBack(aRange);
              }));
}

void
LeasedKey::OnReadBack(const Result<StoreRange>& aRange)
{
  if (!aRange) {
    Schedule(retryDelays_.Next(), &LeasedKey::ReadBack);
    return;
  }
  for (const StoreRecord& record : aRange.value().records_) {
    if (record.key_ != options_.key_) {
      continue;
    }
    if (record.value_ == options_.value_ && record.lease_ == lease_) {
      OnWritten(StoreCommit{ true, record.modRevision_ });
      return;
    }
    const bool mayReplace =
      !options_.exclusive_ ||
      (options_.isOurs_ && options_.isOurs_(record.value_));
    if (mayReplace) {
      replacedRevision_ = record.modRevision_;
      Write();
      return;
    }
    // Another process holds the key: wait for `Retry`, without a lease.
    waiting_ = true;
    store_.RevokeLease(lease_, [](const Result<bool>&) {});
    lease_ = 0;
    return;
  }
  replacedRevision_ = 0;
  Write();
}

void
LeasedKey::RenewAfter(Duration aDelay)
{
  renewalDue_ = clock_.Now() + aDelay;
  Schedule(aDelay, &LeasedKey::Renew);
}

void
LeasedKey::Renew()
{
  const TimePoint sent = clock_.Now();
  renewalDelay_ = sent - renewalDue_;
  store_.KeepAlive(lease_,
                   Guarded<StoreLease>([this, sent](const auto& aLease) {
                     OnRenewed(sent, aLease);
                   }));
}

void
LeasedKey::OnRenewed(TimePoint aSent, const Result<StoreLease>& aLease)
{
  if (aLease) {
    retryDelays_.Reset();
    expiresAt_ = aSent + std::min(aLease.value().ttl_, options_.ttl_);
    if (!held_ && !waiting_) {
      Schedule(Duration{ 0 }, &LeasedKey::ReadBack);
    } else {
      RenewAfter(options_.ttl_ / kRenewalsPerTtl);
    }
    return;
  }
  if (aLease.error().kind_ == ErrorKind::NotFound) {
    OnLost("the store ended it");
    replacedRevision_ = 0;
    Grant();
    return;
  }
  if (held_ && clock_.Now() >= expiresAt_) {
    OnLost("not renewed in time");
  }
  RenewAfter(retryDelays_.Next());
}

void
LeasedKey::OnLost(std::string_view aWhy)
{
  if (!std::exchange(held_, false)) {
    return;
  }
  LogEvent(
    LogLevel::Warn,
    "lease_lost",
    { { "key", options_.key_ },
      { "why", std::string(aWhy) },
      { "ttl_ms", std::to_string(WholeMillis(options_.ttl_)) },
      { "renewal_delay_ms", std::to_string(WholeMillis(renewalDelay_)) } });
  if (onLost_) {
    onLost_();
  }
}

} // namespace marjoramtally
