#include "daemon/lease_session.hpp"

namespace marjoramtally {

namespace {

constexpr auto kStepPeriod = std::chrono::milliseconds(100);
/// The margin is the time to live divided by this, at most the default margin.
constexpr int kMarginDivisor = 4;

LeaseOptions
OptionsOf(const DaemonSettings& aSettings)
{
  LeaseOptions options;
  options.ttl_ = aSettings.leaseTtl_;
  options.margin_ = std::min(options.margin_, options.ttl_ / kMarginDivisor);
  return options;
}

} // namespace

LeaseSession::LeaseSession(const DaemonSettings& aSettings,
                           Store& aStore,
                           Timers& aTimers)
  : settings_(aSettings)
  , store_(aStore)
  , timers_(aTimers)
  , options_(OptionsOf(aSettings))
  , keeper_(options_, std::hash<std::string>{}(aSettings.instance_))
{
}

void
LeaseSession::Start(std::string aKey, std::string aValue)
{
  key_ = std::move(aKey);
  value_ = std::move(aValue);
  Step();
  timers_.Every(kStepPeriod, [this] { Step(); });
}

void
LeaseSession::Leave(std::function<void()> aDone)
{
  StoreLeaseId lease = 0;
  {
    const std::lock_guard lock(mutex_);
    leaving_ = true;
    keeper_.Drop();
    std::swap(lease, lease_);
  }
  if (lease == 0) {
    aDone();
    return;
  }
  store_.RevokeLease(
    lease, [done = std::move(aDone)](const Result<bool>&) { done(); });
}

StoreLeaseId
LeaseSession::Lease() const
{
  const std::lock_guard lock(mutex_);
  return registered_ && keeper_.Holds(clock_.Now()) ? lease_ : 0;
}

TimePoint
LeaseSession::ExpiresAt() const
{
  const std::lock_guard lock(mutex_);
  return keeper_.Granted() ? keeper_.StopAt() + options_.margin_ : TimePoint{};
}

void
LeaseSession::Step()
{
  LeaseStep step = LeaseStep::Wait;
  const TimePoint now = clock_.Now();
  bool registers = false;
  {
    const std::lock_guard lock(mutex_);
    if (leaving_) {
      return;
    }
    step = keeper_.Next(now);
    registers = keeper_.Granted() && !registered_ && !registering_;
  }
  if (step == LeaseStep::Grant) {
    Grant(now);
  } else if (step == LeaseStep::KeepAlive) {
    KeepAlive(now);
  }
  if (registers) {
    Register();
  }
}

void
LeaseSession::Grant(TimePoint aSentAt)
{
  store_.GrantLease(settings_.leaseTtl_,
                    [this, aSentAt](const Result<StoreLease>& aGrant) {
                      OnGranted(aGrant, aSentAt);
                    });
}

void
LeaseSession::OnGranted(const Result<StoreLease>& aGrant, TimePoint aSentAt)
{
  bool taken = false;
  {
    const std::lock_guard lock(mutex_);
    const auto answer = aGrant ? LeaseAnswer::Confirmed : LeaseAnswer::Unknown;
    taken = keeper_.OnAnswer(answer, aSentAt, clock_.Now());
    if (taken && aGrant) {
      lease_ = aGrant.value().id_;
      registered_ = false;
    }
  }
  if (taken && aGrant) {
    Register();
  } else if (aGrant) {
    // The grant was no longer expected, so the lease is unused.
    store_.RevokeLease(aGrant.value().id_, [](const Result<bool>&) {});
  }
}

void
LeaseSession::KeepAlive(TimePoint aSentAt)
{
  StoreLeaseId lease = 0;
  {
    const std::lock_guard lock(mutex_);
    lease = lease_;
  }
  store_.KeepAlive(lease, [this, aSentAt](const Result<StoreLease>& aKept) {
    OnRenewed(aKept, aSentAt);
  });
}

void
LeaseSession::OnRenewed(const Result<StoreLease>& aKept, TimePoint aSentAt)
{
  LeaseAnswer answer = LeaseAnswer::Unknown;
  if (aKept) {
    answer = aKept.value().ttl_ > Duration::zero() ? LeaseAnswer::Confirmed
                                                   : LeaseAnswer::Gone;
  } else if (aKept.error().kind_ == ErrorKind::NotFound) {
    answer = LeaseAnswer::Gone;
  }
  {
    const std::lock_guard lock(mutex_);
    if (!keeper_.OnAnswer(answer, aSentAt, clock_.Now()) ||
        answer != LeaseAnswer::Gone) {
      return;
    }
    lease_ = 0;
    registered_ = false;
  }
  LogEvent(LogLevel::Warn, "lease_lapsed");
  Step();
}

void
LeaseSession::Register()
{
  StoreTxn txn;
  StoreLeaseId lease = 0;
  {
    const std::lock_guard lock(mutex_);
    if (registering_ || lease_ == 0) {
      return;
    }
    registering_ = true;
    lease = lease_;
  }
  txn.puts_.push_back({ key_, value_, lease });
  store_.Commit(std::move(txn),
                [this, lease](const Result<StoreCommit>& aCommit) {
                  const std::lock_guard lock(mutex_);
                  registering_ = false;
                  if (aCommit && lease == lease_) {
                    registered_ = true;
                    LogEvent(LogLevel::Info, "registered");
                  }
                });
}

} // namespace marjoramtally
