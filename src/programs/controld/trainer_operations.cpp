#include "programs/controld/trainer_service.hpp"

#include "marjoramtally/base/overloaded.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

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

} // namespace

namespace impl {

std::string
DutyOf(const TrainerId& aTrainer)
{
  return "trainer/" + aTrainer.Get();
}

Error
StepNotOpen(StepId aStep)
{
  return { ErrorKind::NotFound,
           "step " + std::to_string(aStep.Get()) +
             " is not open here; open it again, then take" };
}

} // namespace impl

void
TrainerService::Serve(TrainerRequest aRequest,
                      std::string aTrace,
                      RpcDone aDone)
{
  const std::string duty = impl::DutyOf(aRequest.trainer_);
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
  const auto rules = host_.ClusterState().View()->rules_;
  const auto rule = rules->trainers_.find(aRequest.trainer_);
  if (!IsLoaded(*rules)) {
    // On `Unavailable` an entry retries at another process; it would return
    // `NotFound` to the trainer.
    aDone(Error{ ErrorKind::Unavailable, "no rules are known here yet" });
    return;
  }
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
    host_.ClusterState().View()->rules_->trainers_.at(aRequest.trainer_);
  announcer_.Load(
    rule.model_,
    [this, aRequest, aTrace, aTerm, rule, done = std::move(aDone)](
      const Result<std::vector<WeightVersion>>& aPast) {
      if (!aPast) {
        done(aPast.error());
        return;
      }
      const std::lock_guard lock(mutex_);
      const auto [state, fresh] = trainers_.try_emplace(aRequest.trainer_);
      state->second.term_ = aTerm;
      state->second.rule_ = rule;
      state->second.ledger_.SetRules(RulesOf(rule));
      for (const WeightVersion past : aPast.value()) {
        state->second.ledger_.Versions().AddPast(past);
        state->second.stored_.version_ =
          std::max(state->second.stored_.version_, past);
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
      [&](const GetProgress&) {
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
  for (Sample& sample : candidateStore_.Read(aState.rule_.id_, aSpec)) {
    const CandidateVerdict verdict =
      aState.ledger_.OnGenerated(std::move(sample), host_.Now());
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
  candidateStore_.Remove(aState.rule_.id_, aStep);
  TrainerReply reply;
  reply.term_ = aState.term_;
  aDone(Encode(reply));
}

void
TrainerService::Take(TrainerState& aState, TakeSamples aTake, RpcDone aDone)
{
  const TakeVerdict verdict = aState.ledger_.Accept(aTake.spec_, host_.Now());
  if (verdict == TakeVerdict::NotOpen) {
    aDone(impl::StepNotOpen(aTake.spec_.step_));
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
  StartGenerations(aState);
}

void
TrainerService::Announce(TrainerState& aState,
                         WeightVersion aVersion,
                         const RpcDone& aDone)
{
  aState.ledger_.Versions().Announce(aVersion, host_.Now());
  StoreVersion(aState);
  TrainerReply reply;
  reply.term_ = aState.term_;
  reply.announced_ = aState.ledger_.Versions().Newest();
  aDone(Encode(reply));
}

} // namespace marjoramtally
