#include "marjoramtally/runtime/probed_calls.hpp"

#include "marjoramtally/runtime/log.hpp"

#include <utility>

namespace marjoramtally {

namespace {

/// A call of which no head was received for this long is followed by a probe.
/// The answers to 250 processes that start together and read 1 MB each keep
/// the store's link busy for 2 s.
constexpr auto kSilenceBeforeProbe = std::chrono::milliseconds(2200);
/// Delay between a failed probe and the next one.
constexpr auto kProbePause = std::chrono::milliseconds(300);
constexpr int kOk = 200;

} // namespace

struct ProbedCalls::Call
{
  HttpCall call_;
  HttpDone done_;
  /// Attempts in progress, by number.
  std::map<std::uint32_t, HttpCallId> open_;
  std::uint32_t attempts_ = 0;
  LoopTimerId timer_ = 0;
  bool probing_ = false;
  /// The head of an answer was received.
  bool answered_ = false;

  [[nodiscard]] bool IsSilent() const noexcept
  {
    return !answered_ && !open_.empty();
  }
};

ProbedCalls::ProbedCalls(HttpClient& aClient,
                         LoopTimers& aTimers,
                         std::function<HttpCall()> aMakeProbe)
  : client_(aClient)
  , timers_(aTimers)
  , makeProbe_(std::move(aMakeProbe))
{
}

ProbedCalls::~ProbedCalls()
{
  *alive_ = false;
}

void
ProbedCalls::Send(HttpCall aCall, HttpDone aDone)
{
  auto call = std::make_shared<Call>();
  call->call_ = std::move(aCall);
  call->done_ = std::move(aDone);
  SendAttempt(call);
}

void
ProbedCalls::SendAttempt(const CallPtr& aCall)
{
  const std::uint32_t attempt = ++aCall->attempts_;
  HttpCall call = aCall->call_;
  call.newConnection_ = attempt > 1;
  call.onHead_ = [this, alive = alive_, aCall, attempt](int aStatus,
                                                        const HttpHeaders&) {
    if (*alive && aStatus == kOk) {
      OnHead(aCall, attempt);
    }
    return true;
  };
  aCall->open_[attempt] =
    client_.Send(std::move(call),
                 [this, alive = alive_, aCall, attempt](HttpResult aResult) {
                   if (*alive) {
                     OnEnd(aCall, attempt, std::move(aResult));
                   }
                 });
  ProbeAfter(aCall, kSilenceBeforeProbe);
}

void
ProbedCalls::OnHead(const CallPtr& aCall, std::uint32_t aAttempt)
{
  if (aCall->open_.contains(aAttempt)) {
    aCall->answered_ = true;
    CancelOthers(*aCall, aAttempt);
  }
}

void
ProbedCalls::OnEnd(const CallPtr& aCall,
                   std::uint32_t aAttempt,
                   HttpResult aResult)
{
  if (aCall->open_.erase(aAttempt) == 0) {
    return;
  }
  const bool succeeded =
    aResult.end_ == HttpEnd::Complete && aResult.response_.status_ == kOk;
  if (!succeeded && !aCall->open_.empty()) {
    if (aAttempt == aCall->attempts_ && !aCall->probing_) {
      ProbeAfter(aCall, kProbePause);
    }
    return;
  }
  timers_.Cancel(aCall->timer_);
  CancelOthers(*aCall, aAttempt);
  const HttpDone done = std::move(aCall->done_);
  done(std::move(aResult));
}

void
ProbedCalls::ProbeAfter(const CallPtr& aCall, Duration aDelay)
{
  timers_.Cancel(aCall->timer_);
  aCall->timer_ = timers_.After(aDelay, [this, alive = alive_, aCall] {
    if (*alive && aCall->IsSilent()) {
      Probe(aCall);
    }
  });
}

void
ProbedCalls::Probe(const CallPtr& aCall)
{
  aCall->probing_ = true;
  HttpCall probe = makeProbe_();
  probe.newConnection_ = true;
  client_.Send(
    std::move(probe), [this, alive = alive_, aCall](const HttpResult& aResult) {
      aCall->probing_ = false;
      if (!*alive || !aCall->IsSilent()) {
        return;
      }
      if (aResult.end_ != HttpEnd::Complete ||
          aResult.response_.status_ != kOk) {
        ProbeAfter(aCall, kProbePause);
        return;
      }
      LogEvent(LogLevel::Info,
               "call_repeated",
               { { "url", aCall->call_.url_ },
                 { "attempt", std::to_string(aCall->attempts_ + 1) } });
      SendAttempt(aCall);
    });
}

void
ProbedCalls::CancelOthers(Call& aCall, std::uint32_t aAttempt)
{
  const auto open = std::exchange(aCall.open_, {});
  for (const auto& [attempt, id] : open) {
    if (attempt == aAttempt) {
      aCall.open_[attempt] = id;
    } else {
      client_.Cancel(id);
    }
  }
}

} // namespace marjoramtally
