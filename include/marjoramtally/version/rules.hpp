/// The operators' rules, checked.
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
  /// Time a live caller waits unless it says otherwise.
  Duration deadline_ = std::chrono::seconds(2);
  /// Requests in flight at one upstream.
  std::uint64_t upstreamLimit_ = 64;
  /// Percent of its upstreams that keep answering while weights change.
  std::uint64_t floor_ = 50;
  /// Most upstreams that switch weights at once; 0 leaves it to the floor.
  std::uint64_t wave_ = 0;
  /// Generations in progress end on the old weights for so long at a
  /// switch; 0 resumes them on the new ones.
  Duration drain_{ 0 };
  /// Whether engines are shared out among its live callers and trainers by
  /// orders of role.
  bool allocate_ = false;
  /// Engines that live callers have at least and at most.
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
  /// Whether it refuses orders with an old fencing number.
  bool fencing_ = true;
  /// Role that it is ordered to have, unless the service allocates roles.
  std::string role_;
  /// Set by operators to take it out of service.
  bool leaving_ = false;
};

/// `[trainer NAME]`
struct TrainerRule
{
  TrainerId id_;
  std::string service_;
  /// Model or adapter that it trains.
  std::string model_;
  /// Versions a delivered sample may be behind.
  std::uint64_t staleness_ = 1;
  /// Time since the oldest version of a delivered sample was superseded;
  /// zero sets no bound.
  Duration stalenessAge_{ 0 };
  /// `idle` or `freshness`: which goes first, and so how far generation
  /// leads the trainer.
  std::string policy_ = "idle";
  /// Share among trainers.
  std::uint64_t weight_ = 1;
  /// Generations in flight at once.
  std::uint64_t inFlight_ = 64;
  /// `IP:port` of the scoring service; empty for none.
  std::string scorer_;
  /// SHA-256 of its bearer token, in hexadecimal digits; empty needs none.
  std::string tokenHash_;
  /// Engines that it has at least and at most where the service allocates.
  std::uint64_t enginesFloor_ = 0;
  std::uint64_t enginesCeiling_ = 100'000;
};

/// An operator, as named in the rules.
using OperatorId = Strong<std::string, struct OperatorTag>;

/// `[operator NAME]`: who may change rules through a daemon.
struct OperatorRule
{
  OperatorId id_;
  /// SHA-256 of the bearer token, in hexadecimal digits.
  std::string tokenHash_;
};

/// `[class NAME]`, where the name is live, trainer or background: limits of
/// one class of callers; percentages.
struct ClassLimits
{
  /// Slots at upstreams that other classes leave free; of live callers.
  std::uint64_t reserve_ = 0;
  /// Least share of dispatches while some wait; of background callers.
  std::uint64_t share_ = 0;
  /// Requests that may wait.
  std::uint64_t queue_ = 100'000;
};

/// Limits of all classes, by class.
using AllClassLimits = std::array<ClassLimits, kRequestClasses>;

/// Limits that hold where the rules say nothing.
inline constexpr AllClassLimits kDefaultClassLimits{
  ClassLimits{ .reserve_ = 10 },
  ClassLimits{},
  ClassLimits{ .share_ = 2 }
};

/// `[weight-store]`
struct WeightStoreRule
{
  std::string address_;
  /// Loads from it at once.
  std::uint64_t parallelLoads_ = 64;
  /// Loads that may start in a second, by all instances together.
  std::uint64_t rate_ = 50;
};

/// `[orders]`: bounds on time for upstreams that ignore fencing numbers.
struct OrdersRule
{
  /// Covers the transmission of an order and the drift between clocks.
  Duration margin_ = std::chrono::milliseconds(500);
  /// Longest time in which an order that was received takes effect.
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

/// @returns whether any rules were read; before that they do not say what there
/// is, so that nothing may be denied by them
[[nodiscard]] inline bool
IsLoaded(const Rules& aRules) noexcept
{
  return aRules.revision_ != ConfigRevision{ 0 };
}

/// One file of the rules folder.
struct RulesFile
{
  std::string name_;
  std::string text_;
  auto operator<=>(const RulesFile&) const = default;
};

/// Merges files in the order of their names; a later file overrides key by
/// key.
[[nodiscard]] Checked<IniDocument>
MergeRulesFiles(std::vector<RulesFile> aFiles);

/// One place that sets a key.
struct KeyOrigin
{
  std::string section_;
  std::string key_;
  IniValue value_;
};

/// Finds every place that sets a key, given as `KEY` or `SECTION.KEY`, by
/// section; of one key the last place is in force.
[[nodiscard]] std::vector<KeyOrigin>
ExplainKey(std::vector<RulesFile> aFiles, std::string_view aKey);

/// Checks a merged document.
/// @returns the rules or every finding
[[nodiscard]] Checked<Rules>
BuildRules(const IniDocument& aMerged);

} // namespace marjoramtally
