#include "programs/gatewayd/forwarder.hpp"

#include "marjoramtally/base/units.hpp"
#include "marjoramtally/runtime/log.hpp"

#include <algorithm>

namespace marjoramtally {

namespace {

constexpr std::string_view kEventStream = "text/event-stream";

} // namespace

std::unique_ptr<Forwarder::Stream>
Forwarder::MakeStream(const ForwardRequest& aRequest) const
{
  const auto held = ParseNumber(
    FindHeader(aRequest.headers_, host_.Formats().Names().lastEvent_)
      .value_or(""),
    0,
    UINT64_MAX);
  return std::make_unique<Stream>(held ? EventRelay(*held) : EventRelay());
}

void
Forwarder::PrepareStream(ForwardId aId, Flight& aFlight, HttpCall& aCall)
{
  Stream& stream = *aFlight.stream_;
  stream.relay_.StartAttempt();
  stream.window_.ForgetPause();
  stream.head_ = {};
  stream.events_ = false;
  stream.lastProgress_ = host_.Now();
  if (const auto last = stream.relay_.Last()) {
    const std::string& name = host_.Formats().Names().lastEvent_;
    std::erase_if(aCall.headers_, [&](const HttpHeader& aHeader) {
      return FindHeader({ aHeader }, name).has_value();
    });
    aCall.headers_.push_back({ name, std::to_string(*last) });
  }
  const std::uint32_t attempt = aFlight.attempt_;
  aCall.onData_ = [this, aId, attempt](std::string_view aBytes) {
    Flight* flight = Present(aId, attempt);
    return flight != nullptr && OnData(aId, *flight, aBytes);
  };
  aCall.mayReceive_ = [this, aId, attempt] {
    Flight* flight = Present(aId, attempt);
    return flight == nullptr || flight->stream_->window_.MayReceive();
  };
  if (aFlight.request_.resumable_) {
    WatchProgress(aId);
  }
}

void
Forwarder::TakeHead(Flight& aFlight, HttpResponse aHead)
{
  upstreamTable_.OnReceived(aFlight.upstream_, host_.Now());
  Stream& stream = *aFlight.stream_;
  stream.head_ = std::move(aHead);
  const int status = stream.head_.status_;
  const bool success = status >= 200 && status < 300;
  const auto type =
    FindHeader(stream.head_.headers_, "Content-Type").value_or("");
  stream.events_ = success && aFlight.doubt_.empty() &&
                   type.substr(0, kEventStream.size()) == kEventStream;
}

bool
Forwarder::OnData(ForwardId aId, Flight& aFlight, std::string_view aBytes)
{
  Stream& stream = *aFlight.stream_;
  if (!aFlight.doubt_.empty()) {
    return false;
  }
  if (!stream.events_) {
    stream.head_.body_ += aBytes;
    return true;
  }
  std::string events = stream.relay_.Feed(aBytes);
  const bool sound = stream.relay_.Fault().empty();
  if (!events.empty()) {
    PassOn(aId, aFlight, std::move(events));
  }
  return sound;
}

void
Forwarder::BeginReply(Flight& aFlight)
{
  Stream& stream = *aFlight.stream_;
  if (!stream.begun_) {
    stream.begun_ = true;
    aFlight.request_.reply_->Begin(stream.head_.status_,
                                   PassedHeaders(stream.head_.headers_, {}));
  }
}

void
Forwarder::PassOn(ForwardId aId, Flight& aFlight, std::string aEvents)
{
  Stream& stream = *aFlight.stream_;
  stream.lastProgress_ = host_.Now();
  upstreamTable_.OnReceived(aFlight.upstream_, host_.Now());
  if (!stream.begun_) {
    NoteBegun(aFlight, host_.Now());
    host_.Measures().Observe(
      "stream_first_event_seconds",
      std::chrono::duration<double>(host_.Now() - aFlight.started_).count());
  }
  BeginReply(aFlight);
  const std::size_t bytes = aEvents.size();
  stream.window_.OnSent(bytes);
  aFlight.request_.reply_->Chunk(
    std::move(aEvents),
    [this, aId, bytes](bool aOk) { OnTaken(aId, bytes, aOk); });
}

void
Forwarder::OnTaken(ForwardId aId, std::size_t aBytes, bool aOk)
{
  const auto it = flights_.find(aId);
  if (it == flights_.end()) {
    return;
  }
  if (!aOk) {
    Cancel(aId);
    return;
  }
  Flight& flight = it->second;
  flight.stream_->window_.OnTaken(aBytes);
  if (flight.stream_->window_.TakeResume() && flight.inFlight_) {
    host_.Client().Resume(flight.call_);
  }
}

void
Forwarder::OnStreamEnd(ForwardId aId, Flight& aFlight, HttpResult aResult)
{
  Stream& stream = *aFlight.stream_;
  const bool whole = aResult.end_ == HttpEnd::Whole;
  if (whole && !stream.events_) {
    OnAnswer(aId, aFlight, std::move(stream.head_));
    return;
  }
  if (whole && stream.relay_.Fault().empty() && !stream.relay_.Partial()) {
    ++aFlight.ran_;
    NoteBegun(aFlight, aFlight.sent_);
    EndAttempt(aFlight, CallVerdict::Answered);
    BeginReply(aFlight);
    HttpResponse head;
    head.status_ = stream.head_.status_;
    Finish(aId, { std::move(head), true });
    return;
  }
  std::string why =
    whole ? "the stream ends within an event" : std::move(aResult.message_);
  if (!stream.relay_.Fault().empty()) {
    why = stream.relay_.Fault();
  }
  OnAttemptFailed(aId, aFlight, aResult.end_, why);
}

void
Forwarder::WatchProgress(ForwardId aId)
{
  Flight& flight = flights_.at(aId);
  const TimePoint due = flight.stream_->lastProgress_ + kStreamSilence;
  host_.Timers().Cancel(flight.patienceTimer_);
  flight.patienceTimer_ = host_.Timers().After(
    due - host_.Now(), [this, aId] { OnProgressDue(aId); });
}

void
Forwarder::OnProgressDue(ForwardId aId)
{
  const auto it = flights_.find(aId);
  if (it == flights_.end() || !it->second.inFlight_) {
    return;
  }
  Flight& flight = it->second;
  const std::uint32_t attempt = flight.attempt_;
  if (host_.Now() - flight.stream_->lastProgress_ >=
      Duration{ kStreamSilence }) {
    flight.stream_->lastProgress_ = host_.Now();
    if (Repeatable(flight) && flight.ran_ + 1 < flight.request_.maxAttempts_) {
      OnPatienceOver(aId);
    }
  }
  // Where there is no other upstream, the present one is waited for.
  if (Present(aId, attempt) != nullptr) {
    WatchProgress(aId);
  }
}

} // namespace marjoramtally
