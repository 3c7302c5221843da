/// Cluster membership of this process: its lease and record in the store,
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

/// Store keys of the records that change at run time.
inline constexpr std::string_view kLivePrefix = "/marjoramtally/live/";
inline constexpr std::string_view kInstancePrefix =
  "/marjoramtally/live/instances/";
inline constexpr std::string_view kOwnerPrefix = "/marjoramtally/live/owners/";
inline constexpr std::string_view kVersionPrefix =
  "/marjoramtally/live/versions/";
/// Roles of a service's engines, as set by the owner of its allocation.
inline constexpr std::string_view kRolePrefix = "/marjoramtally/live/roles/";
/// The role of engines that serve live callers.
inline constexpr std::string_view kLiveRole = "live";

/// Record under which a process registers itself.
struct InstanceRecord
{
  InstanceId id_;
  /// `entry` or `control`.
  std::string role_;
  ZoneId zone_;
  std::string http_;
  std::string rpc_;
};

/// Owner of a duty; the term is its fencing number.
struct OwnerRecord
{
  InstanceId owner_;
  std::string rpc_;
  FencingNumber term_;
  /// The store deletes the record when this lease expires.
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

  /// Receives the RPC addresses from the store's records; set before `Start`.
  SeedListener onSeeds_;

  /// Registers this process and starts to refresh the view.
  void Start(InstanceRecord aSelf);
  /// Removes this process's record from the store.
  void Leave(std::function<void()> aDone);
  [[nodiscard]] ClusterViewPtr View() const;
  [[nodiscard]] const InstanceRecord& Self() const noexcept { return self_; }
  /// @returns the session lease if this instance is registered and the lease
  /// has not expired, else 0
  [[nodiscard]] StoreLeaseId Lease() const { return session_.Lease(); }
  /// @returns the time until which the session lease is certain to be valid:
  /// the send time of the last confirmed renewal plus the time to live
  [[nodiscard]] TimePoint LeaseUntil() const { return session_.ExpiresAt(); }
  /// Adds a listener that is called after each change of the view and once
  /// per refresh period.
  void OnRefresh(std::function<void(const ClusterViewPtr&)> aListener);
  /// Updates the view's rules if the revision is higher; otherwise ignored.
  void SetRules(std::shared_ptr<const Rules> aRules);
  /// Replaces the view's instances by the members known to gossip.
  void SetMembers(const std::vector<Member>& aMembers);
  /// Reads all records from the store again, immediately.
  void Refresh();
  /// The live records and the watch that keeps them current.
  [[nodiscard]] LiveRecords& Records() noexcept { return records_; }

private:
  void ApplyRecords(const LiveRecordMap& aRecords);
  /// For role records that are unreadable, uses the last readable ones.
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
  /// The last readable role records.
  LiveRecordMap roles_;
  ClusterViewPtr view_ = std::make_shared<ClusterView>();
  std::vector<std::function<void(const ClusterViewPtr&)>> listeners_;
};

} // namespace marjoramtally
