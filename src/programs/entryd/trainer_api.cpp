#include "programs/entryd/trainer_api.hpp"

#include "marjoramtally/base/json.hpp"

#include "daemon/access.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kPrefix = "/v1/trainers/";
constexpr std::uint64_t kMaxWaitMillis = 60'000;
constexpr std::uint32_t kMaxSamplesPerTake = 4096;
constexpr std::uint32_t kMaxGroupSize = 1024;
constexpr std::uint32_t kMaxTokens = 1U << 20U;
constexpr std::size_t kMaxPeersTried = 4;
/// Time for an owner to answer, which may include a request to the store.
constexpr auto kOwnerTimeout = std::chrono::seconds(3);
/// Time for an owner to answer a take in addition to the requested wait. Kept
/// short because the owner may be paused while another instance has taken over.
constexpr auto kTakeTimeoutMargin = std::chrono::seconds(1);

/// Reads a number of a JSON object.
/// @throws std::invalid_argument if it is out of bounds
std::uint64_t
ReadBounded(const Json& aBody,
            const char* aName,
            std::uint64_t aMin,
            std::uint64_t aMax)
{
  const auto value = aBody.at(aName).get<std::uint64_t>();
  if (value < aMin || value > aMax) {
    throw std::invalid_argument("'" + std::string(aName) + "' must be from " +
                                std::to_string(aMin) + " to " +
                                std::to_string(aMax));
  }
  return value;
}

TrainerOperation
ParseOpen(const Json& aBody)
{
  StepSpec spec;
  spec.step_ = StepId{ ReadBounded(aBody, "step", 0, UINT64_MAX) };
  spec.version_ = WeightVersion{ ReadBounded(aBody, "version", 0, UINT64_MAX) };
  spec.groupSize_ = static_cast<std::uint32_t>(
    ReadBounded(aBody, "group_size", 1, kMaxGroupSize));
  spec.maxTokens_ =
    static_cast<std::uint32_t>(ReadBounded(aBody, "max_tokens", 1, kMaxTokens));
  spec.prompts_ = aBody.at("prompts").get<std::vector<std::string>>();
  if (spec.prompts_.empty() ||
      spec.prompts_.size() * spec.groupSize_ > IndexSet::kMaxIndex) {
    throw std::invalid_argument("'prompts' must give 1 to " +
                                std::to_string(IndexSet::kMaxIndex) +
                                " samples in all");
  }
  return OpenStep{ std::move(spec) };
}

TrainerOperation
ParseTake(const Json& aBody)
{
  TakeSamples take;
  take.spec_.step_ = StepId{ ReadBounded(aBody, "step", 0, UINT64_MAX) };
  take.spec_.version_ =
    WeightVersion{ ReadBounded(aBody, "version", 0, UINT64_MAX) };
  const auto held = IndexSet::Parse(aBody.at("held").get<std::string>());
  if (!held) {
    throw std::invalid_argument("'held' must be ranges such as 0-3,8");
  }
  take.spec_.held_ = *held;
  if (aBody.contains("most")) {
    take.spec_.maxSamples_ = static_cast<std::uint32_t>(
      ReadBounded(aBody, "most", 1, kMaxSamplesPerTake));
  }
  if (aBody.contains("take")) {
    take.spec_.number_ = ReadBounded(aBody, "take", 0, UINT64_MAX);
  }
  take.spec_.completeGroups_ = aBody.value("whole_groups", false);
  if (aBody.contains("wait_ms")) {
    take.wait_ = std::chrono::milliseconds(
      ReadBounded(aBody, "wait_ms", 0, kMaxWaitMillis));
  }
  return take;
}

TrainerOperation
ParseAnnounce(const Json& aBody)
{
  return AnnounceVersion{ WeightVersion{
    ReadBounded(aBody, "version", 1, UINT64_MAX) } };
}

TrainerOperation
ParseClose(const Json& aBody)
{
  return CloseStep{ StepId{ ReadBounded(aBody, "step", 0, UINT64_MAX) } };
}

TrainerOperation
ParseProgress(const Json& /*aBody*/)
{
  return GetProgress{};
}

/// One operation of the interface and the parser of its body.
struct OperationRoute
{
  std::string_view name_;
  TrainerOperation (*parse_)(const Json&);
};

constexpr std::array<OperationRoute, 5> kRoutes{ {
  { "open", ParseOpen },
  { "take", ParseTake },
  { "announce", ParseAnnounce },
  { "close", ParseClose },
  { "progress", ParseProgress },
} };

Result<TrainerRequest>
ParseRequest(const HttpRequest& aRequest)
{
  const std::string rest = aRequest.path_.substr(kPrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string name =
    slash == std::string::npos ? "" : rest.substr(slash + 1);
  for (const OperationRoute& route : kRoutes) {
    if (route.name_ != name) {
      continue;
    }
    try {
      return TrainerRequest{ TrainerId{ rest.substr(0, slash) },
                             route.parse_(ParseJson(aRequest.body_)) };
    } catch (const std::exception& failure) {
      return Error{ ErrorKind::BadInput,
                    "body of " + name + ": " + failure.what() };
    }
  }
  return Error{ ErrorKind::NotFound,
                "no trainer operation '" + name +
                  "'; there are open, take, announce, close, progress" };
}

Json
FormatSample(const Sample& aSample)
{
  Json spans = Json::array();
  for (const VersionSpan& span : aSample.spans_) {
    spans.push_back({ { "version", span.version_.Get() },
                      { "from", span.from_ },
                      { "to", span.to_ } });
  }
  return {
    { "step", aSample.id_.step_.Get() },     { "group", aSample.id_.group_ },
    { "member", aSample.id_.member_ },       { "text", aSample.text_ },
    { "tokens", aSample.tokens_ },           { "reward", aSample.reward_ },
    { "upstream", aSample.upstream_.Get() }, { "weight_versions", spans }
  };
}

HttpResponse
FormatReply(const TrainerReply& aReply)
{
  Json samples = Json::array();
  for (const Sample& sample : aReply.taken_.samples_) {
    samples.push_back(FormatSample(sample));
  }
  Json steps = Json::array();
  for (const StepProgress& step : aReply.progress_) {
    steps.push_back({ { "step", step.step_.Get() },
                      { "wanted", step.wanted_ },
                      { "in_generation", step.inGeneration_ },
                      { "scoring", step.scoring_ },
                      { "ready", step.ready_ },
                      { "held", step.held_ } });
  }
  const Json body{ { "term", aReply.term_.Get() },
                   { "take", aReply.number_ },
                   { "remaining", aReply.taken_.remaining_ },
                   { "samples", samples },
                   { "announced", aReply.announced_.Get() },
                   { "steps", steps } };
  return JsonResponse(
    200, body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

int
StatusOf(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::BadInput:
      return 400;
    case ErrorKind::NotFound:
      return 404;
    case ErrorKind::Conflict:
      return 409;
    default:
      return 503;
  }
}

HttpResponse
FormatError(const Error& aError)
{
  HttpResponse response = ErrorResponse(
    StatusOf(aError.kind_), ToString(aError.kind_), aError.message_);
  if (response.status_ == 503) {
    response.headers_.push_back({ "Retry-After", "1" });
  }
  return response;
}

} // namespace

void
TrainerApi::Serve(const HttpRequest& aRequest,
                  const TraceContext& aTrace,
                  const HttpReplyPtr& aReply)
{
  auto request = ParseRequest(aRequest);
  if (!request) {
    aReply->Send(FormatError(request.error()));
    return;
  }
  const auto rules = host_.ClusterState().View()->rules_;
  const TrainerId trainer = request.value().trainer_;
  if (!rules->trainers_.contains(trainer)) {
    aReply->Send(FormatError(
      Error{ ErrorKind::NotFound, "unknown trainer '" + trainer.Get() + "'" }));
    return;
  }
  const auto allowed = CheckTrainerAccess(*rules, trainer, aRequest.headers_);
  if (!allowed) {
    aReply->Send(ErrorResponse(401, "refused", allowed.error().message_));
    return;
  }
  auto forward = std::make_shared<Forward>();
  forward->request_ = std::move(request).value();
  forward->timeout_ = kOwnerTimeout;
  if (const auto* take =
        std::get_if<TakeSamples>(&forward->request_.operation_)) {
    forward->timeout_ = kTakeTimeoutMargin + take->wait_;
  }
  forward->span_ = StartSpan(aTrace, "trainer");
  forward->span_.attributes_["trainer"] = trainer.Get();
  forward->reply_ = aReply;
  TryNextPeer(forward, "no control instance is known");
}

std::optional<std::string>
TrainerApi::ChoosePeer(const Forward& aForward) const
{
  const auto view = host_.ClusterState().View();
  const auto tried = [&](const std::string& aPeer) {
    return std::find(aForward.tried_.begin(), aForward.tried_.end(), aPeer) !=
           aForward.tried_.end();
  };
  const auto owner =
    view->owners_.find("trainer/" + aForward.request_.trainer_.Get());
  if (owner != view->owners_.end() && !tried(owner->second.rpc_)) {
    return owner->second.rpc_;
  }
  for (const bool sameZone : { true, false }) {
    for (const auto& [id, instance] : view->instances_) {
      const bool inThisZone = instance.zone_.Get() == host_.Settings().zone_;
      if (instance.role_ == "control" && inThisZone == sameZone &&
          !tried(instance.rpc_)) {
        return instance.rpc_;
      }
    }
  }
  return std::nullopt;
}

void
TrainerApi::TryNextPeer(const ForwardPtr& aForward, const std::string& aFailure)
{
  const auto peer = aForward->tried_.size() < kMaxPeersTried
                      ? ChoosePeer(*aForward)
                      : std::nullopt;
  if (!peer) {
    host_.Traces().End(aForward->span_);
    aForward->reply_->Send(
      FormatError(Error{ ErrorKind::Unavailable, aFailure }));
    return;
  }
  SendToPeer(aForward, *peer);
}

void
TrainerApi::SendToPeer(const ForwardPtr& aForward, const std::string& aPeer)
{
  aForward->tried_.push_back(aPeer);
  RpcCall call;
  call.topic_ = RpcTopic::Trainer;
  call.timeout_ = aForward->timeout_;
  call.traceparent_ = aForward->span_.context_.Format();
  call.body_ = Encode(aForward->request_);
  host_.Rpc().Call(aPeer, std::move(call), [this, aForward](RpcReply aReply) {
    OnPeerReply(aForward, aReply);
  });
}

void
TrainerApi::OnPeerReply(const ForwardPtr& aForward, const RpcReply& aReply)
{
  if (!aReply) {
    const ErrorKind kind = aReply.error().kind_;
    if (kind == ErrorKind::Unavailable || kind == ErrorKind::Timeout) {
      TryNextPeer(aForward, aReply.error().message_);
      return;
    }
    host_.Traces().End(aForward->span_);
    aForward->reply_->Send(FormatError(aReply.error()));
    return;
  }
  const auto reply = DecodeTrainerReply(aReply.value());
  if (reply && !reply.value().redirect_.empty()) {
    const auto& tried = aForward->tried_;
    const std::string& owner = reply.value().redirect_;
    const bool more =
      tried.size() < kMaxPeersTried &&
      std::find(tried.begin(), tried.end(), owner) == tried.end();
    if (more) {
      SendToPeer(aForward, owner);
    } else {
      TryNextPeer(aForward, "the trainer's owner is changing");
    }
    return;
  }
  host_.Traces().End(aForward->span_);
  aForward->reply_->Send(reply ? FormatReply(reply.value())
                               : FormatError(reply.error()));
}

} // namespace marjoramtally
