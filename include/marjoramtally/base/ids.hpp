/// Identifiers used across subsystems.
#pragma once

#include "marjoramtally/base/strong.hpp"

namespace marjoramtally {

/// An instance that runs a process of this system, as named in its settings.
using InstanceId = Strong<std::string, struct InstanceTag>;
/// An availability zone.
using ZoneId = Strong<std::string, struct ZoneTag>;
/// A service (a model or a plain service) that callers request.
using ServiceId = Strong<std::string, struct ServiceTag>;
/// A process that answers requests for a service.
using UpstreamId = Strong<std::string, struct UpstreamTag>;
/// Start time of an upstream in Unix milliseconds, by its own clock. Together
/// with the upstream id it identifies one incarnation; 0 if not reported.
using UpstreamStart = Strong<std::uint64_t, struct UpstreamStartTag>;
/// A customer; its callers and trainers authenticate with API keys.
using CustomerId = Strong<std::string, struct CustomerTag>;
/// A trainer, as named in the rules.
using TrainerId = Strong<std::string, struct TrainerTag>;
/// Request id chosen by the caller; the same for all resends of a request.
using RequestId = Strong<std::string, struct RequestTag>;
/// Identifies a non-idempotent request so that it runs at most once.
using IdempotencyKey = Strong<std::string, struct IdempotencyTag>;
/// A weight version of a model; increases with each new version of the model.
using WeightVersion = Strong<std::uint64_t, struct WeightVersionTag>;
/// A training step of a trainer; increases with each step.
using StepId = Strong<std::uint64_t, struct StepTag>;
/// Revision of the accepted configuration; increases with each accepted change.
using ConfigRevision = Strong<std::uint64_t, struct ConfigRevisionTag>;
/// Fencing number: store revision of the lease that it belongs to.
using FencingNumber = Strong<std::uint64_t, struct FencingTag>;

/// Identifies a sample by step, group and member. Several generations may be
/// candidates for one sample.
struct SampleId
{
  StepId step_;
  std::uint32_t group_ = 0;
  std::uint32_t member_ = 0;
  constexpr auto operator<=>(const SampleId&) const = default;
};

} // namespace marjoramtally
