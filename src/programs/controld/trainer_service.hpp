/// Serves the trainers that this process owns: opens steps, keeps their
/// ledgers filled with candidates, answers takes.
#pragma once

#include "marjoramtally/version.hpp"
#include "programs/controld/candidate_source.hpp"
#include "programs/controld/candidate_store.hpp"
#include "programs/controld/owners.hpp"
#include "programs/controld/version_announcer.hpp"

namespace marjoramtally {

/// Ledgers of this process. Thread-safe.
class TrainerService
{
public:
  TrainerService(Host& aHost, Owners& aOwners);

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
    TrainerLedger ledger_;
    std::optional<WaitingTake> waiting_;
    std::string trace_;
    /// Pauses after failed generations.
    Backoff pauses_;
  };

  /// Makes sure that the announced versions are known, then applies.
  void Prepare(const TrainerRequest& aRequest,
               const std::string& aTrace,
               FencingNumber aTerm,
               RpcDone aDone);
  void TakeOver(const TrainerRequest& aRequest,
                const std::string& aTrace,
                FencingNumber aTerm,
                RpcDone aDone);
  void Apply(const TrainerRequest& aRequest,
             const std::string& aTrace,
             RpcDone aDone);
  void Open(TrainerState& aState, const StepSpec& aSpec, const RpcDone& aDone);
  /// Brings back the candidates of a step that this instance kept on disk.
  void Restore(TrainerState& aState, const StepSpec& aSpec);
  void Close(TrainerState& aState, StepId aStep, const RpcDone& aDone);
  void Take(TrainerState& aState, TakeSamples aTake, RpcDone aDone);
  void Announce(TrainerState& aState, WeightVersion aVersion, RpcDone aDone);
  void Tick();
  /// Drops ledgers whose trainer another instance owns.
  void DropLost();
  /// Answers the waiting take if it has samples or waited long enough.
  void AnswerTake(TrainerState& aState);
  /// Starts generations up to the limit.
  void Fill(TrainerState& aState);
  void StartGeneration(TrainerState& aState, const GenerationStart& aStart);
  [[nodiscard]] CandidateEvents EventsOf(const TrainerId& aTrainer,
                                         const SampleId& aSample);
  void Keep(const TrainerId& aTrainer, const Sample& aSample);
  void Fail(const TrainerId& aTrainer,
            const SampleId& aSample,
            const Error& aError);
  void CountTokens(TrainerState& aState);
  /// @returns the state of a trainer that is owned here, else null
  [[nodiscard]] TrainerState* Find(const TrainerId& aTrainer);

  Host& host_;
  Owners& owners_;
  CandidateSource candidates_;
  VersionAnnouncer announcer_;
  CandidateStore kept_;
  mutable std::mutex mutex_;
  std::map<TrainerId, TrainerState> trainers_;
};

} // namespace marjoramtally
