/// Two gateways for jobs with one store.
#pragma once

#include "job_gateway.hpp"
#include "marjoramtally/connection/job_messages.hpp"

#include <catch2/catch.hpp>

namespace marjoramtally::test {

/// Two gateways and a model whose jobs the second is to own.
struct GatewayPair : GatewayFakes
{
  JobGateway first_{ *this, store_, "one~1" };
  JobGateway second_{ *this, store_, "two~1" };
  std::string model_;

  GatewayPair()
  {
    first_.peers_.others_["a:2"] = &second_.peers_;
    second_.peers_.others_["a:1"] = &first_.peers_;
    first_.directory_.Start();
    second_.directory_.Start();
    timers_.Advance(std::chrono::milliseconds(20));
    store_.Put(job_keys::Liveness("one~1"),
               WriteLivenessRecord({ ZoneId{ "z" }, "a:1" }));
    store_.Put(job_keys::Liveness("two~1"),
               WriteLivenessRecord({ ZoneId{ "z" }, "a:2" }));
    timers_.Advance(std::chrono::milliseconds(20));
    constexpr int kEnough = 100;
    for (int i = 0; i < kEnough && model_.empty(); ++i) {
      const std::string candidate = "m" + std::to_string(i);
      if (first_.directory_.OwnerFor(candidate) == "a:2") {
        model_ = candidate;
      }
    }
    REQUIRE_FALSE(model_.empty());
  }

  /// Submits a job at the first gateway, which hands it on.
  std::shared_ptr<FakeReply> Submit(const std::string& aJob)
  {
    return SubmitAt(first_, aJob);
  }

  /// Submits a job at the gateway that owns it.
  std::shared_ptr<FakeReply> SubmitToOwner(const std::string& aJob)
  {
    return SubmitAt(second_, aJob);
  }

  std::shared_ptr<FakeReply> SubmitAt(JobGateway& aGateway,
                                      const std::string& aJob)
  {
    auto reply = std::make_shared<FakeReply>();
    HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/i/" + aJob;
    request.headers_ = { { "Host", "h" },
                         { platform_->Names().attempt_, aJob } };
    request.body_ = R"({"model":")" + model_ +
                    R"(","items":[{"id":"a1","path":"/i/a1","headers":{},)"
                    R"("body":"aGk=","tokens":1}]})";
    aGateway.jobs_.Submit(std::move(request), ConfigRevision{ 1 }, reply);
    timers_.Advance(std::chrono::milliseconds(50));
    return reply;
  }

  /// @returns the outcome at the second process
  AcceptOutcome HandOn(const std::string& aJob)
  {
    RpcCall call;
    call.topic_ = RpcTopic::JobHandOn;
    call.body_ =
      EncodeJobHandover({ aJob,
                          WriteSubmissionRecord(
                            { "h",
                              "/i/" + aJob,
                              R"({"items":[{"id":"a1","path":"/i/a1"}]})" }) });
    std::optional<AcceptOutcome> end;
    second_.peers_.handlers_.at(RpcTopic::JobHandOn)(
      call, [&end](const RpcReply& aReply) {
        end = static_cast<AcceptOutcome>(
          DecodeJobHandoverReply(aReply.value()).value());
      });
    timers_.Advance(std::chrono::milliseconds(50));
    return end.value();
  }

  std::string OwnerOf(const std::string& aJob)
  {
    const auto& record = store_.records_.at(job_keys::Owner(JobId{ aJob }));
    return ReadOwnerRecord(record.value_).value().owner_;
  }

  /// Adds an upstream that serves the model.
  void AddTo(UpstreamTable& aTable) const
  {
    UpstreamEntry entry;
    entry.id_ = UpstreamId{ "e0" };
    entry.service_ = ServiceId{ "lm" };
    entry.address_ = "e0:1";
    entry.zone_ = ZoneId{ "z1" };
    entry.slots_ = 4;
    entry.models_ = { { model_, WeightVersion{ 5 } } };
    aTable.OnEntry(std::move(entry));
  }

  /// Completes the only item at the second process.
  void AnswerItem()
  {
    const SentCall call = second_.client_.Oldest();
    HttpResponse response = Answer(call, 200, "id: 1\ndata: x\n\n");
    response.headers_.push_back({ platform_->Names().versions_, "5" });
    second_.client_.Answer(call, std::move(response));
  }

  std::shared_ptr<FakeReply> ReadFirst(const std::string& aJob, int aWaitMillis)
  {
    JobQuery query;
    query.job_ = JobId{ aJob };
    query.verb_ = JobQuery::Verb::Read;
    HttpRequest request;
    request.headers_ = { { platform_->Names().wait_,
                           std::to_string(aWaitMillis) } };
    auto reply = std::make_shared<FakeReply>();
    first_.jobs_.Query(query, request, reply);
    timers_.Advance(std::chrono::milliseconds(10));
    return reply;
  }

  std::shared_ptr<FakeReply> QueryFirst(const std::string& aJob,
                                        JobQuery::Verb aVerb,
                                        const std::string& aItem = "")
  {
    JobQuery query;
    query.job_ = JobId{ aJob };
    query.verb_ = aVerb;
    query.item_ = ItemId{ aItem };
    auto reply = std::make_shared<FakeReply>();
    first_.jobs_.Query(query, HttpRequest{}, reply);
    timers_.Advance(std::chrono::milliseconds(50));
    return reply;
  }
};

} // namespace marjoramtally::test
