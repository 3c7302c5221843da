#include "programs/controld/trainer_service.hpp"

namespace marjoramtally {

namespace {

constexpr auto kTick = std::chrono::milliseconds(20);
/// Pauses before a failed generation is tried again.
constexpr auto kFirstPause = std::chrono::milliseconds(50);
constexpr auto kLongestPause = std::chrono::seconds(2);

/// Turns a visitor's overloads into one callable.
template<typename... Functions>
struct Overloaded : Functions...
{
  using Functions::operator()...;
};
template<typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

std::string
DutyOf(const TrainerId& aTrainer)
{
  return "trainer/" + aTrainer.Get();
}

LedgerRules
RulesOf(const TrainerRule& aRule)
{
  LedgerRules rules;
  rules.staleness_ = { aRule.staleness_, aRule.stalenessAge_ };
  if (const LeadPolicy* policy = FindLeadPolicy(aRule.policy_)) {
    rules.policy_ = policy;
  }
  return rules;
}

Error
NotOpen(StepId aStep)
{
  return { ErrorKind::NotFound,
           "step " + std::to_string(aStep.Get()) +
             " is not open here; open it again, then take" };
}

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
  host_.Clockwork().Every(kTick, [this] { Tick(); });
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
TrainerService::Serve(TrainerRequest aRequest,
                      std::string aTrace,
                      RpcDone aDone)
{
  const std::string duty = DutyOf(aRequest.trainer_);
  owners_.AcquireOrKeep(
    duty,
    [this,
     request = std::move(aRequest),
     trace = std::move(aTrace),
     done = std::move(aDone)](const Result<Ownership>& aOwnership) {
      if (!aOwnership) {
        done(aOwnership.error());
      } else if (!aOwnership.value().mine_) {
        TrainerReply reply;
        reply.redirect_ = aOwnership.value().owner_;
        done(Encode(reply));
      } else {
        Prepare(request, trace, aOwnership.value().term_, done);
      }
    });
}

void
TrainerService::Prepare(const TrainerRequest& aRequest,
                        const std::string& aTrace,
                        FencingNumber aTerm,
                        RpcDone aDone)
{
  const auto rules = host_.Members().View()->rules_;
  const auto rule = rules->trainers_.find(aRequest.trainer_);
  if (rule == rules->trainers_.end()) {
    aDone(Error{ ErrorKind::NotFound,
                 "unknown trainer '" + aRequest.trainer_.Get() + "'" });
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    TrainerState* state = Find(aRequest.trainer_);
    if (state != nullptr && state->term_ == aTerm) {
      state->rule_ = rule->second;
      state->ledger_.SetRules(RulesOf(rule->second));
      Apply(aRequest, aTrace, std::move(aDone));
      return;
    }
  }
  TakeOver(aRequest, aTrace, aTerm, std::move(aDone));
}

void
TrainerService::TakeOver(const TrainerRequest& aRequest,
                         const std::string& aTrace,
                         FencingNumber aTerm,
                         RpcDone aDone)
{
  const TrainerRule rule =
    host_.Members().View()->rules_->trainers_.at(aRequest.trainer_);
  announcer_.Load(
    rule.model_,
    [this, aRequest, aTrace, aTerm, rule, done = std::move(aDone)](
      const Result<std::vector<WeightVersion>>& aPast) {
      if (!aPast) {
        done(aPast.error());
        return;
      }
      const std::lock_guard lock(mutex_);
      const auto [state, fresh] = trainers_.try_emplace(
        aRequest.trainer_,
        TrainerState{ {},
                      {},
                      {},
                      {},
                      {},
                      Backoff(kFirstPause, kLongestPause, aTerm.Get()) });
      state->second.term_ = aTerm;
      state->second.rule_ = rule;
      state->second.ledger_.SetRules(RulesOf(rule));
      for (const WeightVersion past : aPast.value()) {
        state->second.ledger_.Versions().AddPast(past);
      }
      if (fresh) {
        LogEvent(LogLevel::Info,
                 "trainer_taken_over",
                 { { "trainer", rule.id_.Get() },
                   { "term", std::to_string(aTerm.Get()) } });
      }
      Apply(aRequest, aTrace, done);
    });
}

void
TrainerService::Apply(const TrainerRequest& aRequest,
                      const std::string& aTrace,
                      RpcDone aDone)
{
  TrainerState& state = *Find(aRequest.trainer_);
  state.trace_ = aTrace;
  TrainerReply reply;
  reply.term_ = state.term_;
  std::visit(
    Overloaded{
      [&](const OpenStep& aOpen) { Open(state, aOpen.spec_, aDone); },
      [&](const TakeSamples& aTake) { Take(state, aTake, aDone); },
      [&](const AnnounceVersion& aNew) {
        Announce(state, aNew.version_, aDone);
      },
      [&](const CloseStep& aClose) { Close(state, aClose.step_, aDone); },
      [&](const AskProgress&) {
        reply.announced_ = state.ledger_.Versions().Newest();
        reply.progress_ = state.ledger_.Progress();
        aDone(Encode(reply));
      },
    },
    aRequest.operation_);
}

void
TrainerService::Open(TrainerState& aState,
                     const StepSpec& aSpec,
                     const RpcDone& aDone)
{
  switch (aState.ledger_.Open(aSpec)) {
    case OpenVerdict::Different:
      aDone(
        Error{ ErrorKind::Conflict, "the step is open with another content" });
      return;
    case OpenVerdict::TooMany:
      aDone(Error{ ErrorKind::Conflict,
                   std::to_string(TrainerLedger::kMaxOpenSteps) +
                     " steps are open; close one first" });
      return;
    case OpenVerdict::Opened:
      Restore(aState, aSpec);
      break;
    case OpenVerdict::Same:
      break;
  }
  TrainerReply reply;
  reply.term_ = aState.term_;
  reply.taken_.remaining_ = aState.ledger_.Find(aSpec.step_)->Size();
  aDone(Encode(reply));
}

void
TrainerService::Restore(TrainerState& aState, const StepSpec& aSpec)
{
  std::size_t restored = 0;
  for (Sample& sample : kept_.Read(aState.rule_.id_, aSpec)) {
    const CandidateVerdict verdict =
      aState.ledger_.Generated(std::move(sample), host_.Now());
    restored += verdict == CandidateVerdict::Kept ? 1 : 0;
  }
  if (restored > 0) {
    LogEvent(LogLevel::Info,
             "candidates_restored",
             { { "trainer", aState.rule_.id_.Get() },
               { "step", std::to_string(aSpec.step_.Get()) },
               { "samples", std::to_string(restored) } });
  }
}

void
TrainerService::Close(TrainerState& aState, StepId aStep, const RpcDone& aDone)
{
  aState.ledger_.Close(aStep);
  kept_.Remove(aState.rule_.id_, aStep);
  TrainerReply reply;
  reply.term_ = aState.term_;
  aDone(Encode(reply));
}

void
TrainerService::Take(TrainerState& aState, TakeSamples aTake, RpcDone aDone)
{
  const TakeVerdict verdict = aState.ledger_.Accept(aTake.spec_, host_.Now());
  if (verdict == TakeVerdict::NotOpen) {
    aDone(NotOpen(aTake.spec_.step_));
    return;
  }
  const Error superseded{ ErrorKind::Conflict, "a later take came" };
  if (verdict == TakeVerdict::Superseded) {
    aDone(superseded);
    return;
  }
  if (aState.waiting_) {
    aState.waiting_->done_(superseded);
  }
  const TimePoint until = host_.Now() + aTake.wait_;
  aState.waiting_ = WaitingTake{ std::move(aTake), until, std::move(aDone) };
  AnswerTake(aState);
  Fill(aState);
}

void
TrainerService::AnswerTake(TrainerState& aState)
{
  if (!aState.waiting_) {
    return;
  }
  const TakeSpec& spec = aState.waiting_->take_.spec_;
  if (aState.ledger_.Find(spec.step_) == nullptr) {
    aState.waiting_->done_(NotOpen(spec.step_));
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
  const auto view = host_.Members().View();
  const std::lock_guard lock(mutex_);
  for (auto& [id, state] : trainers_) {
    const auto newest = view->versions_.find(state.rule_.model_);
    if (newest != view->versions_.end()) {
      state.ledger_.Versions().Announce(newest->second, host_.Now());
    }
    AnswerTake(state);
    Fill(state);
    CountTokens(state);
  }
}

void
TrainerService::DropLost()
{
  const std::lock_guard lock(mutex_);
  std::erase_if(trainers_, [this](auto& aEntry) {
    if (!owners_.Lost(DutyOf(aEntry.first))) {
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
  order.least_ = aStart.least_;
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
      state->ledger_.Scoring(aSample);
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
  const UpstreamId upstream = aSample.upstream_;
  const CandidateVerdict verdict =
    state->ledger_.Generated(std::move(aSample), host_.Now());
  if (verdict == CandidateVerdict::Uncertain) {
    LogEvent(LogLevel::Warn,
             "labels_uncertain",
             { { "trainer", aTrainer.Get() }, { "upstream", upstream.Get() } });
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
  host_.Clockwork().After(state->pauses_.Next(), [this, aTrainer, aSample] {
    const std::lock_guard inner(mutex_);
    if (TrainerState* now = Find(aTrainer)) {
      now->ledger_.Failed(aSample);
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

void
TrainerService::Announce(TrainerState& aState,
                         WeightVersion aVersion,
                         RpcDone aDone)
{
  aState.ledger_.Versions().Announce(aVersion, host_.Now());
  TrainerReply reply;
  reply.term_ = aState.term_;
  reply.announced_ = aState.ledger_.Versions().Newest();
  announcer_.Announce(
    aState.rule_.model_,
    aVersion,
    [reply, done = std::move(aDone)](const Result<bool>& aStored) {
      if (aStored) {
        done(Encode(reply));
      } else {
        done(aStored.error());
      }
    });
}

} // namespace marjoramtally
