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

/// State of an upstream, as it reports it.
struct UpstreamState
{
  ModelVersions served_;
  /// Prefetched versions, not necessarily served.
  ModelVersions loaded_;
  std::string role_;
  std::uint64_t running_ = 0;
  std::uint64_t queued_ = 0;
};

/// Kind of an order. Orders are absolute: they name the state to reach, so that
/// repeating one is safe.
enum class OrderKind
{
  Prefetch,
  Switch,
  Role,
};

/// Action: sends an order. Its result is reported as an `OrderEnd`.
struct SendOrder
{
  UpstreamId upstream_;
  /// Identifies the order when its end is reported.
  std::uint64_t number_ = 0;
  OrderKind kind_ = OrderKind::Prefetch;
  FencingNumber term_;
  std::string model_;
  WeightVersion version_;
  std::string role_;
  /// Time within which generations in progress may finish on the old weights.
  Duration drain_{ 0 };
  /// The order must not be sent after this time.
  TimePoint sendBy_ = kNever;
};

/// Action: reads an upstream's state.
struct ReadState
{
  UpstreamId upstream_;
};

enum class RolloutNoticeKind
{
  /// A failed order is retried.
  Retried,
  /// All attempts failed; the upstream stays in rotation with the version that
  /// it serves.
  LeftBehind,
  /// All attempts failed and no version is served, or the state cannot be read.
  OutOfRotation,
  BackInRotation,
  /// All wanted versions are served.
  Settled,
};

/// Action: reports a change of an upstream's rollout status to operators.
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
  /// The upstream reported a failure.
  Failed,
  /// The weight store refused to serve the weights for now.
  StoreBusy,
  /// The reply was lost; the order may have taken effect.
  Unknown,
  /// The deadline for sending had passed, or no byte was sent.
  NotSent,
};

/// @returns the name of a kind as used in orders and logs
[[nodiscard]] std::string_view
ToString(OrderKind aKind) noexcept;
[[nodiscard]] std::string_view
ToString(RolloutNoticeKind aKind) noexcept;

} // namespace marjoramtally
