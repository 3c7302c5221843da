#include "programs/controld/owners.hpp"

#include <nlohmann/json.hpp>

namespace marjoramtally {

void
Owners::Acquire(const std::string& aDuty,
                std::function<void(Result<Ownership>)> aDone)
{
  const InstanceId self = host_.ClusterState().Self().id_;
  const auto view = host_.ClusterState().View();
  const auto owner = view->owners_.find(aDuty);
  std::optional<Ownership> known;
  {
    const std::lock_guard lock(mutex_);
    const auto mine = mine_.find(aDuty);
    if (owner == view->owners_.end()) {
      if (mine != mine_.end()) {
        mine_.erase(mine);
      }
    } else if (owner->second.owner_ == self) {
      mine_[aDuty] = owner->second.term_;
      known = Ownership{ true, owner->second.term_, {} };
    } else {
      mine_.erase(aDuty);
      known = Ownership{ false, {}, owner->second.rpc_ };
    }
  }
  if (known) {
    aDone(*known);
    return;
  }
  Create(aDuty, std::move(aDone));
}

std::optional<FencingNumber>
Owners::RetainedTerm(const std::string& aDuty)
{
  const auto view = host_.ClusterState().View();
  const std::lock_guard lock(mutex_);
  const auto mine = mine_.find(aDuty);
  if (view->owners_.contains(aDuty) || mine == mine_.end()) {
    return std::nullopt;
  }
  return mine->second;
}

void
Owners::AcquireOrKeep(const std::string& aDuty,
                      std::function<void(Result<Ownership>)> aDone)
{
  const auto term = RetainedTerm(aDuty);
  if (!term) {
    Acquire(aDuty, std::move(aDone));
    return;
  }
  bool renew = false;
  {
    const std::lock_guard lock(mutex_);
    renew = renewing_.insert(aDuty).second;
  }
  if (renew) {
    Renew(aDuty, *term);
  }
  aDone(Ownership{ true, *term, {} });
}

void
Owners::Renew(const std::string& aDuty, FencingNumber aTerm)
{
  Create(aDuty, [this, aDuty, aTerm](const Result<Ownership>& aOwnership) {
    {
      const std::lock_guard lock(mutex_);
      renewing_.erase(aDuty);
      if (aOwnership && !aOwnership.value().mine_) {
        mine_.erase(aDuty);
      }
    }
    const bool renewed = aOwnership && aOwnership.value().mine_ &&
                         aOwnership.value().term_ != aTerm;
    if (renewed) {
      LogEvent(LogLevel::Warn, "owner_record_renewed", { { "duty", aDuty } });
    }
    host_.ClusterState().Refresh();
  });
}

bool
Owners::Lost(const std::string& aDuty)
{
  const auto view = host_.ClusterState().View();
  const auto owner = view->owners_.find(aDuty);
  const bool lost = owner != view->owners_.end() &&
                    owner->second.owner_ != host_.ClusterState().Self().id_;
  if (lost) {
    const std::lock_guard lock(mutex_);
    mine_.erase(aDuty);
  }
  return lost;
}

void
Owners::Create(const std::string& aDuty,
               std::function<void(Result<Ownership>)> aDone)
{
  const StoreLeaseId lease = host_.ClusterState().Lease();
  if (lease == 0) {
    aDone(Error{ ErrorKind::Unavailable, "no lease at the store" });
    return;
  }
  const InstanceRecord& self = host_.ClusterState().Self();
  const nlohmann::json value{ { "owner", self.id_.Get() },
                              { "rpc", self.rpc_ } };
  const std::string key = std::string(kOwnerPrefix) + aDuty;
  StoreTxn txn;
  txn.compares_.push_back({ key, 0 });
  txn.puts_.push_back({ key, value.dump(), lease });
  host_.PlatformStore().Commit(std::move(txn),
                               [this, aDuty, done = std::move(aDone)](
                                 const Result<StoreCommit>& aCommit) mutable {
                                 if (!aCommit && aCommit.error().kind_ ==
                                                   ErrorKind::Unavailable) {
                                   done(aCommit.error());
                                   return;
                                 }
                                 ReadBack(aDuty, std::move(done));
                               });
}

void
Owners::ReadBack(const std::string& aDuty,
                 std::function<void(Result<Ownership>)> aDone)
{
  const std::string key = std::string(kOwnerPrefix) + aDuty;
  host_.PlatformStore().Read(
    key,
    [this, aDuty, key, done = std::move(aDone)](
      const Result<StoreRange>& aRead) {
      if (!aRead) {
        done(aRead.error());
        return;
      }
      for (const StoreRecord& record : aRead.value().records_) {
        if (record.key_ != key) {
          continue;
        }
        const auto owner = ReadDutyOwner(record);
        if (!owner) {
          LogEvent(
            LogLevel::Error, "store_record_unreadable", { { "key", key } });
          done(
            Error{ ErrorKind::Unavailable,
                   "the record of the owner of " + aDuty + " cannot be read" });
          return;
        }
        Ownership ownership;
        ownership.mine_ = owner->owner_ == host_.ClusterState().Self().id_;
        ownership.owner_ = owner->rpc_;
        ownership.term_ = owner->term_;
        if (ownership.mine_) {
          const std::lock_guard lock(mutex_);
          mine_[aDuty] = ownership.term_;
        }
        done(ownership);
        return;
      }
      done(Error{ ErrorKind::Unavailable, "the duty has no owner yet" });
    });
}

} // namespace marjoramtally
