#include "programs/controld/trainer_service.hpp"

#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

constexpr auto kTick = std::chrono::milliseconds(20);
constexpr auto kGenerateTimeout = std::chrono::minutes(5);
constexpr auto kScoreTimeout = std::chrono::seconds(10);
/// Pause before a failed generation or scoring is tried again.
constexpr auto kRetryPause = std::chrono::milliseconds(50);

std::string
EncodeReply(FencingNumber aTerm, TakeResult aTaken)
{
  TrainerReply reply;
  reply.term_ = aTerm;
  reply.taken_ = std::move(aTaken);
  return Encode(reply);
}

/// Raises a model's version in the store unless it is as high already.
StoreTxn
MakeVersionTxn(const std::string& aKey,
               const StoreRange& aRead,
               WeightVersion aVersion)
{
  StoreTxn txn;
  std::uint64_t modRevision = 0;
  for (const StoreRecord& record : aRead.records_) {
    if (record.key_ == aKey) {
      modRevision = record.modRevision_;
    }
  }
  txn.compares_.push_back({ aKey, modRevision });
  const nlohmann::json value{ { "version", aVersion.Get() } };
  txn.puts_.push_back({ aKey, value.dump(), 0 });
  return txn;
}

WeightVersion
StoredVersion(const std::string& aKey, const StoreRange& aRead)
{
  for (const StoreRecord& record : aRead.records_) {
    if (record.key_ == aKey) {
      const auto body = nlohmann::json::parse(record.value_, nullptr, false);
      return WeightVersion{ body.value("version", std::uint64_t{ 0 }) };
    }
  }
  return WeightVersion{ 0 };
}

} // namespace

TrainerService::TrainerService(Host& aHost, Owners& aOwners) noexcept
  : host_(aHost)
  , owners_(aOwners)
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
    if (!state.waiting_.empty()) {
      return true;
    }
  }
  return false;
}

void
TrainerService::Serve(TrainerRequest aRequest,
                      std::string aTrace,
                      RpcDone aDone)
{
  const std::string duty = "trainer/" + aRequest.trainer_.Get();
  owners_.Acquire(
    duty,
    [this,
     request = std::move(aRequest),
     trace = std::move(aTrace),
     done = std::move(aDone)](const Result<Ownership>& aOwnership) {
      if (!aOwnership) {
        done(aOwnership.error());
        return;
      }
      if (!aOwnership.value().mine_) {
        TrainerReply reply;
        reply.redirect_ = aOwnership.value().owner_;
        done(Encode(reply));
        return;
      }
      Apply(request, trace, aOwnership.value().term_, done);
    });
}

void
TrainerService::Apply(const TrainerRequest& aRequest,
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
  const auto* announce = std::get_if<AnnounceVersion>(&aRequest.operation_);
  if (announce != nullptr) {
    Announce(rule->second, announce->version_, aTerm, std::move(aDone));
    return;
  }
  const std::lock_guard lock(mutex_);
  TrainerState& state = trainers_[aRequest.trainer_];
  state.term_ = aTerm;
  state.rule_ = rule->second;
  state.trace_ = aTrace;
  if (const auto* open = std::get_if<OpenStep>(&aRequest.operation_)) {
    Open(state, open->spec_, aDone);
  } else if (const auto* take =
               std::get_if<TakeSamples>(&aRequest.operation_)) {
    Take(state, *take, std::move(aDone));
  } else if (const auto* close = std::get_if<CloseStep>(&aRequest.operation_)) {
    Close(state, close->step_, aDone);
  }
}

void
TrainerService::Open(TrainerState& aState,
                     const StepSpec& aSpec,
                     const RpcDone& aDone)
{
  const bool open = aState.ledger_.has_value();
  if (open && aState.ledger_->Spec().step_ > aSpec.step_) {
    aDone(Error{ ErrorKind::Conflict,
                 "a later step is open: " +
                   std::to_string(aState.ledger_->Spec().step_.Get()) });
    return;
  }
  const bool same = open && aState.ledger_->Spec().step_ == aSpec.step_;
  if (same && aState.ledger_->Spec() != aSpec) {
    aDone(
      Error{ ErrorKind::Conflict, "the step is open with another content" });
    return;
  }
  if (!same) {
    aState.ledger_.emplace(aSpec, aState.rule_.staleness_);
  }
  aDone(EncodeReply(aState.term_, { {}, aState.ledger_->Size() }));
}

void
TrainerService::Take(TrainerState& aState, TakeSamples aTake, RpcDone aDone)
{
  if (!aState.ledger_ || aState.ledger_->Spec().step_ != aTake.spec_.step_) {
    aDone(Error{ ErrorKind::NotFound,
                 "step " + std::to_string(aTake.spec_.step_.Get()) +
                   " is not open here; open it again, then take" });
    return;
  }
  const TimePoint until = host_.Now() + aTake.wait_;
  aState.waiting_.push_back({ std::move(aTake), until, std::move(aDone) });
  AnswerTakes(aState);
}

void
TrainerService::Close(TrainerState& aState, StepId aStep, const RpcDone& aDone)
{
  if (aState.ledger_ && aState.ledger_->Spec().step_ == aStep) {
    aState.ledger_.reset();
  }
  aDone(EncodeReply(aState.term_, {}));
}

void
TrainerService::AnswerTakes(TrainerState& aState)
{
  std::vector<WaitingTake> still;
  for (WaitingTake& waiting : aState.waiting_) {
    const bool current = aState.ledger_ && aState.ledger_->Spec().step_ ==
                                             waiting.take_.spec_.step_;
    if (!current) {
      waiting.done_(Error{ ErrorKind::NotFound, "the step was closed" });
      continue;
    }
    TakeResult taken = aState.ledger_->Take(waiting.take_.spec_);
    const bool finished = taken.samples_.empty() && taken.remaining_ == 0;
    if (!taken.samples_.empty() || finished || waiting.until_ <= host_.Now()) {
      waiting.done_(EncodeReply(aState.term_, std::move(taken)));
    } else {
      still.push_back(std::move(waiting));
    }
  }
  aState.waiting_ = std::move(still);
}

void
TrainerService::Tick()
{
  const std::lock_guard lock(mutex_);
  for (auto& [id, state] : trainers_) {
    AnswerTakes(state);
    Fill(id, state);
  }
}

std::optional<std::string>
TrainerService::ChooseEntry()
{
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [id, instance] : host_.Members().View()->instances_) {
    if (instance.role_ == "entry") {
      const bool same = instance.zone_.Get() == host_.Settings().zone_;
      (same ? near : far).push_back(instance.rpc_);
    }
  }
  const auto& choices = near.empty() ? far : near;
  if (choices.empty()) {
    return std::nullopt;
  }
  return choices[nextEntry_++ % choices.size()];
}

void
TrainerService::Fill(const TrainerId& aTrainer, TrainerState& aState)
{
  while (aState.ledger_ &&
         aState.ledger_->InFlight() < aState.rule_.inFlight_) {
    const auto sample = aState.ledger_->StartNext();
    if (!sample) {
      return;
    }
    Generate(aTrainer, aState, *sample);
  }
}

void
TrainerService::Generate(const TrainerId& aTrainer,
                         const TrainerState& aState,
                         const SampleId& aSample)
{
  GenerateRequest request;
  request.trainer_ = aTrainer;
  request.service_ = ServiceId{ aState.rule_.service_ };
  request.model_ = aState.rule_.model_;
  request.sample_ = aSample;
  request.minVersion_ = aState.ledger_->MinVersion();
  request.maxTokens_ = aState.ledger_->Spec().maxTokens_;
  request.prompt_ = aState.ledger_->Spec().prompts_[aSample.group_];
  const auto entry = ChooseEntry();
  if (!entry) {
    host_.Clockwork().After(
      kRetryPause, [this, aTrainer, aSample] { Fail(aTrainer, aSample); });
    return;
  }
  RpcCall call;
  call.topic_ = RpcTopic::Generate;
  call.timeout_ = kGenerateTimeout;
  call.traceparent_ = aState.trace_;
  call.body_ = Encode(request);
  host_.Rpc().Call(
    *entry,
    std::move(call),
    [this, aTrainer, aSample, prompt = request.prompt_](RpcReply aReply) {
      Generated(aTrainer, aSample, prompt, aReply);
    });
}

void
TrainerService::Generated(const TrainerId& aTrainer,
                          const SampleId& aSample,
                          const std::string& aPrompt,
                          const RpcReply& aReply)
{
  const auto reply = aReply ? DecodeGenerateReply(aReply.value())
                            : Result<GenerateReply>(aReply.error());
  if (!reply) {
    LogEvent(
      LogLevel::Warn,
      "generation_failed",
      { { "trainer", aTrainer.Get() }, { "error", reply.error().message_ } });
    host_.Clockwork().After(
      kRetryPause, [this, aTrainer, aSample] { Fail(aTrainer, aSample); });
    return;
  }
  Sample sample;
  sample.id_ = aSample;
  sample.text_ = reply.value().text_;
  sample.spans_ = reply.value().spans_;
  sample.upstream_ = reply.value().upstream_;
  Score(aTrainer, std::move(sample), aPrompt);
}

void
TrainerService::Score(const TrainerId& aTrainer,
                      Sample aSample,
                      std::string aPrompt)
{
  std::string scorer;
  {
    const std::lock_guard lock(mutex_);
    scorer = trainers_[aTrainer].rule_.scorer_;
  }
  if (scorer.empty()) {
    Keep(aTrainer, std::move(aSample));
    return;
  }
  const nlohmann::json body{ { "prompt", aPrompt }, { "text", aSample.text_ } };
  HttpCall call;
  call.method_ = "POST";
  call.url_ = "http://" + scorer + "/score";
  call.body_ = body.dump();
  call.timeout_ = kScoreTimeout;
  host_.Http().Send(
    std::move(call),
    [this, aTrainer, sample = std::move(aSample), prompt = std::move(aPrompt)](
      const HttpResult& aResult) mutable {
      const auto reply =
        nlohmann::json::parse(aResult.response_.body_, nullptr, false);
      if (aResult.end_ == HttpEnd::Whole && reply.is_object() &&
          reply.contains("reward") && reply["reward"].is_number()) {
        sample.reward_ = reply["reward"].get<double>();
        Keep(aTrainer, std::move(sample));
        return;
      }
      host_.Clockwork().After(
        kRetryPause, [this, aTrainer, sample, prompt]() mutable {
          Score(aTrainer, std::move(sample), std::move(prompt));
        });
    });
}

void
TrainerService::Keep(const TrainerId& aTrainer, Sample aSample)
{
  const std::lock_guard lock(mutex_);
  TrainerState& state = trainers_[aTrainer];
  if (state.ledger_ && state.ledger_->Generated(std::move(aSample))) {
    AnswerTakes(state);
    Fill(aTrainer, state);
  }
}

void
TrainerService::Fail(const TrainerId& aTrainer, const SampleId& aSample)
{
  const std::lock_guard lock(mutex_);
  TrainerState& state = trainers_[aTrainer];
  if (state.ledger_ && state.ledger_->Spec().step_ == aSample.step_) {
    state.ledger_->Failed(aSample);
  }
}

void
TrainerService::Announce(const TrainerRule& aRule,
                         WeightVersion aVersion,
                         FencingNumber aTerm,
                         RpcDone aDone)
{
  const std::string key = std::string(kVersionPrefix) + aRule.model_;
  host_.PlatformStore().Read(
    key,
    [this, key, aVersion, aTerm, done = std::move(aDone)](
      const Result<StoreRange>& aRead) {
      if (!aRead) {
        done(aRead.error());
        return;
      }
      if (StoredVersion(key, aRead.value()) >= aVersion) {
        done(EncodeReply(aTerm, {}));
        return;
      }
      host_.PlatformStore().Commit(
        MakeVersionTxn(key, aRead.value(), aVersion),
        [this, aTerm, done](const Result<StoreCommit>& aCommit) {
          if (!aCommit || !aCommit.value().applied_) {
            done(Error{ ErrorKind::Unavailable,
                        "the announcement may not be stored; repeat it" });
            return;
          }
          host_.Members().Refresh();
          done(EncodeReply(aTerm, {}));
        });
    });
}

} // namespace marjoramtally
