#include "programs/gatewayd/usage_service.hpp"

#include "marjoramtally/runtime/log.hpp"

namespace marjoramtally {

namespace {

/// A gateway that does not answer within this time is queried again in the next
/// round.
constexpr auto kPeerTimeout = std::chrono::milliseconds(400);

} // namespace

UsageService::UsageService(GatewayContext& aHost,
                           const Forwarder& aForwarder,
                           JobRunner& aRunner)
  : host_(aHost)
  , forwarder_(aForwarder)
  , runner_(aRunner)
{
  host_.Peers().Serve(RpcTopic::Usage,
                      [this](const RpcCall& aCall, const RpcDone& aDone) {
                        Serve(aCall, aDone);
                      });
}

GatewayUsage
UsageService::OwnUsage(const UsageRequest& aRequest)
{
  GatewayUsage usage;
  usage.incarnation_ = host_.Incarnation();
  usage.clockAhead_ = host_.WallTime() - aRequest.now_.sinceEpoch_;
  usage.counts_ =
    forwarder_.Usage().Counts(host_.Now(), aRequest.now_, aRequest.window_);
  usage.demand_ = runner_.SlotsWanted();
  usage.modelDemand_ = runner_.TakeModelDemand();
  usage.longRuns_ = runner_.LongRuns();
  for (const auto& [service, requests] : forwarder_.InProgress()) {
    usage.demand_[service] += requests;
  }
  return usage;
}

void
UsageService::Serve(const RpcCall& aCall, const RpcDone& aDone)
{
  const auto request = DecodeUsageRequest(aCall.body_);
  if (!request) {
    LogEvent(LogLevel::Warn,
             "usage_ask_unreadable",
             { { "error", request.error().message_ } });
    aDone(request.error());
    return;
  }
  const auto round = std::make_shared<Round>();
  round->answers_.push_back(OwnUsage(request.value()));
  round->outstanding_ = request.value().others_.size();
  round->done_ = aDone;
  if (round->outstanding_ == 0) {
    aDone(EncodeUsageReply(round->answers_));
    return;
  }
  for (const std::string& other : request.value().others_) {
    RequestUsage(other, request.value(), round);
  }
}

void
UsageService::RequestUsage(const std::string& aAddress,
                           const UsageRequest& aRequest,
                           const std::shared_ptr<Round>& aRound)
{
  RpcCall call;
  call.topic_ = RpcTopic::Usage;
  call.timeout_ = kPeerTimeout;
  call.body_ = EncodeUsageRequest({ aRequest.now_, aRequest.window_, {} });
  host_.Peers().Call(
    aAddress, std::move(call), [aAddress, aRound](const RpcReply& aReply) {
      auto answers = aReply ? DecodeUsageReply(aReply.value())
                            : Result<std::vector<GatewayUsage>>(aReply.error());
      if (answers) {
        std::move(answers.value().begin(),
                  answers.value().end(),
                  std::back_inserter(aRound->answers_));
      } else {
        LogEvent(LogLevel::Debug,
                 "usage_not_told",
                 { { "by", aAddress }, { "error", answers.error().message_ } });
      }
      if (--aRound->outstanding_ == 0) {
        aRound->done_(EncodeUsageReply(aRound->answers_));
      }
    });
}

} // namespace marjoramtally
