#include "daemon/leased_key.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <utility>

namespace marjoramtally {

namespace {

/// Renewals in the time of one lease.
constexpr int kRenewals = 3;
/// A lease counts as ours until this long before its end: covers the way of
/// an order to an upstream and the drift of two clocks over one lease.
constexpr auto kMargin = std::chrono::milliseconds(400);
constexpr auto kFirstPause = std::chrono::milliseconds(100);
constexpr auto kLongestPause = std::chrono::milliseconds(600);

} // namespace

LeasedKey::LeasedKey(Store& aStore,
                     LoopTimers& aTimers,
                     const Clock& aClock,
                     LeasedKeyOptions aOptions)
  : store_(aStore)
  , timers_(aTimers)
  , clock_(aClock)
  , options_(std::move(aOptions))
  , pauses_(kFirstPause,
            kLongestPause,
            std::hash<std::string>{}(options_.value_))
{
}

LeasedKey::~LeasedKey()
{
  *alive_ = false;
  timers_.Cancel(next_);
}

template<typename T>
StoreDone<T>
LeasedKey::Guarded(std::function<void(const Result<T>&)> aTake)
{
  return [this, alive = alive_, epoch = epoch_, take = std::move(aTake)](
           const Result<T>& aResult) {
    if (!*alive || released_) {
      return;
    }
    OnReached(aResult || aResult.error().kind_ == ErrorKind::NotFound);
    if (epoch == epoch_) {
      take(aResult);
    }
  };
}

void
LeasedKey::OnReached(bool aReached)
{
  if (aReached != reached_) {
    reached_ = aReached;
    LogEvent(aReached ? LogLevel::Info : LogLevel::Warn,
             aReached ? "dependency_regained" : "dependency_lost",
             { { "dependency", "store" }, { "key", options_.key_ } });
  }
}

void
LeasedKey::Later(Duration aPause, void (LeasedKey::*aStep)())
{
  timers_.Cancel(next_);
  next_ = timers_.After(aPause, [this, aStep] { (this->*aStep)(); });
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
    Later(Duration{ 0 }, &LeasedKey::Grant);
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
    // The key will hang on the new lease; the one of before is left to lapse,
    // which spares a priced call.
    ++epoch_;
    Later(Duration{ 0 }, &LeasedKey::Grant);
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
  held_ = false;
  waiting_ = false;
  Later(options_.ttl_, &LeasedKey::Grant);
}

void
LeasedKey::Release()
{
  if (released_) {
    return;
  }
  released_ = true;
  timers_.Cancel(next_);
  held_ = false;
  if (lease_ != 0) {
    store_.RevokeLease(lease_, [](const Result<bool>&) {});
  }
}

bool
LeasedKey::Held() const noexcept
{
  return held_ && clock_.Now() < until_ - kMargin;
}

void
LeasedKey::Grant()
{
  granted_ = clock_.Now();
  askedTtl_ = options_.ttl_;
  store_.GrantLease(
    options_.ttl_, Guarded<StoreLease>([this](const auto& aLease) {
      if (!aLease) {
        Later(pauses_.Next(), &LeasedKey::Grant);
        return;
      }
      lease_ = aLease.value().id_;
      until_ = granted_ + std::min(aLease.value().ttl_, options_.ttl_);
      Write();
    }));
}

void
LeasedKey::Write()
{
  StoreTxn txn;
  if (options_.exclusive_) {
    txn.compares_.push_back({ options_.key_, replacing_ });
  }
  txn.puts_.push_back({ options_.key_, options_.value_, lease_ });
  store_.Commit(
    std::move(txn),
    Guarded<StoreCommit>([this](const auto& aCommit) { OnWritten(aCommit); }));
}

void
LeasedKey::OnWritten(const Result<StoreCommit>& aCommit)
{
  if (aCommit && aCommit.value().applied_) {
    pauses_.Reset();
    held_ = true;
    waiting_ = false;
    fence_ = FencingNumber{ aCommit.value().revision_ };
    if (askedTtl_ == options_.ttl_) {
      RenewAfter(options_.ttl_ / kRenewals);
    } else {
      // Another length was set meanwhile.
      Later(Duration{ 0 }, &LeasedKey::Grant);
    }
    if (onHeld_) {
      onHeld_(fence_);
    }
    return;
  }
  if (aCommit) {
    // Another process holds it, or an earlier write of ours did land.
    ReadBack();
    return;
  }
  const ErrorKind kind = aCommit.error().kind_;
  if (kind == ErrorKind::NotFound) {
    lease_ = 0;
    Later(pauses_.Next(), &LeasedKey::Grant);
  } else if (kind == ErrorKind::Unavailable) {
    Later(pauses_.Next(), &LeasedKey::Write);
  } else {
    Later(pauses_.Next(), &LeasedKey::ReadBack);
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
    Later(pauses_.Next(), &LeasedKey::ReadBack);
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
    if (options_.isOurs_ && options_.isOurs_(record.value_)) {
      replacing_ = record.modRevision_;
      Write();
      return;
    }
    // Held by another: wait for a change, without a lease.
    waiting_ = true;
    store_.RevokeLease(lease_, [](const Result<bool>&) {});
    lease_ = 0;
    return;
  }
  replacing_ = 0;
  Write();
}

void
LeasedKey::RenewAfter(Duration aPause)
{
  renewalDue_ = clock_.Now() + aPause;
  Later(aPause, &LeasedKey::Renew);
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
    pauses_.Reset();
    until_ = aSent + std::min(aLease.value().ttl_, options_.ttl_);
    if (!held_ && !waiting_) {
      Later(Duration{ 0 }, &LeasedKey::ReadBack);
    } else {
      RenewAfter(options_.ttl_ / kRenewals);
    }
    return;
  }
  if (aLease.error().kind_ == ErrorKind::NotFound) {
    Lose("the store ended it");
    Grant();
    return;
  }
  if (held_ && clock_.Now() >= until_) {
    Lose("not renewed in time");
  }
  RenewAfter(pauses_.Next());
}

void
LeasedKey::Lose(std::string_view aWhy)
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
