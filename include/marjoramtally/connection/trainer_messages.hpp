/// Messages about trainers and generations between entry and control.
#pragma once

#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/result.hpp"
#include "marjoramtally/version/step_ledger.hpp"

#include <variant>

namespace marjoramtally {

/// Opens a step; opening the same step again changes nothing.
struct OpenStep
{
  StepSpec spec_;
};

/// Takes samples, waiting up to `wait_` for the first.
struct TakeSamples
{
  TakeSpec spec_;
  Duration wait_{ 0 };
};

/// Says that new weights are in the weight store.
struct AnnounceVersion
{
  WeightVersion version_;
};

/// Ends a step.
struct CloseStep
{
  StepId step_;
};

/// Asks how far the open steps are.
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

/// The answer to an operation.
struct TrainerReply
{
  FencingNumber term_;
  /// Number of the take that this answers.
  std::uint64_t number_ = 0;
  TakeResult taken_;
  /// Newest version announced.
  WeightVersion announced_;
  /// Steps open at the owner.
  std::vector<StepProgress> progress_;
  /// RPC address of the owner if it is another; then nothing else is set.
  std::string redirect_;
};

/// Asks an entry for one generation.
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

/// Decoders return `BadInput` for anything that is no such message.
[[nodiscard]] Result<TrainerRequest>
DecodeTrainerRequest(std::string_view aBytes);
[[nodiscard]] Result<TrainerReply>
DecodeTrainerReply(std::string_view aBytes);
[[nodiscard]] Result<GenerateRequest>
DecodeGenerateRequest(std::string_view aBytes);
[[nodiscard]] Result<GenerateReply>
DecodeGenerateReply(std::string_view aBytes);

} // namespace marjoramtally
