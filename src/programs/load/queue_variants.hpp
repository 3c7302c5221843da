/// Queue policies that use the library's admission with parts switched on and
/// off, and a route policy with a slot limit.
#pragma once

#include "programs/load/policies.hpp"

namespace marjoramtally::bench {

/// Fair-queueing weight of one trainer.
struct TrainerWeight
{
  TrainerId id_;
  std::uint64_t weight_ = 1;
};

/// One configuration of the admission queue.
struct QueueVariant
{
  std::string_view name_;
  AdmissionSettings settings_;
  /// Requests that one entry may have in flight on all engines together; 0 if
  /// unknown.
  std::uint64_t slots_ = 0;
};

/// Makes an admission queue of one variant.
[[nodiscard]] std::unique_ptr<QueuePolicy>
MakeAdmissionQueue(const QueueVariant& aVariant,
                   const std::vector<TrainerWeight>& aWeights);

/// Makes a policy that picks the engine with the fewest own requests in
/// flight, at most `kSlotsPerEngine` on each.
[[nodiscard]] std::unique_ptr<RoutePolicy>
MakeSlotPolicy(std::size_t aEngines, std::uint64_t aSeed);

/// Requests of one entry on one engine; six entries fill a batch of 48.
inline constexpr std::size_t kSlotsPerEngine = 8;

} // namespace marjoramtally::bench
