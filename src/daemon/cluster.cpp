#include "daemon/cluster.hpp"

#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

std::string
FormatInstance(const InstanceRecord& aRecord)
{
  return Json{
    { "role", aRecord.role_ },
    { "zone", aRecord.zone_.Get() },
    { "http", aRecord.http_ },
    { "rpc", aRecord.rpc_ }
  }.dump();
}

void
TakeInstance(const std::string& aName, const Json& aBody, ClusterView& aView)
{
  InstanceRecord record;
  record.id_ = InstanceId{ aName };
  record.role_ = aBody.value("role", "");
  record.zone_ = ZoneId{ aBody.value("zone", "") };
  record.http_ = aBody.value("http", "");
  record.rpc_ = aBody.value("rpc", "");
  aView.instances_.emplace(record.id_, std::move(record));
}

void
TakeOwner(const std::string& aDuty,
          const Json& aBody,
          const StoreRecord& aRecord,
          ClusterView& aView)
{
  OwnerRecord record;
  record.owner_ = InstanceId{ aBody.value("owner", "") };
  record.rpc_ = aBody.value("rpc", "");
  record.term_ = FencingNumber{ aRecord.createRevision_ };
  record.lease_ = aRecord.lease_;
  aView.owners_.emplace(aDuty, std::move(record));
}

/// Sorts one record of the store into the view.
void
TakeRecord(const StoreRecord& aRecord, ClusterView& aView)
{
  const Json body = Json::parse(aRecord.value_, nullptr, false);
  if (!body.is_object()) {
    LogEvent(
      LogLevel::Warn, "store_record_unreadable", { { "key", aRecord.key_ } });
    return;
  }
  const std::string& key = aRecord.key_;
  if (key.starts_with(kInstancePrefix)) {
    TakeInstance(key.substr(kInstancePrefix.size()), body, aView);
  } else if (key.starts_with(kOwnerPrefix)) {
    TakeOwner(key.substr(kOwnerPrefix.size()), body, aRecord, aView);
  } else if (key.starts_with(kVersionPrefix)) {
    aView.versions_[key.substr(kVersionPrefix.size())] =
      WeightVersion{ body.value("version", std::uint64_t{ 0 }) };
  }
}

} // namespace

Cluster::Cluster(const DaemonSettings& aSettings,
                 Store& aStore,
                 Timers& aTimers)
  : settings_(aSettings)
  , store_(aStore)
  , timers_(aTimers)
{
}

void
Cluster::Start(InstanceRecord aSelf)
{
  self_ = std::move(aSelf);
  EnsureLease();
  Refresh();
  constexpr int kHeartbeatsPerTtl = 3;
  timers_.Every(settings_.leaseTtl_ / kHeartbeatsPerTtl,
                [this] { EnsureLease(); });
  timers_.Every(settings_.refresh_, [this] { Refresh(); });
}

void
Cluster::Leave(std::function<void()> aDone)
{
  leaving_ = true;
  const StoreLeaseId lease = lease_.exchange(0);
  store_.RevokeLease(
    lease, [done = std::move(aDone)](const Result<bool>&) { done(); });
}

ClusterViewPtr
Cluster::View() const
{
  const std::lock_guard lock(mutex_);
  return view_;
}

void
Cluster::OnRefresh(std::function<void(const ClusterViewPtr&)> aListener)
{
  const std::lock_guard lock(mutex_);
  listeners_.push_back(std::move(aListener));
}

void
Cluster::EnsureLease()
{
  if (leaving_) {
    return;
  }
  const StoreLeaseId lease = lease_;
  const TimePoint askedAt = clock_.Now();
  if (lease == 0) {
    store_.GrantLease(settings_.leaseTtl_,
                      [this, askedAt](const Result<StoreLease>& aGrant) {
                        if (aGrant && !leaving_) {
                          Register(aGrant.value(), askedAt);
                        }
                      });
    return;
  }
  store_.KeepAlive(
    lease, [this, lease, askedAt](const Result<StoreLease>& aKept) {
      if (aKept && aKept.value().ttl_ > Duration::zero() && lease_ == lease) {
        leaseUntil_ = (askedAt + aKept.value().ttl_).sinceStart_.count();
      }
      const bool lapsed = aKept ? aKept.value().ttl_ <= Duration::zero()
                                : aKept.error().kind_ == ErrorKind::NotFound;
      StoreLeaseId expected = lease;
      if (lapsed && lease_.compare_exchange_strong(expected, 0)) {
        LogEvent(LogLevel::Warn, "lease_lapsed");
        EnsureLease();
      }
    });
}

void
Cluster::Register(const StoreLease& aLease, TimePoint aAskedAt)
{
  StoreTxn txn;
  txn.puts_.push_back({ std::string(kInstancePrefix) + self_.id_.Get(),
                        FormatInstance(self_),
                        aLease.id_ });
  store_.Commit(std::move(txn),
                [this, aLease, aAskedAt](const Result<StoreCommit>& aCommit) {
                  if (aCommit) {
                    leaseUntil_ = (aAskedAt + aLease.ttl_).sinceStart_.count();
                    lease_ = aLease.id_;
                    LogEvent(LogLevel::Info, "registered");
                  }
                });
}

void
Cluster::Refresh()
{
  store_.Read(std::string(kLivePrefix),
              [this](const Result<StoreRange>& aRead) {
                if (!aRead) {
                  LogEvent(LogLevel::Warn,
                           "store_read_failed",
                           { { "error", aRead.error().message_ } });
                  return;
                }
                TakeLive(aRead.value());
              });
}

void
Cluster::TakeLive(const StoreRange& aRange)
{
  ClusterView next;
  for (const StoreRecord& record : aRange.records_) {
    TakeRecord(record, next);
  }
  const ClusterViewPtr before = View();
  for (const auto& [model, version] : before->versions_) {
    WeightVersion& known = next.versions_[model];
    known = std::max(known, version);
  }
  Publish(std::move(next));
}

void
Cluster::SetRules(std::shared_ptr<const Rules> aRules)
{
  {
    const std::lock_guard lock(mutex_);
    if (rules_->revision_ >= aRules->revision_) {
      return;
    }
    rules_ = std::move(aRules);
  }
  Publish(*View());
}

void
Cluster::Publish(ClusterView aView)
{
  ClusterViewPtr view;
  std::vector<std::function<void(const ClusterViewPtr&)>> listeners;
  {
    const std::lock_guard lock(mutex_);
    aView.rules_ = rules_;
    view = std::make_shared<const ClusterView>(std::move(aView));
    view_ = view;
    listeners = listeners_;
  }
  for (const auto& listener : listeners) {
    listener(view);
  }
}

} // namespace marjoramtally
