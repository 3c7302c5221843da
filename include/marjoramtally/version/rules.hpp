/// The operators' rules: their structure, parsing and validation.
#pragma once

#include "marjoramtally/base/fields.hpp"
#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/request/request.hpp"

#include <array>
#include <map>
#include <vector>

namespace marjoramtally {

/// `[service NAME]`
struct ServiceRule
{
  ServiceId id_;
  /// `engine` or `plain`.
  std::string kind_ = "plain";
  /// Deadline of live requests that state none.
  Duration deadline_ = std::chrono::seconds(2);
  /// Maximum requests in flight at one upstream.
  std::uint64_t upstreamLimit_ = 64;
  /// Percentage of its upstreams that keep serving while weights change.
  std::uint64_t floor_ = 50;
  /// Maximum number of upstreams that switch weights at once; 0: only `floor_`
  /// limits it.
  std::uint64_t wave_ = 0;
  /// At a switch of weights, generations in progress may finish on the old
  /// weights for this long; 0 resumes them on the new ones.
  Duration drain_{ 0 };
  /// Whether its engines are allocated to live callers and trainers by role
  /// orders.
  bool allocate_ = false;
  /// Minimum and maximum number of engines allocated to live callers.
  std::uint64_t liveFloor_ = 1;
  std::uint64_t liveCeiling_ = 100'000;
};

/// `[upstream NAME]`
struct UpstreamRule
{
  UpstreamId id_;
  std::string service_;
  std::string zone_;
  /// `IP:port`
  std::string address_;
  /// Whether it rejects orders with an outdated fencing number.
  bool fencing_ = true;
  /// Role assigned to it, unless the service allocates roles.
  std::string role_;
  /// Set by operators to remove it from service.
  bool leaving_ = false;
};

/// `[trainer NAME]`
struct TrainerRule
{
  TrainerId id_;
  std::string service_;
  /// Model or adapter that it trains.
  std::string model_;
  /// Number of versions that a delivered sample may be behind.
  std::uint64_t staleness_ = 1;
  /// Maximum time since the oldest version of a delivered sample was
  /// superseded; zero for no bound.
  Duration stalenessAge_{ 0 };
  /// Name of the lead policy, which decides how far generation runs ahead of
  /// the trainer.
  std::string policy_ = "idle";
  /// Weight of this trainer when capacity is shared among trainers.
  std::uint64_t weight_ = 1;
  /// Maximum number of generations in flight.
  std::uint64_t inFlight_ = 64;
  /// `IP:port` of the scoring service; empty for none.
  std::string scorer_;
  /// SHA-256 of its bearer token, in hexadecimal digits; empty: no token is
  /// required.
  std::string tokenHash_;
  /// Minimum and maximum number of engines if the service allocates them.
  std::uint64_t enginesFloor_ = 0;
  std::uint64_t enginesCeiling_ = 100'000;
};

/// Identifies an operator by its name in the rules.
using OperatorId = Strong<std::string, struct OperatorTag>;

/// `[operator NAME]`: an operator that may change rules through a daemon.
struct OperatorRule
{
  OperatorId id_;
  /// SHA-256 of the bearer token, in hexadecimal digits.
  std::string tokenHash_;
};

/// `[class NAME]`, where NAME is live, trainer or background: limits of one
/// class of callers.
struct ClassLimits
{
  /// Percentage of upstream slots reserved for live callers.
  std::uint64_t reserve_ = 0;
  /// Minimum percentage of dispatches for background callers while any wait.
  std::uint64_t share_ = 0;
  /// Maximum number of queued requests.
  std::uint64_t queue_ = 100'000;
};

/// Limits of all classes, indexed by class.
using AllClassLimits = std::array<ClassLimits, kRequestClasses>;

/// Limits of classes that the rules do not set.
inline constexpr AllClassLimits kDefaultClassLimits{
  ClassLimits{ .reserve_ = 10 },
  ClassLimits{},
  ClassLimits{ .share_ = 2 }
};

/// `[weight-store]`
struct WeightStoreRule
{
  std::string address_;
  /// Maximum number of concurrent loads.
  std::uint64_t parallelLoads_ = 64;
  /// Maximum number of loads started per second by all instances together.
  std::uint64_t rate_ = 50;
};

/// `[orders]`: time bounds for upstreams that ignore fencing numbers.
struct OrdersRule
{
  /// Allowance for the transmission of an order and for clock drift.
  Duration margin_ = std::chrono::milliseconds(500);
  /// Maximum time for an order to take effect after it was received.
  Duration effect_ = std::chrono::milliseconds(500);
};

/// All rules of one revision.
struct Rules
{
  ConfigRevision revision_;
  std::map<ServiceId, ServiceRule> services_;
  std::map<UpstreamId, UpstreamRule> upstreams_;
  std::map<TrainerId, TrainerRule> trainers_;
  std::map<OperatorId, OperatorRule> operators_;
  WeightStoreRule weightStore_;
  AllClassLimits classes_ = kDefaultClassLimits;
  OrdersRule orders_;
};

/// @returns whether any revision was read; until then the rules are empty and
/// must not be used to reject requests
[[nodiscard]] inline bool
IsLoaded(const Rules& aRules) noexcept
{
  return aRules.revision_ != ConfigRevision{ 0 };
}

/// One file of the rules directory.
struct RulesFile
{
  std::string name_;
  std::string text_;
  auto operator<=>(const RulesFile&) const = default;
};

/// Merges files in order of their names; a later file overrides individual
/// keys.
[[nodiscard]] Checked<IniDocument>
MergeRulesFiles(std::vector<RulesFile> aFiles);

/// One assignment of a key.
struct KeyOrigin
{
  std::string section_;
  std::string key_;
  IniValue value_;
};

/// Finds every assignment of a key, given as `KEY` or `SECTION.KEY`, sorted by
/// section; the last assignment of a key is in force.
[[nodiscard]] std::vector<KeyOrigin>
ExplainKey(std::vector<RulesFile> aFiles, std::string_view aKey);

/// Builds rules from a merged document and validates them.
/// @returns the rules, or all findings
[[nodiscard]] Checked<Rules>
BuildRules(const IniDocument& aMerged);

} // namespace marjoramtally
