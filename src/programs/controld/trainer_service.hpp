/// Serves the trainers that this process owns: opens steps, fills their ledgers
/// with candidates and answers takes.
#pragma once

#include "marjoramtally/version.hpp"
#include "programs/controld/candidate_source.hpp"
#include "programs/controld/candidate_store.hpp"
#include "programs/controld/owners.hpp"
#include "programs/controld/version_announcer.hpp"

namespace marjoramtally {

namespace impl {

/// Backoff before a failed generation or store write is retried.
inline constexpr auto kInitialBackoff = std::chrono::milliseconds(50);
inline constexpr auto kMaxBackoff = std::chrono::seconds(2);

/// @returns the name of the duty to serve a trainer
[[nodiscard]] std::string
DutyOf(const TrainerId& aTrainer);
/// @returns the error for a take of a step that is not open in this process
[[nodiscard]] Error
StepNotOpen(StepId aStep);

} // namespace impl

/// Owns the trainer ledgers of this process. Thread-safe.
class TrainerService
{
public:
  TrainerService(Host& aHost, Owners& aOwners);

  void Start();
  /// Serves one operation, or redirects it to the trainer's owner.
  void Serve(TrainerRequest aRequest, std::string aTrace, RpcDone aDone);
  /// @returns whether any take is waiting for samples
  [[nodiscard]] bool Busy() const;

private:
  struct WaitingTake
  {
    TakeSamples take_;
    TimePoint until_;
    RpcDone done_;
  };
  /// State of writing the announced version to the platform's store.
  struct StoredVersion
  {
    /// Newest version known to be stored.
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
    /// Backoff after failed generations.
    Backoff backoff_{ impl::kInitialBackoff, impl::kMaxBackoff, 2 };
    StoredVersion stored_;
  };

  /// Loads the announced versions if needed, then applies the request.
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
  /// Restores the candidates of a step from this instance's disk.
  void Restore(TrainerState& aState, const StepSpec& aSpec);
  void Close(TrainerState& aState, StepId aStep, const RpcDone& aDone);
  void Take(TrainerState& aState, TakeSamples aTake, RpcDone aDone);
  /// Applies an announcement here at once and writes it to the store as soon as
  /// possible. If that write is lost, a take at the version repeats the
  /// announcement to a later owner.
  void Announce(TrainerState& aState,
                WeightVersion aVersion,
                const RpcDone& aDone);
  /// Schedules a write of the newest version to the store, outside the lock.
  void StoreVersion(TrainerState& aState);
  void WriteVersion(const std::string& aModel,
                    const TrainerId& aTrainer,
                    WeightVersion aVersion);
  void OnVersionWritten(TrainerState& aState,
                        WeightVersion aVersion,
                        const Result<bool>& aStored);
  void Tick();
  /// Drops the ledgers of trainers that another instance owns.
  void DropLostTrainers();
  /// Answers the waiting take if samples are available, the step is finished or
  /// its wait has expired.
  void AnswerTake(TrainerState& aState);
  /// Starts generations up to the trainer's in-flight limit.
  void StartGenerations(TrainerState& aState);
  void StartGeneration(TrainerState& aState, const GenerationStart& aStart);
  [[nodiscard]] CandidateEvents MakeEvents(const TrainerId& aTrainer,
                                           const SampleId& aSample);
  void KeepCandidate(const TrainerId& aTrainer, const Sample& aSample);
  void OnCandidateFailed(const TrainerId& aTrainer,
                         const SampleId& aSample,
                         const Error& aError);
  void CountTokens(TrainerState& aState);
  /// @returns the state of a trainer owned by this process, else null
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
