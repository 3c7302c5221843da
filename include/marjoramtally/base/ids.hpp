/// The identifiers that cross subsystems.
#pragma once

#include "marjoramtally/base/strong.hpp"

namespace marjoramtally {

/// One of our processes' host, as named in its settings.
using InstanceId = Strong<std::string, struct InstanceTag>;
/// An availability zone.
using ZoneId = Strong<std::string, struct ZoneTag>;
/// A service (a model or a plain service) that callers ask for.
using ServiceId = Strong<std::string, struct ServiceTag>;
/// One process that answers requests of a service.
using UpstreamId = Strong<std::string, struct UpstreamTag>;
/// When an upstream started, in Unix milliseconds by its own clock. Together
/// with its id it names one incarnation; 0: it does not say.
using UpstreamStart = Strong<std::uint64_t, struct UpstreamStartTag>;
/// A customer whose callers and trainers send requests under keys.
using CustomerId = Strong<std::string, struct CustomerTag>;
/// A trainer, as named in the rules.
using TrainerId = Strong<std::string, struct TrainerTag>;
/// One request as its caller knows it, stable over resends.
using RequestId = Strong<std::string, struct RequestTag>;
/// Names a non-idempotent request so that it runs at most once.
using IdempotencyKey = Strong<std::string, struct IdempotencyTag>;
/// A weight version of a model; versions of one model grow.
using WeightVersion = Strong<std::uint64_t, struct WeightVersionTag>;
/// A training step of one trainer; steps grow.
using StepId = Strong<std::uint64_t, struct StepTag>;
/// Revision of the accepted configuration; grows with each acceptance.
using ConfigRevision = Strong<std::uint64_t, struct ConfigRevisionTag>;
/// Fencing number: the store's revision of the lease that it belongs to.
using FencingNumber = Strong<std::uint64_t, struct FencingTag>;

/// Identity of a sample: a generation is a candidate for it.
struct SampleId
{
  StepId step_;
  std::uint32_t group_ = 0;
  std::uint32_t member_ = 0;
  constexpr auto operator<=>(const SampleId&) const = default;
};

} // namespace marjoramtally
