/// Messages between entry and control about trainers and generations.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/result.hpp"
#include "marjoramtally/version/step_ledger.hpp"

#include <variant>

namespace marjoramtally {

/// Opens a step; idempotent.
struct OpenStep
{
  StepSpec spec_;
};

/// Takes samples; waits up to `wait_` for the first one.
struct TakeSamples
{
  TakeSpec spec_;
  Duration wait_{ 0 };
};

/// Announces that new weights are available in the weight store.
struct AnnounceVersion
{
  WeightVersion version_;
};

/// Ends a step.
struct CloseStep
{
  StepId step_;
};

/// Requests the progress of the open steps.
struct GetProgress
{};

using TrainerOperation =
  std::variant<OpenStep, TakeSamples, AnnounceVersion, CloseStep, GetProgress>;

/// One operation of a trainer.
struct TrainerRequest
{
  TrainerId trainer_;
  TrainerOperation operation_;
};

/// Reply to a `TrainerRequest`.
struct TrainerReply
{
  FencingNumber term_;
  /// Number of the take request that this is the reply to.
  std::uint64_t number_ = 0;
  TakeResult taken_;
  /// Newest announced weight version.
  WeightVersion announced_;
  /// Progress of the steps that are open at the owner.
  std::vector<StepProgress> progress_;
  /// RPC address of the owner if another process owns the trainer; then all
  /// other fields are unset.
  std::string redirect_;
};

/// Requests one generation from an entry.
struct GenerateRequest
{
  TrainerId trainer_;
  ServiceId service_;
  std::string model_;
  SampleId sample_;
  WeightVersion minVersion_;
  std::uint32_t maxTokens_ = 0;
  std::string prompt_;
};

/// One generation as the engine reported it.
struct GenerateReply
{
  std::string text_;
  std::uint32_t tokens_ = 0;
  std::vector<VersionSpan> spans_;
  UpstreamId upstream_;
};

[[nodiscard]] std::string
Encode(const TrainerRequest& aMessage);
[[nodiscard]] std::string
Encode(const TrainerReply& aMessage);
[[nodiscard]] std::string
Encode(const GenerateRequest& aMessage);
[[nodiscard]] std::string
Encode(const GenerateReply& aMessage);

/// Decoders return `BadInput` if the bytes are not a message of that type.
[[nodiscard]] Result<TrainerRequest>
DecodeTrainerRequest(std::string_view aBytes);
[[nodiscard]] Result<TrainerReply>
DecodeTrainerReply(std::string_view aBytes);
[[nodiscard]] Result<GenerateRequest>
DecodeGenerateRequest(std::string_view aBytes);
[[nodiscard]] Result<GenerateReply>
DecodeGenerateReply(std::string_view aBytes);

} // namespace marjoramtally
