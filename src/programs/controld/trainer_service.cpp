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
  , kept_(aHost.Settings())
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
    aState.waiting_->done_(impl::NotOpen(spec.step_));
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
  DropLost();
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
    Fill(state);
    CountTokens(state);
  }
}

void
TrainerService::StoreVersion(TrainerState& aState)
{
  const WeightVersion newest = aState.ledger_.Versions().Newest();
  StoredVersion& stored = aState.stored_;
  if (stored.busy_ || newest <= stored.version_ ||
      host_.Now() < stored.nextTry_) {
    return;
  }
  stored.busy_ = true;
  // The store may answer within the call, and the answer takes the lock that
  // is held here.
  host_.TimerQueue().After(
    Duration::zero(),
    [this, model = aState.rule_.model_, id = aState.rule_.id_, newest] {
      TellStore(model, id, newest);
    });
}

void
TrainerService::TellStore(const std::string& aModel,
                          const TrainerId& aTrainer,
                          WeightVersion aVersion)
{
  announcer_.Announce(
    aModel, aVersion, [this, aTrainer, aVersion](const Result<bool>& aStored) {
      const std::lock_guard lock(mutex_);
      if (TrainerState* state = Find(aTrainer)) {
        VersionStored(*state, aVersion, aStored);
      }
    });
}

void
TrainerService::VersionStored(TrainerState& aState,
                              WeightVersion aVersion,
                              const Result<bool>& aStored)
{
  StoredVersion& stored = aState.stored_;
  stored.busy_ = false;
  if (aStored) {
    stored.version_ = std::max(stored.version_, aVersion);
    stored.pauses_.Reset();
    return;
  }
  stored.nextTry_ = host_.Now() + stored.pauses_.Next();
  LogEvent(LogLevel::Warn,
           "announcement_not_stored",
           { { "trainer", aState.rule_.id_.Get() },
             { "version", std::to_string(aVersion.Get()) },
             { "error", aStored.error().message_ } });
}

void
TrainerService::DropLost()
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
TrainerService::Fill(TrainerState& aState)
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
  CandidateOrder order;
  order.rule_ = aState.rule_;
  order.sample_ = aStart.sample_;
  order.least_ = aStart.minVersion_;
  order.maxTokens_ = spec.maxTokens_;
  order.prompt_ = spec.prompts_[aStart.sample_.group_];
  order.trace_ = aState.trace_;
  candidates_.Make(order, EventsOf(aState.rule_.id_, aStart.sample_));
}

CandidateEvents
TrainerService::EventsOf(const TrainerId& aTrainer, const SampleId& aSample)
{
  CandidateEvents events;
  events.scoring_ = [this, aTrainer, aSample] {
    const std::lock_guard lock(mutex_);
    if (TrainerState* state = Find(aTrainer)) {
      state->ledger_.OnScoring(aSample);
      Fill(*state);
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
      Keep(aTrainer, aMade.value());
    } else {
      Fail(aTrainer, aSample, aMade.error());
    }
  };
  return events;
}

void
TrainerService::Keep(const TrainerId& aTrainer, const Sample& aSample)
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
    kept_.Append(aTrainer, spec, aSample);
  }
  state->pauses_.Reset();
  AnswerTake(*state);
  Fill(*state);
}

void
TrainerService::Fail(const TrainerId& aTrainer,
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
  host_.TimerQueue().After(state->pauses_.Next(), [this, aTrainer, aSample] {
    const std::lock_guard inner(mutex_);
    if (TrainerState* now = Find(aTrainer)) {
      now->ledger_.OnFailed(aSample);
      Fill(*now);
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
