#include "daemon/cluster.hpp"

#include "marjoramtally/base/json.hpp"

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
ReadRoles(const Json& aBody, ClusterView& aView)
{
  for (const auto& [engine, role] : aBody.items()) {
    if (role.is_string()) {
      aView.roles_[UpstreamId{ engine }] = role.get<std::string>();
    }
  }
}

/// @returns a field's text, empty if missing; nothing if it is not a string
std::optional<std::string>
ReadText(const Json& aBody, const char* aField)
{
  const auto field = aBody.find(aField);
  if (field == aBody.end()) {
    return std::string();
  }
  return field->is_string() ? std::optional(field->get<std::string>())
                            : std::nullopt;
}

bool
ReadInstance(const Json& aBody, std::vector<std::string>& aSeeds)
{
  auto rpc = ReadText(aBody, "rpc");
  if (rpc && !rpc->empty()) {
    aSeeds.push_back(std::move(*rpc));
  }
  return rpc.has_value();
}

bool
ReadVersion(const std::string& aModel, const Json& aBody, ClusterView& aView)
{
  const auto version = aBody.find("version");
  if (version == aBody.end() || !version->is_number_unsigned()) {
    return false;
  }
  aView.versions_[aModel] = WeightVersion{ version->get<std::uint64_t>() };
  return true;
}

bool
ReadOwner(const StoreRecord& aRecord, ClusterView& aView)
{
  auto owner = ReadDutyOwner(aRecord);
  if (owner) {
    aView.owners_.emplace(aRecord.key_.substr(kOwnerPrefix.size()),
                          std::move(*owner));
  }
  return owner.has_value();
}

/// Parses one store record into the view.
/// @returns whether the record was readable
bool
ReadRecord(const StoreRecord& aRecord,
           ClusterView& aView,
           std::vector<std::string>& aSeeds)
{
  const Json body = ParseJsonOrDiscarded(aRecord.value_);
  if (!body.is_object()) {
    return false;
  }
  const std::string& key = aRecord.key_;
  if (key.starts_with(kInstancePrefix)) {
    return ReadInstance(body, aSeeds);
  }
  if (key.starts_with(kOwnerPrefix)) {
    return ReadOwner(aRecord, aView);
  }
  if (key.starts_with(kVersionPrefix)) {
    return ReadVersion(key.substr(kVersionPrefix.size()), body, aView);
  }
  if (key.starts_with(kRolePrefix)) {
    ReadRoles(body, aView);
  }
  return true;
}

} // namespace

/// The record may come from any writer. Field types are checked, because an
/// exception in the store's callback would not be caught.
std::optional<OwnerRecord>
ReadDutyOwner(const StoreRecord& aRecord)
{
  const Json body = ParseJsonOrDiscarded(aRecord.value_);
  if (!body.is_object()) {
    return std::nullopt;
  }
  auto owner = ReadText(body, "owner");
  auto rpc = ReadText(body, "rpc");
  if (!owner || owner->empty() || !rpc) {
    return std::nullopt;
  }
  OwnerRecord record;
  record.owner_ = InstanceId{ std::move(*owner) };
  record.rpc_ = std::move(*rpc);
  record.term_ = FencingNumber{ aRecord.createRevision_ };
  record.lease_ = aRecord.lease_;
  return record;
}

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
    ApplyRecords(aRecords);
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
Cluster::ApplyRecords(const LiveRecordMap& aRecords)
{
  ClusterView read;
  std::vector<std::string> seeds;
  std::set<std::string> unreadable;
  for (const auto& [key, record] : aRecords) {
    if (!ReadRecord(record, read, seeds)) {
      LogEvent(LogLevel::Warn, "store_record_unreadable", { { "key", key } });
      unreadable.insert(key);
    }
  }
  KeepLastReadableRoles(aRecords, unreadable, read);
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

/// An engine without an allocated role falls back to the role in its rule and
/// would be ordered to switch to it.
void
Cluster::KeepLastReadableRoles(const LiveRecordMap& aRecords,
                               const std::set<std::string>& aUnreadable,
                               ClusterView& aView)
{
  const std::lock_guard lock(mutex_);
  LiveRecordMap roles;
  for (const auto& [key, record] : aRecords) {
    if (!key.starts_with(kRolePrefix)) {
      continue;
    }
    if (!aUnreadable.contains(key)) {
      roles.emplace(key, record);
      continue;
    }
    const auto known = roles_.find(key);
    if (known != roles_.end()) {
      ReadRoles(ParseJson(known->second.value_), aView);
      roles.insert(*known);
    }
  }
  roles_ = std::move(roles);
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

/// Publishes a changed copy of the view and notifies the listeners.
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
