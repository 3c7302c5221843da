/// Events and actions of the rollout controller.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/ids.hpp"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace marjoramtally {

/// Versions by model or adapter.
using ModelVersions = std::map<std::string, WeightVersion>;

/// What an upstream says of itself when its state is read.
struct UpstreamState
{
  ModelVersions served_;
  /// Loaded ahead, not necessarily served.
  ModelVersions loaded_;
  std::string role_;
  std::uint64_t running_ = 0;
  std::uint64_t queued_ = 0;
};

/// Kind of an order. All are absolute: they name the state to be in.
enum class OrderKind
{
  Prefetch,
  Switch,
  Role,
};

/// Sends an order; its end comes back as an `OrderEnd`.
struct SendOrder
{
  UpstreamId upstream_;
  /// Names the order when its end is reported.
  std::uint64_t number_ = 0;
  OrderKind kind_ = OrderKind::Prefetch;
  FencingNumber term_;
  std::string model_;
  WeightVersion version_;
  std::string role_;
  /// Generations in progress may end on the old weights for so long.
  Duration drain_{ 0 };
  /// Not to be sent later than this.
  TimePoint sendBy_ = kNever;
};

/// Reads an upstream's state.
struct ReadState
{
  UpstreamId upstream_;
};

enum class RolloutNoticeKind
{
  /// A failed swap is tried again.
  Retried,
  /// Tries used up; it stays on a known version and in rotation.
  LeftBehind,
  /// Tries used up and no version is served, or its state cannot be read.
  OutOfRotation,
  BackInRotation,
  /// All wanted versions are served.
  Settled,
};

/// Tells operators of a turn.
struct RolloutNotice
{
  UpstreamId upstream_;
  RolloutNoticeKind kind_ = RolloutNoticeKind::Settled;
};

using RolloutAction = std::variant<SendOrder, ReadState, RolloutNotice>;
using RolloutActions = std::vector<RolloutAction>;

/// How an order ended.
enum class OrderEnd
{
  Done,
  /// The upstream has seen a higher fencing number.
  Refused,
  /// The upstream said that it failed.
  Failed,
  /// The weight store did not give the weights now.
  StoreBusy,
  /// The order may have taken effect: its answer was lost.
  Unknown,
  /// Too late to be sent, or no byte left.
  NotSent,
};

/// @returns the name of a kind as orders and logs spell it
[[nodiscard]] std::string_view
ToString(OrderKind aKind) noexcept;
[[nodiscard]] std::string_view
ToString(RolloutNoticeKind aKind) noexcept;

} // namespace marjoramtally
