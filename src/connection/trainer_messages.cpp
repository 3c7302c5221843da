#include "marjoramtally/connection/trainer_messages.hpp"

#include "connection/wire.hpp"
#include "marjoramtally/base/overloaded.hpp"
#include "wire/trainer.capnp.h"

namespace marjoramtally {

namespace {

void
WriteRef(wire::SampleRef::Builder aOut, const SampleId& aId)
{
  aOut.setStep(aId.step_.Get());
  aOut.setGroup(aId.group_);
  aOut.setMember(aId.member_);
}

SampleId
ReadRef(wire::SampleRef::Reader aIn)
{
  return { StepId{ aIn.getStep() }, aIn.getGroup(), aIn.getMember() };
}

using SpanListBuilder = capnp::List<wire::VersionSpan>::Builder;
using SpanListReader = capnp::List<wire::VersionSpan>::Reader;

void
WriteSpans(SpanListBuilder aOut, const std::vector<VersionSpan>& aSpans)
{
  for (std::uint32_t i = 0; i < aSpans.size(); ++i) {
    aOut[i].setVersion(aSpans[i].version_.Get());
    aOut[i].setFrom(aSpans[i].from_);
    aOut[i].setTo(aSpans[i].to_);
  }
}

std::vector<VersionSpan>
ReadSpans(SpanListReader aIn)
{
  std::vector<VersionSpan> spans;
  for (const auto span : aIn) {
    spans.push_back(
      { WeightVersion{ span.getVersion() }, span.getFrom(), span.getTo() });
  }
  return spans;
}

std::uint32_t
Millis(Duration aDuration)
{
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

void
WriteOpen(wire::OpenStep::Builder aOut, const StepSpec& aSpec)
{
  aOut.setStep(aSpec.step_.Get());
  aOut.setVersion(aSpec.version_.Get());
  aOut.setGroupSize(aSpec.groupSize_);
  aOut.setMaxTokens(aSpec.maxTokens_);
  const auto count = static_cast<std::uint32_t>(aSpec.prompts_.size());
  auto prompts = aOut.initPrompts(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    prompts.set(i, aSpec.prompts_[i]);
  }
}

StepSpec
ReadOpen(wire::OpenStep::Reader aIn)
{
  StepSpec spec;
  spec.step_ = StepId{ aIn.getStep() };
  spec.version_ = WeightVersion{ aIn.getVersion() };
  spec.groupSize_ = aIn.getGroupSize();
  spec.maxTokens_ = aIn.getMaxTokens();
  for (const auto prompt : aIn.getPrompts()) {
    spec.prompts_.emplace_back(prompt.cStr(), prompt.size());
  }
  return spec;
}

void
WriteTake(wire::TakeSamples::Builder aOut, const TakeSamples& aTake)
{
  aOut.setStep(aTake.spec_.step_.Get());
  aOut.setVersion(aTake.spec_.version_.Get());
  aOut.setHeld(aTake.spec_.held_.Format());
  aOut.setMost(aTake.spec_.maxSamples_);
  aOut.setWaitMs(Millis(aTake.wait_));
  aOut.setNumber(aTake.spec_.number_);
  aOut.setWholeGroups(aTake.spec_.completeGroups_);
}

Result<TrainerOperation>
ReadTake(wire::TakeSamples::Reader aIn)
{
  const auto held = IndexSet::Parse(aIn.getHeld().cStr());
  if (!held) {
    return Error{ ErrorKind::BadInput, "held is no list of ranges" };
  }
  TakeSamples take;
  take.spec_.step_ = StepId{ aIn.getStep() };
  take.spec_.version_ = WeightVersion{ aIn.getVersion() };
  take.spec_.held_ = *held;
  take.spec_.maxSamples_ = aIn.getMost();
  take.spec_.number_ = aIn.getNumber();
  take.spec_.completeGroups_ = aIn.getWholeGroups();
  take.wait_ = std::chrono::milliseconds(aIn.getWaitMs());
  return TrainerOperation{ std::move(take) };
}

Result<TrainerOperation>
ReadOperation(wire::TrainerRequest::Reader aIn)
{
  switch (aIn.which()) {
    case wire::TrainerRequest::OPEN:
      return TrainerOperation{ OpenStep{ ReadOpen(aIn.getOpen()) } };
    case wire::TrainerRequest::TAKE:
      return ReadTake(aIn.getTake());
    case wire::TrainerRequest::ANNOUNCE:
      return TrainerOperation{ AnnounceVersion{
        WeightVersion{ aIn.getAnnounce() } } };
    case wire::TrainerRequest::CLOSE:
      return TrainerOperation{ CloseStep{ StepId{ aIn.getClose() } } };
    case wire::TrainerRequest::PROGRESS:
      return TrainerOperation{ GetProgress{} };
  }
  return Error{ ErrorKind::BadInput, "unknown trainer operation" };
}

void
WriteSample(wire::Sample::Builder aOut, const Sample& aSample)
{
  WriteRef(aOut.initRef(), aSample.id_);
  aOut.setText(aSample.text_);
  const auto count = static_cast<std::uint32_t>(aSample.spans_.size());
  WriteSpans(aOut.initSpans(count), aSample.spans_);
  aOut.setReward(aSample.reward_);
  aOut.setUpstream(aSample.upstream_.Get());
  aOut.setTokens(aSample.tokens_);
}

Sample
ReadSample(wire::Sample::Reader aIn)
{
  Sample sample;
  sample.id_ = ReadRef(aIn.getRef());
  sample.text_.assign(aIn.getText().cStr(), aIn.getText().size());
  sample.spans_ = ReadSpans(aIn.getSpans());
  sample.reward_ = aIn.getReward();
  sample.upstream_ = UpstreamId{ aIn.getUpstream().cStr() };
  sample.tokens_ = aIn.getTokens();
  return sample;
}

void
WriteProgress(wire::StepProgress::Builder aOut, const StepProgress& aProgress)
{
  aOut.setStep(aProgress.step_.Get());
  aOut.setWanted(aProgress.wanted_);
  aOut.setInGeneration(aProgress.inGeneration_);
  aOut.setScoring(aProgress.scoring_);
  aOut.setReady(aProgress.ready_);
  aOut.setHeld(aProgress.held_);
}

StepProgress
ReadProgress(wire::StepProgress::Reader aIn)
{
  return { StepId{ aIn.getStep() }, aIn.getWanted(), aIn.getInGeneration(),
           aIn.getScoring(),        aIn.getReady(),  aIn.getHeld() };
}

} // namespace

std::string
Encode(const TrainerRequest& aMessage)
{
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::TrainerRequest>();
  root.setTrainer(aMessage.trainer_.Get());
  std::visit(
    Overloaded{
      [&](const OpenStep& aOpen) { WriteOpen(root.initOpen(), aOpen.spec_); },
      [&](const TakeSamples& aTake) { WriteTake(root.initTake(), aTake); },
      [&](const AnnounceVersion& aNew) {
        root.setAnnounce(aNew.version_.Get());
      },
      [&](const CloseStep& aClose) { root.setClose(aClose.step_.Get()); },
      [&](const GetProgress&) { root.setProgress(); },
    },
    aMessage.operation_);
  return impl::Flatten(builder);
}

std::string
Encode(const TrainerReply& aMessage)
{
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::TrainerReply>();
  root.setTerm(aMessage.term_.Get());
  root.setRemaining(aMessage.taken_.remaining_);
  root.setRedirect(aMessage.redirect_);
  const auto& samples = aMessage.taken_.samples_;
  auto list = root.initSamples(static_cast<std::uint32_t>(samples.size()));
  for (std::uint32_t i = 0; i < samples.size(); ++i) {
    WriteSample(list[i], samples[i]);
  }
  root.setNumber(aMessage.number_);
  root.setAnnounced(aMessage.announced_.Get());
  const auto& progress = aMessage.progress_;
  auto steps = root.initProgress(static_cast<std::uint32_t>(progress.size()));
  for (std::uint32_t i = 0; i < progress.size(); ++i) {
    WriteProgress(steps[i], progress[i]);
  }
  return impl::Flatten(builder);
}

std::string
Encode(const GenerateRequest& aMessage)
{
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::GenerateRequest>();
  root.setTrainer(aMessage.trainer_.Get());
  root.setService(aMessage.service_.Get());
  root.setModel(aMessage.model_);
  WriteRef(root.initSample(), aMessage.sample_);
  root.setMinVersion(aMessage.minVersion_.Get());
  root.setMaxTokens(aMessage.maxTokens_);
  root.setPrompt(aMessage.prompt_);
  return impl::Flatten(builder);
}

std::string
Encode(const GenerateReply& aMessage)
{
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::GenerateReply>();
  root.setText(aMessage.text_);
  root.setTokens(aMessage.tokens_);
  const auto count = static_cast<std::uint32_t>(aMessage.spans_.size());
  WriteSpans(root.initSpans(count), aMessage.spans_);
  root.setUpstream(aMessage.upstream_.Get());
  return impl::Flatten(builder);
}

Result<TrainerRequest>
DecodeTrainerRequest(std::string_view aBytes)
{
  const auto convert =
    [](wire::TrainerRequest::Reader aIn) -> Result<TrainerRequest> {
    auto operation = ReadOperation(aIn);
    if (!operation) {
      return operation.error();
    }
    return TrainerRequest{ TrainerId{ aIn.getTrainer().cStr() },
                           std::move(operation).value() };
  };
  return impl::ReadMessage<wire::TrainerRequest, TrainerRequest>(aBytes,
                                                                 convert);
}

Result<TrainerReply>
DecodeTrainerReply(std::string_view aBytes)
{
  const auto convert =
    [](wire::TrainerReply::Reader aIn) -> Result<TrainerReply> {
    TrainerReply reply;
    reply.term_ = FencingNumber{ aIn.getTerm() };
    reply.taken_.remaining_ = aIn.getRemaining();
    reply.redirect_ = aIn.getRedirect().cStr();
    for (const auto sample : aIn.getSamples()) {
      reply.taken_.samples_.push_back(ReadSample(sample));
    }
    reply.number_ = aIn.getNumber();
    reply.announced_ = WeightVersion{ aIn.getAnnounced() };
    for (const auto step : aIn.getProgress()) {
      reply.progress_.push_back(ReadProgress(step));
    }
    return reply;
  };
  return impl::ReadMessage<wire::TrainerReply, TrainerReply>(aBytes, convert);
}

Result<GenerateRequest>
DecodeGenerateRequest(std::string_view aBytes)
{
  const auto convert =
    [](wire::GenerateRequest::Reader aIn) -> Result<GenerateRequest> {
    GenerateRequest request;
    request.trainer_ = TrainerId{ aIn.getTrainer().cStr() };
    request.service_ = ServiceId{ aIn.getService().cStr() };
    request.model_ = aIn.getModel().cStr();
    request.sample_ = ReadRef(aIn.getSample());
    request.minVersion_ = WeightVersion{ aIn.getMinVersion() };
    request.maxTokens_ = aIn.getMaxTokens();
    request.prompt_.assign(aIn.getPrompt().cStr(), aIn.getPrompt().size());
    return request;
  };
  return impl::ReadMessage<wire::GenerateRequest, GenerateRequest>(aBytes,
                                                                   convert);
}

Result<GenerateReply>
DecodeGenerateReply(std::string_view aBytes)
{
  const auto convert =
    [](wire::GenerateReply::Reader aIn) -> Result<GenerateReply> {
    GenerateReply reply;
    reply.text_.assign(aIn.getText().cStr(), aIn.getText().size());
    reply.tokens_ = aIn.getTokens();
    reply.spans_ = ReadSpans(aIn.getSpans());
    reply.upstream_ = UpstreamId{ aIn.getUpstream().cStr() };
    return reply;
  };
  return impl::ReadMessage<wire::GenerateReply, GenerateReply>(aBytes, convert);
}

} // namespace marjoramtally
