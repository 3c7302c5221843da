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
EncodeJobResultsRequest(const JobResultsRequest& aRequest)
{
  capnp::MallocMessageBuilder builder;
  auto request = builder.initRoot<wire::JobAsk>();
  request.setJob(aRequest.job_);
  request.setAfter(aRequest.after_);
  request.setWaitMs(static_cast<std::uint32_t>(WholeMillis(aRequest.wait_)));
  return impl::Flatten(builder);
}

Result<JobResultsRequest>
DecodeJobResultsRequest(std::string_view aBytes)
{
  return impl::ReadMessage<wire::JobAsk, JobResultsRequest>(
    aBytes, [](wire::JobAsk::Reader aIn) -> Result<JobResultsRequest> {
      return JobResultsRequest{ aIn.getJob().cStr(),
                                aIn.getAfter(),
                                std::chrono::milliseconds(aIn.getWaitMs()) };
    });
}

std::string
EncodeJobBodyRequest(const JobBodyRequest& aRequest)
{
  capnp::MallocMessageBuilder builder;
  auto request = builder.initRoot<wire::JobBodyAsk>();
  request.setJob(aRequest.job_);
  request.setItem(aRequest.item_);
  return impl::Flatten(builder);
}

Result<JobBodyRequest>
DecodeJobBodyRequest(std::string_view aBytes)
{
  return impl::ReadMessage<wire::JobBodyAsk, JobBodyRequest>(
    aBytes, [](wire::JobBodyAsk::Reader aIn) -> Result<JobBodyRequest> {
      return JobBodyRequest{ aIn.getJob().cStr(), aIn.getItem().cStr() };
    });
}

std::string
EncodeJobBodyReply(const std::optional<std::string>& aBody)
{
  capnp::MallocMessageBuilder builder;
  auto reply = builder.initRoot<wire::JobBodyAnswer>();
  reply.setFound(aBody.has_value());
  reply.setBody(ToData(aBody.value_or("")));
  return impl::Flatten(builder);
}

Result<std::optional<std::string>>
DecodeJobBodyReply(std::string_view aBytes)
{
  using Body = std::optional<std::string>;
  return impl::ReadMessage<wire::JobBodyAnswer, Body>(
    aBytes, [](wire::JobBodyAnswer::Reader aIn) -> Result<Body> {
      return aIn.getFound() ? Body(FromData(aIn.getBody())) : Body();
    });
}

std::string
EncodeJobHandover(const JobHandover& aHandover)
{
  capnp::MallocMessageBuilder builder;
  auto handover = builder.initRoot<wire::JobHandOn>();
  handover.setJob(aHandover.job_);
  handover.setSubmission(ToData(aHandover.submission_));
  return impl::Flatten(builder);
}

Result<JobHandover>
DecodeJobHandover(std::string_view aBytes)
{
  return impl::ReadMessage<wire::JobHandOn, JobHandover>(
    aBytes, [](wire::JobHandOn::Reader aIn) -> Result<JobHandover> {
      return JobHandover{ aIn.getJob().cStr(), FromData(aIn.getSubmission()) };
    });
}

std::string
EncodeJobHandoverReply(std::uint8_t aEnd)
{
  capnp::MallocMessageBuilder builder;
  builder.initRoot<wire::JobHandOnAnswer>().setEnd(aEnd);
  return impl::Flatten(builder);
}

Result<std::uint8_t>
DecodeJobHandoverReply(std::string_view aBytes)
{
  return impl::ReadMessage<wire::JobHandOnAnswer, std::uint8_t>(
    aBytes, [](wire::JobHandOnAnswer::Reader aIn) -> Result<std::uint8_t> {
      return aIn.getEnd();
    });
}

std::string
EncodeJobResultsReply(std::string_view aResults)
{
  capnp::MallocMessageBuilder builder;
  auto reply = builder.initRoot<wire::JobAnswer>();
  reply.setResults(ToData(aResults));
  return impl::Flatten(builder);
}

Result<std::string>
DecodeJobResultsReply(std::string_view aBytes)
{
  return impl::ReadMessage<wire::JobAnswer, std::string>(
    aBytes, [](wire::JobAnswer::Reader aIn) -> Result<std::string> {
      return FromData(aIn.getResults());
    });
}

} // namespace marjoramtally
