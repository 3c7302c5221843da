#include "programs/entryd/entry.hpp"

#include "programs/entryd/completions.hpp"
#include "programs/entryd/live_messages.hpp"
#include "programs/entryd/stream_relay.hpp"

namespace marjoramtally {

namespace {

constexpr std::string_view kServicePath = "/v1/services/";
constexpr std::string_view kTrainerPath = "/v1/trainers/";
constexpr std::string_view kCompletionPath = "/v1/completions";
/// Retry delay in seconds of requests that arrive before any rules were read;
/// the store is read every second by default (`DaemonSettings::refresh_`).
constexpr const char* kRetryAfterSeconds = "1";

HttpResponse
MakeNoRulesResponse()
{
  HttpResponse response =
    MakeRefusal(503, "no_rules", "no rules are known here yet");
  response.headers_.push_back({ "Retry-After", kRetryAfterSeconds });
  return response;
}

} // namespace

Entry::Entry(Host& aHost)
  : host_(aHost)
  , dispatcher_(aHost)
  , claims_(aHost)
  , trainers_(aHost)
{
  host_.onHttp_ = [this](HttpRequest aRequest, const HttpReplyPtr& aReply) {
    OnHttp(std::move(aRequest), aReply);
  };
  host_.onRpc_ = [this](RpcCall aCall, RpcDone aDone) {
    OnRpc(std::move(aCall), std::move(aDone));
  };
}

void
Entry::Start()
{
  dispatcher_.Start();
  claims_.Start();
}

bool
Entry::Busy() const
{
  return dispatcher_.Unfinished() > 0 || claims_.OpenCount() > 0;
}

void
Entry::OnHttp(HttpRequest aRequest, const HttpReplyPtr& aReply)
{
  if (!IsLoaded(*host_.ClusterState().View()->rules_)) {
    // Callers treat 404 as final, so the answer is 503 until rules are known.
    LogEvent(
      LogLevel::Info,
      "refused",
      { { "path", aRequest.path_ }, { "why", "no rules have been read yet" } });
    aReply->Send(MakeNoRulesResponse());
  } else if (aRequest.path_.starts_with(kServicePath)) {
    ServeCall(std::move(aRequest), aReply);
  } else if (aRequest.path_ == kCompletionPath) {
    ServeCompletion(std::move(aRequest), aReply);
  } else if (aRequest.path_.starts_with(kTrainerPath)) {
    trainers_.Serve(aRequest, TraceOf(aRequest), aReply);
  } else {
    aReply->Send(
      MakeRefusal(404, "not_found", "no route for " + aRequest.path_));
  }
}

Result<RequestSpec>
Entry::MakeSpec(const HttpRequest& aRequest, const ServiceId& aService)
{
  const auto rules = host_.ClusterState().View()->rules_;
  const auto service = rules->services_.find(aService);
  if (service == rules->services_.end()) {
    return Error{ ErrorKind::NotFound,
                  "unknown service '" + aService.Get() + "'" };
  }
  RequestSpec spec;
  spec.service_ = aService;
  spec.id_ = RequestId{ host_.Settings().instance_ + "-" +
                        std::to_string(++lastRequest_) };
  spec.arrived_ = host_.Now();
  Duration deadline = service->second.deadline_;
  if (const auto text = FindHeader(aRequest.headers_, kDeadlineHeader)) {
    const auto parsed = ParseDuration(*text);
    if (!parsed || *parsed <= Duration::zero()) {
      return Error{ ErrorKind::BadInput,
                    "header X-Deadline: '" + std::string(*text) +
                      "' is no duration above zero" };
    }
    deadline = *parsed;
  }
  spec.deadline_ = spec.arrived_ + deadline;
  if (const auto text = FindHeader(aRequest.headers_, "X-Class")) {
    const auto parsed = ParseRequestClass(*text);
    if (!parsed || *parsed == RequestClass::Trainer) {
      return Error{ ErrorKind::BadInput,
                    "header X-Class: '" + std::string(*text) +
                      "' is neither live nor background" };
    }
    spec.class_ = *parsed;
  }
  const auto key = FindHeader(aRequest.headers_, "Idempotency-Key");
  spec.idempotent_ =
    !key && FindHeader(aRequest.headers_, "X-Idempotent") != "no";
  spec.key_ = IdempotencyKey{ std::string(key.value_or("")) };
  return spec;
}

void
Entry::SubmitLive(RequestSpec aSpec,
                  UpstreamMessage aMessage,
                  ResponseClassifier aClassify,
                  const HttpRequest& aRequest,
                  const HttpReplyPtr& aReply,
                  bool aStream)
{
  aSpec.fingerprint_ = MakeFingerprint({ aRequest.method_,
                                         aRequest.path_,
                                         aRequest.query_,
                                         aMessage.body_.Get() })
                         .Get();
  Span span = StartSpan(TraceOf(aRequest), "entry");
  span.attributes_["service"] = aSpec.service_.Get();
  auto live = std::make_shared<LiveRequest>(LiveRequest{ std::move(aSpec),
                                                         std::move(aMessage),
                                                         std::move(aClassify),
                                                         std::move(span),
                                                         aReply,
                                                         nullptr });
  if (aStream) {
    live->stream_ =
      std::make_shared<StreamRelay>(host_.Http(), aReply, live->message_.body_);
    live->message_.sink_ = live->stream_;
  }
  if (live->spec_.idempotent_ || live->spec_.key_.Get().empty()) {
    RunLive(live);
    return;
  }
  claims_.Claim(live->spec_, [this, live](const ClaimVerdict& aVerdict) {
    if (aVerdict.answer_ == ClaimAnswer::Run) {
      RunLive(live);
    } else {
      AnswerLive(*live, MakeClaimResponse(aVerdict));
    }
  });
}

void
Entry::RunLive(const LiveRequestPtr& aLive)
{
  const bool claimed =
    !aLive->spec_.idempotent_ && !aLive->spec_.key_.Get().empty();
  dispatcher_.Submit(aLive->spec_,
                     std::move(aLive->message_),
                     aLive->span_.context_,
                     std::move(aLive->classify_),
                     [this, aLive, claimed](DispatchResult aResult) {
                       const Outcome outcome = aResult.outcome_;
                       HttpResponse response = MakeResponse(std::move(aResult));
                       if (!claimed) {
                         AnswerLive(*aLive, std::move(response));
                         return;
                       }
                       const int status = response.status_;
                       claims_.RecordOutcome(aLive->spec_,
                                             outcome,
                                             status,
                                             [this, aLive, response] {
                                               AnswerLive(*aLive, response);
                                             });
                     });
}

void
Entry::AnswerLive(LiveRequest& aLive, HttpResponse aResponse)
{
  const auto outcome = FindHeader(aResponse.headers_, kOutcomeHeader);
  aLive.span_.attributes_["outcome"] = std::string(outcome.value_or(""));
  host_.Traces().End(std::move(aLive.span_));
  if (aLive.stream_) {
    aLive.stream_->Finish(std::move(aResponse));
  } else {
    aLive.reply_->Send(std::move(aResponse));
  }
}

void
Entry::ServeCall(HttpRequest aRequest, const HttpReplyPtr& aReply)
{
  const std::string rest = aRequest.path_.substr(kServicePath.size());
  const std::size_t slash = rest.find('/');
  auto spec = MakeSpec(aRequest, ServiceId{ rest.substr(0, slash) });
  if (!spec) {
    const bool missing = spec.error().kind_ == ErrorKind::NotFound;
    aReply->Send(MakeRefusal(missing ? 404 : 400,
                             ToString(spec.error().kind_),
                             spec.error().message_));
    return;
  }
  UpstreamMessage message;
  message.method_ = aRequest.method_;
  message.target_ =
    slash == std::string::npos ? std::string("/") : rest.substr(slash);
  if (!aRequest.query_.empty()) {
    message.target_ += "?" + aRequest.query_;
  }
  message.headers_ = EndToEndHeaders(aRequest.headers_);
  message.body_ = std::move(aRequest.body_);
  SubmitLive(std::move(spec).value(),
             std::move(message),
             ClassifyPlainResponse,
             aRequest,
             aReply,
             false);
}

void
Entry::ServeCompletion(HttpRequest aRequest, const HttpReplyPtr& aReply)
{
  const auto params = ParseCompletionRequest(aRequest.body_);
  if (!params) {
    aReply->Send(MakeRefusal(400, "bad_input", params.error().message_));
    return;
  }
  const auto rules = host_.ClusterState().View()->rules_;
  const auto service = FindModelService(*rules, params.value().model_);
  if (!service) {
    aReply->Send(MakeRefusal(
      404, "not_found", "unknown model '" + params.value().model_ + "'"));
    return;
  }
  auto spec = MakeSpec(aRequest, *service);
  if (!spec) {
    aReply->Send(
      MakeRefusal(400, ToString(spec.error().kind_), spec.error().message_));
    return;
  }
  spec.value().model_ = params.value().model_;
  spec.value().outputTokens_ = params.value().maxTokens_;
  UpstreamMessage message{ "POST",
                           std::string(kCompletionPath),
                           EndToEndHeaders(aRequest.headers_),
                           std::move(aRequest.body_) };
  SubmitLive(std::move(spec).value(),
             std::move(message),
             ClassifyCompletion,
             aRequest,
             aReply,
             params.value().stream_);
}

void
Entry::OnRpc(RpcCall aCall, RpcDone aDone)
{
  if (aCall.topic_ == RpcTopic::Claim) {
    dispatcher_.GetCrashGuard().OnRpc(aCall, aDone);
    return;
  }
  if (aCall.topic_ != RpcTopic::Generate) {
    aDone(Error{ ErrorKind::BadInput, "an entry does not serve this topic" });
    return;
  }
  const auto request = DecodeGenerateRequest(aCall.body_);
  if (!request) {
    aDone(request.error());
    return;
  }
  Generate(request.value(), aCall, std::move(aDone));
}

void
Entry::Generate(const GenerateRequest& aRequest,
                const RpcCall& aCall,
                RpcDone aDone)
{
  if (!dispatcher_.KnowsService(aRequest.service_)) {
    aDone(Error{ ErrorKind::NotFound,
                 "unknown service '" + aRequest.service_.Get() + "'" });
    return;
  }
  RequestSpec spec;
  spec.class_ = RequestClass::Trainer;
  spec.trainer_ = aRequest.trainer_;
  spec.service_ = aRequest.service_;
  spec.model_ = aRequest.model_;
  spec.minVersion_ = aRequest.minVersion_;
  spec.outputTokens_ = aRequest.maxTokens_;
  spec.id_ = RequestId{ host_.Settings().instance_ + "-" +
                        std::to_string(++lastRequest_) };
  // Ids differ between generations, so the fingerprint covers only the model
  // and the prompt.
  spec.fingerprint_ =
    MakeFingerprint({ aRequest.model_, aRequest.prompt_ }).Get();
  spec.arrived_ = host_.Now();
  spec.deadline_ = spec.arrived_ + aCall.timeout_;
  UpstreamMessage message = MakeCompletionMessage(aRequest, spec.id_);
  const auto parent = TraceContext::Parse(aCall.traceparent_);
  Span span = StartSpan(parent ? *parent : TraceContext::Fresh(), "generate");
  const TraceContext context = span.context_;
  const auto done =
    [this, span, done = std::move(aDone)](DispatchResult aResult) {
      host_.Traces().End(span);
      done(ReadCompletion(aResult));
    };
  dispatcher_.Submit(
    std::move(spec), std::move(message), context, ClassifyCompletion, done);
}

} // namespace marjoramtally
