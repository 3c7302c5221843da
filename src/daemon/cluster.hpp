/// This process's part in the cluster: its lease and record in the store,
/// and a view of instances, owners, weight versions and rules.
#pragma once

#include "daemon/lease_session.hpp"
#include "daemon/live_records.hpp"
#include "daemon/settings.hpp"
#include "marjoramtally/process/membership.hpp"
#include "marjoramtally/runtime.hpp"
#include "marjoramtally/version.hpp"

#include <memory>
#include <mutex>
#include <set>

namespace marjoramtally {

/// Keys in the store of what changes while the system runs.
inline constexpr std::string_view kLivePrefix = "/marjoramtally/live/";
inline constexpr std::string_view kInstancePrefix =
  "/marjoramtally/live/instances/";
inline constexpr std::string_view kOwnerPrefix = "/marjoramtally/live/owners/";
inline constexpr std::string_view kVersionPrefix =
  "/marjoramtally/live/versions/";
/// Roles of a service's engines, as its allocation's owner wants them.
inline constexpr std::string_view kRolePrefix = "/marjoramtally/live/roles/";
/// The role of engines that are for live callers.
inline constexpr std::string_view kLiveRole = "live";

/// One of our processes as it registers itself.
struct InstanceRecord
{
  InstanceId id_;
  /// `entry` or `control`.
  std::string role_;
  ZoneId zone_;
  std::string http_;
  std::string rpc_;
};

/// Who owns a duty; the term is its fencing number.
struct OwnerRecord
{
  InstanceId owner_;
  std::string rpc_;
  FencingNumber term_;
  /// The record lives as long as this lease.
  StoreLeaseId lease_ = 0;
};

/// @returns nothing if the record cannot be read
[[nodiscard]] std::optional<OwnerRecord>
ReadDutyOwner(const StoreRecord& aRecord);

/// An immutable view of the cluster.
struct ClusterView
{
  std::map<InstanceId, InstanceRecord> instances_;
  /// By duty, such as `trainer/NAME` or `upstream/NAME`.
  std::map<std::string, OwnerRecord> owners_;
  /// Announced weight version of each model.
  std::map<std::string, WeightVersion> versions_;
  /// Allocated role of each engine.
  std::map<UpstreamId, std::string> roles_;
  std::shared_ptr<const Rules> rules_ = std::make_shared<Rules>();
};

using ClusterViewPtr = std::shared_ptr<const ClusterView>;

/// Keeps the lease and the view. Owners and weight versions come from the
/// store's records, instances from membership. Thread-safe.
class Cluster
{
public:
  using SeedListener = std::function<void(std::vector<std::string>)>;

  /// All arguments outlive the cluster.
  Cluster(const DaemonSettings& aSettings, Store& aStore, Timers& aTimers);

  /// Given the RPC addresses in the store's records; set before `Start`.
  SeedListener onSeeds_;

  /// Registers this process and starts to refresh the view.
  void Start(InstanceRecord aSelf);
  /// Takes this process's record out of the store.
  void Leave(std::function<void()> aDone);
  [[nodiscard]] ClusterViewPtr View() const;
  [[nodiscard]] const InstanceRecord& Self() const noexcept { return self_; }
  /// @returns the session lease if this process may act by it now, else 0
  [[nodiscard]] StoreLeaseId Lease() const { return session_.Lease(); }
  /// @returns until when the session lease holds for certain: its time to
  /// live, counted from when its last confirmed renewal was sent
  [[nodiscard]] TimePoint LeaseUntil() const { return session_.Until(); }
  /// Called after each change of the view and every refresh period.
  void OnRefresh(std::function<void(const ClusterViewPtr&)> aListener);
  /// Puts rules of a higher revision into the view; others are ignored.
  void SetRules(std::shared_ptr<const Rules> aRules);
  /// Puts the instances that membership knows into the view.
  void SetMembers(const std::vector<Member>& aMembers);
  /// Reads the store's records anew now.
  void Refresh();
  /// Which instances watch the store, and what they saw change.
  [[nodiscard]] LiveRecords& Records() noexcept { return records_; }

private:
  void ApplyRecords(const LiveRecordMap& aRecords);
  /// Takes the last roles that could be read in place of those that cannot.
  void KeepLastReadableRoles(const LiveRecordMap& aRecords,
                             const std::set<std::string>& aUnreadable,
                             ClusterView& aView);
  void Update(const std::function<void(ClusterView&)>& aChange);

  const DaemonSettings& settings_;
  Timers& timers_;
  LeaseSession session_;
  LiveRecords records_;
  InstanceRecord self_;
  mutable std::mutex mutex_;
  /// Records of roles as they could last be read.
  LiveRecordMap roles_;
  ClusterViewPtr view_ = std::make_shared<ClusterView>();
  std::vector<std::function<void(const ClusterViewPtr&)>> listeners_;
};

} // namespace marjoramtally
