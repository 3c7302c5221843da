#include "programs/controld/trainer_service.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

constexpr auto kTick = std::chrono::milliseconds(20);
} // namespace

TrainerService::TrainerService(Host& aHost, Owners& aOwners)
  : host_(aHost)
  , owners_(aOwners)
  , candidates_(aHost)
  , announcer_(aHost)
  , candidateStore_(aHost.Settings())
{
}

void
TrainerService::Start()
{
  host_.TimerQueue().Every(kTick, [this] { Tick(); });
}

bool
TrainerService::Busy() const
{
  const std::lock_guard lock(mutex_);
  for (const auto& [id, state] : trainers_) {
    if (state.waiting_) {
      return true;
    }
  }
  return false;
}

TrainerService::TrainerState*
TrainerService::Find(const TrainerId& aTrainer)
{
  const auto found = trainers_.find(aTrainer);
  return found == trainers_.end() ? nullptr : &found->second;
}

void
TrainerService::AnswerTake(TrainerState& aState)
{
  if (!aState.waiting_) {
    return;
  }
  const TakeSpec& spec = aState.waiting_->take_.spec_;
  if (aState.ledger_.Find(spec.step_) == nullptr) {
    aState.waiting_->done_(impl::StepNotOpen(spec.step_));
    aState.waiting_.reset();
    return;
  }
  TrainerReply reply;
  reply.term_ = aState.term_;
  reply.number_ = spec.number_;
  reply.taken_ = aState.ledger_.Collect(spec, host_.Now());
  const bool any = !reply.taken_.samples_.empty();
  const bool finished = !any && reply.taken_.remaining_ == 0;
  if (any || finished || aState.waiting_->until_ <= host_.Now()) {
    aState.waiting_->done_(Encode(reply));
    aState.waiting_.reset();
  }
}

void
TrainerService::Tick()
{
  DropLostTrainers();
  const auto view = host_.ClusterState().View();
  const std::lock_guard lock(mutex_);
  for (auto& [id, state] : trainers_) {
    const auto newest = view->versions_.find(state.rule_.model_);
    if (newest != view->versions_.end()) {
      state.ledger_.Versions().Announce(newest->second, host_.Now());
      state.stored_.version_ = std::max(state.stored_.version_, newest->second);
    }
    StoreVersion(state);
    AnswerTake(state);
    StartGenerations(state);
    CountTokens(state);
  }
}

void
TrainerService::StoreVersion(TrainerState& aState)
{
  const WeightVersion newest = aState.ledger_.Versions().Newest();
  StoredVersion& stored = aState.stored_;
  if (stored.writing_ || newest <= stored.version_ ||
      host_.Now() < stored.retryAt_) {
    return;
  }
  stored.writing_ = true;
  // The store may invoke the callback within the call, and the callback takes
  // the lock that is held here.
  host_.TimerQueue().After(
    Duration::zero(),
    [this, model = aState.rule_.model_, id = aState.rule_.id_, newest] {
      WriteVersion(model, id, newest);
    });
}

void
TrainerService::WriteVersion(const std::string& aModel,
                             const TrainerId& aTrainer,
                             WeightVersion aVersion)
{
  announcer_.Announce(
    aModel, aVersion, [this, aTrainer, aVersion](const Result<bool>& aStored) {
      const std::lock_guard lock(mutex_);
      if (TrainerState* state = Find(aTrainer)) {
        OnVersionWritten(*state, aVersion, aStored);
      }
    });
}

void
TrainerService::OnVersionWritten(TrainerState& aState,
                                 WeightVersion aVersion,
                                 const Result<bool>& aStored)
{
  StoredVersion& stored = aState.stored_;
  stored.writing_ = false;
  if (aStored) {
    stored.version_ = std::max(stored.version_, aVersion);
    stored.backoff_.Reset();
    return;
  }
  stored.retryAt_ = host_.Now() + stored.backoff_.Next();
  LogEvent(LogLevel::Warn,
           "announcement_not_stored",
           { { "trainer", aState.rule_.id_.Get() },
             { "version", std::to_string(aVersion.Get()) },
             { "error", aStored.error().message_ } });
}

void
TrainerService::DropLostTrainers()
{
  const std::lock_guard lock(mutex_);
  std::erase_if(trainers_, [this](auto& aEntry) {
    if (!owners_.Lost(impl::DutyOf(aEntry.first))) {
      return false;
    }
    LogEvent(
      LogLevel::Info, "trainer_lost", { { "trainer", aEntry.first.Get() } });
    if (aEntry.second.waiting_) {
      aEntry.second.waiting_->done_(Error{
        ErrorKind::Unavailable, "another instance owns the trainer now" });
    }
    return true;
  });
}

void
TrainerService::StartGenerations(TrainerState& aState)
{
  while (aState.ledger_.InFlight() < aState.rule_.inFlight_) {
    const auto start = aState.ledger_.StartNext(host_.Now());
    if (!start) {
      return;
    }
    StartGeneration(aState, *start);
  }
}

void
TrainerService::StartGeneration(TrainerState& aState,
                                const GenerationStart& aStart)
{
  const StepSpec& spec = aState.ledger_.Find(aStart.sample_.step_)->Spec();
  CandidateRequest request;
  request.rule_ = aState.rule_;
  request.sample_ = aStart.sample_;
  request.minVersion_ = aStart.minVersion_;
  request.maxTokens_ = spec.maxTokens_;
  request.prompt_ = spec.prompts_[aStart.sample_.group_];
  request.trace_ = aState.trace_;
  candidates_.Make(request, MakeEvents(aState.rule_.id_, aStart.sample_));
}

CandidateEvents
TrainerService::MakeEvents(const TrainerId& aTrainer, const SampleId& aSample)
{
  CandidateEvents events;
  events.scoring_ = [this, aTrainer, aSample] {
    const std::lock_guard lock(mutex_);
    if (TrainerState* state = Find(aTrainer)) {
      state->ledger_.OnScoring(aSample);
      StartGenerations(*state);
    }
  };
  events.stillWanted_ = [this, aTrainer](const Sample& aCandidate) {
    const std::lock_guard lock(mutex_);
    TrainerState* state = Find(aTrainer);
    return state != nullptr && state->ledger_.Judge(aCandidate, host_.Now()) ==
                                 CandidateVerdict::Kept;
  };
  events.done_ = [this, aTrainer, aSample](const Result<Sample>& aMade) {
    if (aMade) {
      KeepCandidate(aTrainer, aMade.value());
    } else {
      OnCandidateFailed(aTrainer, aSample, aMade.error());
    }
  };
  return events;
}

void
TrainerService::KeepCandidate(const TrainerId& aTrainer, const Sample& aSample)
{
  const std::lock_guard lock(mutex_);
  TrainerState* state = Find(aTrainer);
  if (state == nullptr) {
    return;
  }
  const CandidateVerdict verdict =
    state->ledger_.OnGenerated(aSample, host_.Now());
  if (verdict == CandidateVerdict::Uncertain) {
    LogEvent(LogLevel::Warn,
             "labels_uncertain",
             { { "trainer", aTrainer.Get() },
               { "upstream", aSample.upstream_.Get() } });
  } else if (verdict == CandidateVerdict::Kept) {
    const StepSpec& spec = state->ledger_.Find(aSample.id_.step_)->Spec();
    candidateStore_.Append(aTrainer, spec, aSample);
  }
  state->backoff_.Reset();
  AnswerTake(*state);
  StartGenerations(*state);
}

void
TrainerService::OnCandidateFailed(const TrainerId& aTrainer,
                                  const SampleId& aSample,
                                  const Error& aError)
{
  LogEvent(LogLevel::Warn,
           "candidate_failed",
           { { "trainer", aTrainer.Get() }, { "error", aError.message_ } });
  const std::lock_guard lock(mutex_);
  TrainerState* state = Find(aTrainer);
  if (state == nullptr) {
    return;
  }
  host_.TimerQueue().After(state->backoff_.Next(), [this, aTrainer, aSample] {
    const std::lock_guard inner(mutex_);
    if (TrainerState* now = Find(aTrainer)) {
      now->ledger_.OnFailed(aSample);
      StartGenerations(*now);
    }
  });
}

void
TrainerService::CountTokens(TrainerState& aState)
{
  const TokenCounters& now = aState.ledger_.Tokens();
  const std::string label = "{trainer=\"" + aState.rule_.id_.Get() + "\"}";
  Metrics& metrics = host_.Measures();
  metrics.Set("sample_tokens_kept" + label, static_cast<double>(now.kept_));
  metrics.Set("sample_tokens_stale" + label, static_cast<double>(now.stale_));
  metrics.Set("sample_tokens_uncertain" + label,
              static_cast<double>(now.uncertain_));
}

} // namespace marjoramtally
