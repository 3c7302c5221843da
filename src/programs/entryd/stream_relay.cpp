#include "programs/entryd/stream_relay.hpp"

#include "marjoramtally/base/json.hpp"

#include "programs/entryd/completions.hpp"

#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxErrorBytes = 64U * 1024U;
constexpr int kOk = 200;

} // namespace

StreamRelay::StreamRelay(HttpClient& aClient,
                         HttpReplyPtr aReply,
                         HttpBody aBody)
  : client_(aClient)
  , reply_(std::move(aReply))
  , body_(std::move(aBody))
{
}

void
StreamRelay::Prepare(HttpCall& aCall)
{
  stream_.StartAttempt();
  status_ = 0;
  errorBody_.clear();
  aCall.body_ = body_;
  if (stream_.Tokens() > 0) {
    Json body = ParseJson(body_.Get());
    body["resume_from"] = stream_.Tokens();
    body["resume_text"] = stream_.Text();
    aCall.body_ = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  }
  const auto self = shared_from_this();
  aCall.onHead_ = [self](int aStatus, const HttpHeaders&) {
    self->status_ = aStatus;
    return true;
  };
  aCall.onData_ = [self](std::string_view aBytes) {
    return self->OnData(aBytes);
  };
  aCall.mayReceive_ = [self] { return self->MayReceive(); };
  const std::lock_guard lock(mutex_);
  call_ = 0;
  window_.ClearPause();
}

void
StreamRelay::OnSent(HttpCallId aCall)
{
  bool resume = false;
  bool lost = false;
  {
    const std::lock_guard lock(mutex_);
    call_ = aCall;
    lost = callerLost_;
    resume = window_.TakeResume();
  }
  if (lost) {
    client_.Cancel(aCall);
  } else if (resume) {
    client_.Resume(aCall);
  }
}

bool
StreamRelay::MayReceive()
{
  const std::lock_guard lock(mutex_);
  return callerLost_ || window_.MayReceive();
}

bool
StreamRelay::OnData(std::string_view aBytes)
{
  if (status_ != kOk) {
    const std::size_t room = kMaxErrorBytes - errorBody_.size();
    errorBody_ += aBytes.substr(0, room);
    return true;
  }
  auto events = stream_.Feed(aBytes);
  if (events && !events.value().empty()) {
    Write(std::move(events).value());
  }
  if (stream_.Fault()) {
    LogEvent(LogLevel::Warn,
             "stream_broken",
             { { "error", stream_.Fault()->message_ } });
    return false;
  }
  const std::lock_guard lock(mutex_);
  return !callerLost_;
}

void
StreamRelay::Write(std::string aEvents)
{
  if (!headSent_) {
    headSent_ = true;
    reply_->Begin(kOk, { { "Content-Type", "text/event-stream" } });
  }
  const std::size_t bytes = aEvents.size();
  {
    const std::lock_guard lock(mutex_);
    window_.OnSent(bytes);
  }
  reply_->Chunk(std::move(aEvents),
                [self = shared_from_this(), bytes](bool aOk) {
                  self->OnWritten(bytes, aOk);
                });
}

void
StreamRelay::OnWritten(std::size_t aBytes, bool aOk)
{
  HttpCallId resumed = 0;
  HttpCallId cancelled = 0;
  {
    const std::lock_guard lock(mutex_);
    window_.OnTaken(aBytes);
    callerLost_ = callerLost_ || !aOk;
    cancelled = callerLost_ ? call_ : 0;
    if (!callerLost_ && call_ != 0 && window_.TakeResume()) {
      resumed = call_;
    }
  }
  if (cancelled != 0) {
    client_.Cancel(cancelled);
  }
  if (resumed != 0) {
    client_.Resume(resumed);
  }
}

AttemptEnd
StreamRelay::Classify(HttpResult& aResult)
{
  {
    const std::lock_guard lock(mutex_);
    call_ = 0;
  }
  if (aResult.end_ == HttpEnd::NotSent) {
    return AttemptEnd::NotRun;
  }
  if (stream_.IsComplete()) {
    const Json usage{ { "completion_tokens", stream_.Tokens() } };
    aResult.response_.status_ = kOk;
    aResult.response_.body_ = Json{ { "usage", usage } }.dump();
    return AttemptEnd::Complete;
  }
  if (aResult.end_ != HttpEnd::Complete || status_ == kOk) {
    return AttemptEnd::MaybeRun;
  }
  aResult.response_.body_ = errorBody_;
  return ClassifyCompletion(aResult.response_);
}

bool
StreamRelay::IsAbandoned() const
{
  const std::lock_guard lock(mutex_);
  return callerLost_ || stream_.Contradicted();
}

void
StreamRelay::Finish(HttpResponse aResponse)
{
  if (!headSent_) {
    reply_->Send(std::move(aResponse));
    return;
  }
  if (!stream_.IsComplete()) {
    Json error = ParseJsonOrDiscarded(aResponse.body_);
    if (!error.is_object() || !error.contains("error")) {
      error = Json{ { "error", { { "kind", "unknown" } } } };
    }
    reply_->Chunk(
      FormatEvent(error.dump(-1, ' ', false, Json::error_handler_t::replace)),
      nullptr);
  }
  reply_->End();
}

} // namespace marjoramtally
