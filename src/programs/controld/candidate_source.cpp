#include "programs/controld/candidate_source.hpp"

#include "marjoramtally/base/json.hpp"

#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

constexpr auto kGenerateTimeout = std::chrono::minutes(5);
constexpr auto kScoreTimeout = std::chrono::seconds(10);
/// Backoff between attempts to score a sample.
constexpr auto kInitialScoreBackoff = std::chrono::milliseconds(50);
constexpr auto kMaxScoreBackoff = std::chrono::seconds(5);

GenerateRequest
MakeRequest(const CandidateRequest& aRequest)
{
  GenerateRequest request;
  request.trainer_ = aRequest.rule_.id_;
  request.service_ = ServiceId{ aRequest.rule_.service_ };
  request.model_ = aRequest.rule_.model_;
  request.sample_ = aRequest.sample_;
  request.minVersion_ = aRequest.minVersion_;
  request.maxTokens_ = aRequest.maxTokens_;
  request.prompt_ = aRequest.prompt_;
  return request;
}

Sample
MakeSample(const SampleId& aId, GenerateReply aReply)
{
  Sample sample;
  sample.id_ = aId;
  sample.text_ = std::move(aReply.text_);
  sample.tokens_ = aReply.tokens_;
  sample.spans_ = std::move(aReply.spans_);
  sample.upstream_ = std::move(aReply.upstream_);
  return sample;
}

/// @returns the reward, or nothing if the response holds none
std::optional<double>
ReadReward(const HttpResult& aResult)
{
  if (aResult.end_ != HttpEnd::Complete || aResult.response_.status_ != 200) {
    return std::nullopt;
  }
  const auto reply = ParseJsonOrDiscarded(aResult.response_.body_);
  if (!reply.is_object() || !reply.contains("reward") ||
      !reply["reward"].is_number()) {
    return std::nullopt;
  }
  return reply["reward"].get<double>();
}

std::uint64_t
SeedOf(const SampleId& aId)
{
  return (aId.step_.Get() << 32U) ^
         (static_cast<std::uint64_t>(aId.group_) << 12U) ^ aId.member_;
}

} // namespace

std::optional<std::string>
CandidateSource::ChooseEntry()
{
  std::vector<std::string> local;
  std::vector<std::string> remote;
  for (const auto& [id, instance] : host_.ClusterState().View()->instances_) {
    if (instance.role_ == "entry") {
      const bool same = instance.zone_.Get() == host_.Settings().zone_;
      (same ? local : remote).push_back(instance.rpc_);
    }
  }
  const auto& choices = local.empty() ? remote : local;
  if (choices.empty()) {
    return std::nullopt;
  }
  return choices[nextEntry_++ % choices.size()];
}

void
CandidateSource::Make(const CandidateRequest& aRequest, CandidateEvents aEvents)
{
  const auto entry = ChooseEntry();
  if (!entry) {
    host_.TimerQueue().After(Duration::zero(), [done = aEvents.done_] {
      done(Error{ ErrorKind::Unavailable, "no entry instance is known" });
    });
    return;
  }
  RpcCall call;
  call.topic_ = RpcTopic::Generate;
  call.timeout_ = kGenerateTimeout;
  call.traceparent_ = aRequest.trace_;
  call.body_ = Encode(MakeRequest(aRequest));
  host_.Rpc().Call(*entry,
                   std::move(call),
                   [this, candidate = aRequest, events = std::move(aEvents)](
                     RpcReply aReply) { OnReply(candidate, events, aReply); });
}

void
CandidateSource::OnReply(const CandidateRequest& aRequest,
                         CandidateEvents aEvents,
                         const RpcReply& aReply)
{
  auto reply = aReply ? DecodeGenerateReply(aReply.value())
                      : Result<GenerateReply>(aReply.error());
  if (!reply) {
    aEvents.done_(reply.error());
    return;
  }
  Sample sample = MakeSample(aRequest.sample_, std::move(reply).value());
  if (aRequest.rule_.scorer_.empty()) {
    aEvents.done_(std::move(sample));
    return;
  }
  aEvents.scoring_();
  const nlohmann::json body{ { "prompt", aRequest.prompt_ },
                             { "text", sample.text_ } };
  Score(std::make_shared<Scoring>(Scoring{
    std::move(sample),
    aRequest.rule_.scorer_,
    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
    Backoff(kInitialScoreBackoff, kMaxScoreBackoff, SeedOf(aRequest.sample_)),
    std::move(aEvents),
  }));
}

void
CandidateSource::Score(const ScoringPtr& aScoring)
{
  HttpCall call;
  call.method_ = "POST";
  call.url_ = "http://" + aScoring->scorer_ + "/score";
  call.body_ = aScoring->body_;
  call.timeout_ = kScoreTimeout;
  call.mayResend_ = true;
  host_.Http().Send(std::move(call),
                    [this, aScoring](const HttpResult& aResult) {
                      OnScore(aScoring, aResult);
                    });
}

void
CandidateSource::OnScore(const ScoringPtr& aScoring, const HttpResult& aResult)
{
  const auto reward = ReadReward(aResult);
  if (!reward) {
    RetryScoreLater(aScoring, aResult);
    return;
  }
  aScoring->sample_.reward_ = *reward;
  aScoring->events_.done_(std::move(aScoring->sample_));
}

void
CandidateSource::RetryScoreLater(const ScoringPtr& aScoring,
                                 const HttpResult& aResult)
{
  LogEvent(LogLevel::Warn,
           "scoring_failed",
           { { "scorer", aScoring->scorer_ },
             { "status", std::to_string(aResult.response_.status_) },
             { "error", aResult.message_ } });
  host_.TimerQueue().After(aScoring->backoff_.Next(), [this, aScoring] {
    if (aScoring->events_.stillWanted_(aScoring->sample_)) {
      Score(aScoring);
    } else {
      aScoring->events_.done_(
        Error{ ErrorKind::Conflict,
               "the sample is no longer needed; scoring abandoned" });
    }
  });
}

} // namespace marjoramtally
