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

void
TakeRoles(const Json& aBody, ClusterView& aView)
{
  for (const auto& [engine, role] : aBody.items()) {
    if (role.is_string()) {
      aView.roles_[UpstreamId{ engine }] = role.get<std::string>();
    }
  }
}

/// Sorts one record of the store into the view.
void
TakeRecord(const StoreRecord& aRecord,
           ClusterView& aView,
           std::vector<std::string>& aSeeds)
{
  const Json body = Json::parse(aRecord.value_, nullptr, false);
  if (!body.is_object()) {
    LogEvent(
      LogLevel::Warn, "store_record_unreadable", { { "key", aRecord.key_ } });
    return;
  }
  const std::string& key = aRecord.key_;
  if (key.starts_with(kInstancePrefix)) {
    const std::string rpc = body.value("rpc", "");
    if (!rpc.empty()) {
      aSeeds.push_back(rpc);
    }
  } else if (key.starts_with(kOwnerPrefix)) {
    TakeOwner(key.substr(kOwnerPrefix.size()), body, aRecord, aView);
  } else if (key.starts_with(kRolePrefix)) {
    TakeRoles(body, aView);
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
  , timers_(aTimers)
  , session_(aSettings, aStore, aTimers)
  , records_(aSettings,
             aStore,
             aTimers,
             std::string(kLivePrefix),
             { std::string(kOwnerPrefix),
               std::string(kVersionPrefix),
               std::string(kRolePrefix) })
{
}

void
Cluster::Start(InstanceRecord aSelf)
{
  self_ = std::move(aSelf);
  session_.Start(std::string(kInstancePrefix) + self_.id_.Get(),
                 FormatInstance(self_));
  records_.onRecords_ = [this](const LiveRecordMap& aRecords) {
    TakeRecords(aRecords);
  };
  records_.Start();
  timers_.Every(settings_.refresh_, [this] { Update({}); });
}

void
Cluster::Leave(std::function<void()> aDone)
{
  session_.Leave(std::move(aDone));
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
Cluster::Refresh()
{
  records_.ReadAll();
}

void
Cluster::TakeRecords(const LiveRecordMap& aRecords)
{
  ClusterView read;
  std::vector<std::string> seeds;
  for (const auto& [key, record] : aRecords) {
    TakeRecord(record, read, seeds);
  }
  if (onSeeds_) {
    onSeeds_(std::move(seeds));
  }
  Update([&read](ClusterView& aView) {
    aView.owners_ = std::move(read.owners_);
    aView.roles_ = std::move(read.roles_);
    for (const auto& [model, version] : read.versions_) {
      WeightVersion& known = aView.versions_[model];
      known = std::max(known, version);
    }
  });
}

void
Cluster::SetMembers(const std::vector<Member>& aMembers)
{
  Update([&aMembers](ClusterView& aView) {
    aView.instances_.clear();
    for (const Member& member : aMembers) {
      aView.instances_[member.id_] = {
        member.id_, member.role_, member.zone_, member.http_, member.rpc_
      };
    }
  });
}

void
Cluster::SetRules(std::shared_ptr<const Rules> aRules)
{
  Update([&aRules](ClusterView& aView) {
    if (aRules->revision_ > aView.rules_->revision_) {
      aView.rules_ = std::move(aRules);
    }
  });
}

/// Changes a copy of the view, puts it in place and tells the listeners.
void
Cluster::Update(const std::function<void(ClusterView&)>& aChange)
{
  ClusterViewPtr view;
  std::vector<std::function<void(const ClusterViewPtr&)>> listeners;
  {
    const std::lock_guard lock(mutex_);
    if (aChange) {
      auto next = std::make_shared<ClusterView>(*view_);
      aChange(*next);
      view_ = std::move(next);
    }
    view = view_;
    listeners = listeners_;
  }
  for (const auto& listener : listeners) {
    listener(view);
  }
}

} // namespace marjoramtally
