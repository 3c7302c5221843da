/// Serves the trainers that this process owns: opens steps, generates
/// candidates through entries, scores them, answers takes.
#pragma once

#include "marjoramtally/connection.hpp"
#include "marjoramtally/version.hpp"
#include "programs/controld/owners.hpp"

namespace marjoramtally {

/// Ledgers of this process. Thread-safe.
class TrainerService
{
public:
  TrainerService(Host& aHost, Owners& aOwners) noexcept;

  void Start();
  /// Serves one operation.
  void Serve(TrainerRequest aRequest, std::string aTrace, RpcDone aDone);
  /// @returns whether takes are waiting
  [[nodiscard]] bool Busy() const;

private:
  struct WaitingTake
  {
    TakeSamples take_;
    TimePoint until_;
    RpcDone done_;
  };
  struct TrainerState
  {
    FencingNumber term_;
    TrainerRule rule_;
    std::optional<StepLedger> ledger_;
    std::vector<WaitingTake> waiting_;
    std::string trace_;
  };

  void Tick();
  void Apply(const TrainerRequest& aRequest,
             const std::string& aTrace,
             FencingNumber aTerm,
             RpcDone aDone);
  void Open(TrainerState& aState, const StepSpec& aSpec, const RpcDone& aDone);
  void Take(TrainerState& aState, TakeSamples aTake, RpcDone aDone);
  void Close(TrainerState& aState, StepId aStep, const RpcDone& aDone);
  /// Answers waiting takes that have samples or waited long enough.
  void AnswerTakes(TrainerState& aState);
  /// Starts generations up to the limit.
  void Fill(const TrainerId& aTrainer, TrainerState& aState);
  void Generate(const TrainerId& aTrainer,
                const TrainerState& aState,
                const SampleId& aSample);
  void Generated(const TrainerId& aTrainer,
                 const SampleId& aSample,
                 const std::string& aPrompt,
                 const RpcReply& aReply);
  void Score(const TrainerId& aTrainer, Sample aSample, std::string aPrompt);
  void Keep(const TrainerId& aTrainer, Sample aSample);
  void Fail(const TrainerId& aTrainer, const SampleId& aSample);
  void Announce(const TrainerRule& aRule,
                WeightVersion aVersion,
                FencingNumber aTerm,
                RpcDone aDone);
  [[nodiscard]] std::optional<std::string> ChooseEntry();

  Host& host_;
  Owners& owners_;
  mutable std::mutex mutex_;
  std::map<TrainerId, TrainerState> trainers_;
  std::uint64_t nextEntry_ = 0;
};

} // namespace marjoramtally
