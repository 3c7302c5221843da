#include "marjoramtally/connection/job_messages.hpp"

#include "connection/wire.hpp"
#include "wire/jobs.capnp.h"

namespace marjoramtally {

namespace {

kj::ArrayPtr<const kj::byte>
ToData(std::string_view aText)
{
  return kj::arrayPtr(reinterpret_cast<const kj::byte*>(aText.data()),
                      aText.size());
}

std::string
FromData(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

} // namespace

std::string
EncodeJobAsk(const JobAsk& aAsk)
{
  capnp::MallocMessageBuilder builder;
  auto ask = builder.initRoot<wire::JobAsk>();
  ask.setJob(aAsk.job_);
  ask.setAfter(aAsk.after_);
  ask.setWaitMs(static_cast<std::uint32_t>(WholeMillis(aAsk.wait_)));
  return impl::Flatten(builder);
}

Result<JobAsk>
DecodeJobAsk(std::string_view aBytes)
{
  return impl::ReadMessage<wire::JobAsk, JobAsk>(
    aBytes, [](wire::JobAsk::Reader aIn) -> Result<JobAsk> {
      return JobAsk{ aIn.getJob().cStr(),
                     aIn.getAfter(),
                     std::chrono::milliseconds(aIn.getWaitMs()) };
    });
}

std::string
EncodeJobBodyAsk(const JobBodyAsk& aAsk)
{
  capnp::MallocMessageBuilder builder;
  auto ask = builder.initRoot<wire::JobBodyAsk>();
  ask.setJob(aAsk.job_);
  ask.setItem(aAsk.item_);
  return impl::Flatten(builder);
}

Result<JobBodyAsk>
DecodeJobBodyAsk(std::string_view aBytes)
{
  return impl::ReadMessage<wire::JobBodyAsk, JobBodyAsk>(
    aBytes, [](wire::JobBodyAsk::Reader aIn) -> Result<JobBodyAsk> {
      return JobBodyAsk{ aIn.getJob().cStr(), aIn.getItem().cStr() };
    });
}

std::string
EncodeJobBodyAnswer(const std::optional<std::string>& aBody)
{
  capnp::MallocMessageBuilder builder;
  auto answer = builder.initRoot<wire::JobBodyAnswer>();
  answer.setFound(aBody.has_value());
  answer.setBody(ToData(aBody.value_or("")));
  return impl::Flatten(builder);
}

Result<std::optional<std::string>>
DecodeJobBodyAnswer(std::string_view aBytes)
{
  using Body = std::optional<std::string>;
  return impl::ReadMessage<wire::JobBodyAnswer, Body>(
    aBytes, [](wire::JobBodyAnswer::Reader aIn) -> Result<Body> {
      return aIn.getFound() ? Body(FromData(aIn.getBody())) : Body();
    });
}

std::string
EncodeJobHandOn(const JobHandOn& aHandOn)
{
  capnp::MallocMessageBuilder builder;
  auto handOn = builder.initRoot<wire::JobHandOn>();
  handOn.setJob(aHandOn.job_);
  handOn.setSubmission(ToData(aHandOn.submission_));
  return impl::Flatten(builder);
}

Result<JobHandOn>
DecodeJobHandOn(std::string_view aBytes)
{
  return impl::ReadMessage<wire::JobHandOn, JobHandOn>(
    aBytes, [](wire::JobHandOn::Reader aIn) -> Result<JobHandOn> {
      return JobHandOn{ aIn.getJob().cStr(), FromData(aIn.getSubmission()) };
    });
}

std::string
EncodeJobHandOnAnswer(std::uint8_t aEnd)
{
  capnp::MallocMessageBuilder builder;
  builder.initRoot<wire::JobHandOnAnswer>().setEnd(aEnd);
  return impl::Flatten(builder);
}

Result<std::uint8_t>
DecodeJobHandOnAnswer(std::string_view aBytes)
{
  return impl::ReadMessage<wire::JobHandOnAnswer, std::uint8_t>(
    aBytes, [](wire::JobHandOnAnswer::Reader aIn) -> Result<std::uint8_t> {
      return aIn.getEnd();
    });
}

std::string
EncodeJobAnswer(std::string_view aResults)
{
  capnp::MallocMessageBuilder builder;
  auto answer = builder.initRoot<wire::JobAnswer>();
  answer.setResults(ToData(aResults));
  return impl::Flatten(builder);
}

Result<std::string>
DecodeJobAnswer(std::string_view aBytes)
{
  return impl::ReadMessage<wire::JobAnswer, std::string>(
    aBytes, [](wire::JobAnswer::Reader aIn) -> Result<std::string> {
      return FromData(aIn.getResults());
    });
}

} // namespace marjoramtally
