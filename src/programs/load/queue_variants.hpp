/// Queue policies of the decision bench that are our admission with parts
/// switched on and off, and a route policy with a slot limit.
#pragma once

#include "programs/load/policies.hpp"

namespace marjoramtally::bench {

/// Share of one trainer.
struct TrainerWeight
{
  TrainerId id_;
  std::uint64_t weight_ = 1;
};

/// One setting of the queue.
struct QueueVariant
{
  std::string_view name_;
  AdmissionSettings settings_;
  /// Requests that one entry may have at all engines together; 0 is unknown.
  std::uint64_t slots_ = 0;
};

/// Makes our queue in one variant.
[[nodiscard]] std::unique_ptr<QueuePolicy>
MakeAdmissionQueue(const QueueVariant& aVariant,
                   const std::vector<TrainerWeight>& aWeights);

/// Least own requests in flight, at most `kSlotsPerEngine` at each engine.
[[nodiscard]] std::unique_ptr<RoutePolicy>
MakeSlotPolicy(std::size_t aEngines, std::uint64_t aSeed);

/// Requests of one entry at one engine: six entries fill a batch of 48.
inline constexpr std::size_t kSlotsPerEngine = 8;

} // namespace marjoramtally::bench
