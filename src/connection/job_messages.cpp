#include "marjoramtally/connection/job_messages.hpp"

#include "connection/wire.hpp"
#include "wire/jobs.capnp.h"

namespace marjoramtally {

std::string
EncodeJobAsk(const JobAsk& aAsk)
{
  capnp::MallocMessageBuilder builder;
  auto ask = builder.initRoot<wire::JobAsk>();
  ask.setJob(aAsk.job_);
  ask.setAfter(aAsk.after_);
  return impl::Flatten(builder);
}

Result<JobAsk>
DecodeJobAsk(std::string_view aBytes)
{
  return impl::ReadMessage<wire::JobAsk, JobAsk>(
    aBytes, [](wire::JobAsk::Reader aIn) -> Result<JobAsk> {
      return JobAsk{ aIn.getJob().cStr(), aIn.getAfter() };
    });
}

std::string
EncodeJobAnswer(std::string_view aResults)
{
  capnp::MallocMessageBuilder builder;
  auto answer = builder.initRoot<wire::JobAnswer>();
  answer.setResults(kj::arrayPtr(
    reinterpret_cast<const kj::byte*>(aResults.data()), aResults.size()));
  return impl::Flatten(builder);
}

Result<std::string>
DecodeJobAnswer(std::string_view aBytes)
{
  return impl::ReadMessage<wire::JobAnswer, std::string>(
    aBytes, [](wire::JobAnswer::Reader aIn) -> Result<std::string> {
      const auto results = aIn.getResults();
      return std::string(reinterpret_cast<const char*>(results.begin()),
                         results.size());
    });
}

} // namespace marjoramtally
