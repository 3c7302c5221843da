/// Serves the trainers that this process owns: opens steps, keeps their
/// ledgers filled with candidates, answers takes.
#pragma once

#include "marjoramtally/version.hpp"
#include "programs/controld/candidate_source.hpp"
#include "programs/controld/candidate_store.hpp"
#include "programs/controld/owners.hpp"
#include "programs/controld/version_announcer.hpp"

namespace marjoramtally {

namespace impl {

/// Pauses before a failed generation or write to the store is tried again.
inline constexpr auto kInitialBackoff = std::chrono::milliseconds(50);
inline constexpr auto kMaxBackoff = std::chrono::seconds(2);

/// @returns the duty of serving a trainer
[[nodiscard]] std::string
DutyOf(const TrainerId& aTrainer);
/// @returns what a take of a step that is not open here is told
[[nodiscard]] Error
StepNotOpen(StepId aStep);

} // namespace impl

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
  /// What the platform's store knows of the announced versions.
  struct StoredVersion
  {
    WeightVersion version_;
    /// Whether a write is in progress.
    bool writing_ = false;
    TimePoint retryAt_;
    Backoff backoff_{ impl::kInitialBackoff, impl::kMaxBackoff, 1 };
  };
  struct TrainerState
  {
    FencingNumber term_;
    TrainerRule rule_;
    TrainerLedger ledger_;
    std::optional<WaitingTake> waiting_;
    std::string trace_;
    /// Pauses after failed generations.
    Backoff backoff_{ impl::kInitialBackoff, impl::kMaxBackoff, 2 };
    StoredVersion stored_;
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
  /// An announcement holds here at once; the store is told as soon as it can
  /// be, and a take at the version repeats it to a later owner.
  void Announce(TrainerState& aState,
                WeightVersion aVersion,
                const RpcDone& aDone);
  /// Writes the newest version to the store, without the lock.
  void StoreVersion(TrainerState& aState);
  void WriteVersion(const std::string& aModel,
                    const TrainerId& aTrainer,
                    WeightVersion aVersion);
  void OnVersionWritten(TrainerState& aState,
                        WeightVersion aVersion,
                        const Result<bool>& aStored);
  void Tick();
  /// Drops ledgers whose trainer another instance owns.
  void DropLostTrainers();
  /// Answers the waiting take if it has samples or waited long enough.
  void AnswerTake(TrainerState& aState);
  /// Starts generations up to the limit.
  void StartGenerations(TrainerState& aState);
  void StartGeneration(TrainerState& aState, const GenerationStart& aStart);
  [[nodiscard]] CandidateEvents MakeEvents(const TrainerId& aTrainer,
                                           const SampleId& aSample);
  void KeepCandidate(const TrainerId& aTrainer, const Sample& aSample);
  void OnCandidateFailed(const TrainerId& aTrainer,
                         const SampleId& aSample,
                         const Error& aError);
  void CountTokens(TrainerState& aState);
  /// @returns the state of a trainer that is owned here, else null
  [[nodiscard]] TrainerState* Find(const TrainerId& aTrainer);

  Host& host_;
  Owners& owners_;
  CandidateSource candidates_;
  VersionAnnouncer announcer_;
  CandidateStore candidateStore_;
  mutable std::mutex mutex_;
  std::map<TrainerId, TrainerState> trainers_;
};

} // namespace marjoramtally
