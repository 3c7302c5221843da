#include "programs/gatewayd/forwarder.hpp"

#include "marjoramtally/base/units.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

constexpr std::string_view kEventStream = "text/event-stream";
/// Maximum size of an answer to a request for a stream that is no stream.
constexpr std::size_t kMaxPlainBytes = 1U << 20U;

} // namespace

std::unique_ptr<Forwarder::Stream>
Forwarder::MakeStream(const ForwardRequest& aRequest) const
{
  const auto lastEvent = ParseNumber(
    FindHeader(aRequest.headers_, host_.Formats().Names().lastEvent_)
      .value_or(""),
    0,
    UINT64_MAX);
  return std::make_unique<Stream>(lastEvent ? EventRelay(*lastEvent)
                                            : EventRelay());
}

void
Forwarder::PrepareStream(ForwardId aId,
                         PendingRequest& aPending,
                         HttpCall& aCall)
{
  Stream& stream = *aPending.stream_;
  stream.relay_.StartAttempt();
  stream.window_.ClearPause();
  stream.head_ = {};
  stream.events_ = false;
  stream.lastProgress_ = host_.Now();
  if (const auto last = stream.relay_.Last()) {
    const std::string& name = host_.Formats().Names().lastEvent_;
    std::erase_if(aCall.headers_, [&](const HttpHeader& aHeader) {
      return IsNamed(aHeader, name);
    });
    aCall.headers_.push_back({ name, std::to_string(*last) });
  }
  const std::uint32_t attempt = aPending.attemptNumber_;
  aCall.onData_ = [this, aId, attempt](std::string_view aBytes) {
    PendingRequest* pending = FindAttempt(aId, attempt);
    return pending != nullptr && OnData(aId, *pending, aBytes);
  };
  aCall.mayReceive_ = [this, aId, attempt] {
    PendingRequest* pending = FindAttempt(aId, attempt);
    return pending == nullptr || pending->stream_->window_.MayReceive();
  };
  if (aPending.request_.resumable_) {
    StartProgressTimer(aId);
  }
}

void
Forwarder::OnStreamHead(PendingRequest& aPending, HttpResponse aHead)
{
  upstreamTable_.OnReceived(aPending.upstream_, host_.Now());
  Stream& stream = *aPending.stream_;
  stream.head_ = std::move(aHead);
  const int status = stream.head_.status_;
  const bool success = status >= 200 && status < 300;
  const auto type =
    FindHeader(stream.head_.headers_, "Content-Type").value_or("");
  stream.events_ = success && aPending.rejectReason_.empty() &&
                   type.substr(0, kEventStream.size()) == kEventStream;
}

bool
Forwarder::OnData(ForwardId aId,
                  PendingRequest& aPending,
                  std::string_view aBytes)
{
  Stream& stream = *aPending.stream_;
  if (!aPending.rejectReason_.empty()) {
    return false;
  }
  if (!stream.events_) {
    stream.head_.body_ += aBytes;
    if (stream.head_.body_.size() > kMaxPlainBytes) {
      aPending.rejectReason_ = "is too long";
    }
    return aPending.rejectReason_.empty();
  }
  std::string events = stream.relay_.Feed(aBytes);
  const bool valid = stream.relay_.Fault().empty();
  if (!events.empty()) {
    ForwardEvents(aId, aPending, std::move(events));
  }
  return valid;
}

void
Forwarder::SendHead(PendingRequest& aPending)
{
  Stream& stream = *aPending.stream_;
  if (!stream.headSent_) {
    stream.headSent_ = true;
    aPending.request_.reply_->Begin(
      stream.head_.status_, ForwardableHeaders(stream.head_.headers_, {}));
  }
}

void
Forwarder::ForwardEvents(ForwardId aId,
                         PendingRequest& aPending,
                         std::string aEvents)
{
  Stream& stream = *aPending.stream_;
  stream.lastProgress_ = host_.Now();
  upstreamTable_.OnReceived(aPending.upstream_, host_.Now());
  if (!stream.headSent_) {
    MarkRunStarted(aPending, host_.Now());
    host_.Measures().Observe(
      "stream_first_event_seconds",
      std::chrono::duration<double>(host_.Now() - aPending.startedAt_).count());
  }
  SendHead(aPending);
  const std::size_t bytes = aEvents.size();
  stream.window_.OnSent(bytes);
  aPending.request_.reply_->Chunk(
    std::move(aEvents),
    [this, aId, bytes](bool aOk) { OnChunkWritten(aId, bytes, aOk); });
}

void
Forwarder::OnChunkWritten(ForwardId aId, std::size_t aBytes, bool aOk)
{
  const auto it = pending_.find(aId);
  if (it == pending_.end()) {
    return;
  }
  if (!aOk) {
    Cancel(aId);
    return;
  }
  PendingRequest& pending = it->second;
  pending.stream_->window_.OnTaken(aBytes);
  if (pending.stream_->window_.TakeResume() && pending.inFlight_) {
    host_.Client().Resume(pending.call_);
  }
}

void
Forwarder::OnStreamEnd(ForwardId aId,
                       PendingRequest& aPending,
                       HttpResult aResult)
{
  Stream& stream = *aPending.stream_;
  const bool complete = aResult.end_ == HttpEnd::Complete;
  if (complete && !stream.events_) {
    OnAnswer(aId, aPending, std::move(stream.head_));
    return;
  }
  if (complete && stream.relay_.Fault().empty() && !stream.relay_.Partial()) {
    ++aPending.possibleRuns_;
    MarkRunStarted(aPending, aPending.sentAt_);
    EndAttempt(aPending, CallVerdict::Answered);
    SendHead(aPending);
    HttpResponse head;
    head.status_ = stream.head_.status_;
    Finish(aId, { std::move(head), true });
    return;
  }
  std::string why =
    complete ? "the stream ends within an event" : std::move(aResult.message_);
  if (!stream.relay_.Fault().empty()) {
    why = stream.relay_.Fault();
  }
  OnAttemptFailed(aId, aPending, aResult.end_, why);
}

void
Forwarder::StartProgressTimer(ForwardId aId)
{
  PendingRequest& pending = pending_.at(aId);
  const TimePoint due = pending.stream_->lastProgress_ + kStreamStallTimeout;
  host_.Timers().Cancel(pending.attemptTimer_);
  pending.attemptTimer_ = host_.Timers().After(
    due - host_.Now(), [this, aId] { OnProgressTimer(aId); });
}

void
Forwarder::OnProgressTimer(ForwardId aId)
{
  const auto it = pending_.find(aId);
  if (it == pending_.end() || !it->second.inFlight_) {
    return;
  }
  PendingRequest& pending = it->second;
  const std::uint32_t attempt = pending.attemptNumber_;
  if (host_.Now() - pending.stream_->lastProgress_ >=
      Duration{ kStreamStallTimeout }) {
    pending.stream_->lastProgress_ = host_.Now();
    if (Repeatable(pending) &&
        pending.possibleRuns_ + 1 < pending.request_.maxAttempts_) {
      OnAttemptTimeout(aId);
    }
  }
  // Without another upstream, the current attempt continues.
  if (FindAttempt(aId, attempt) != nullptr) {
    StartProgressTimer(aId);
  }
}

} // namespace marjoramtally
