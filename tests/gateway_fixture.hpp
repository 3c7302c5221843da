/// Fakes for the components of a gateway: manual time, a store in memory, and
/// upstreams whose answers the test gives.
#pragma once

#include "daemon/gateway_context.hpp"
#include "fake_store.hpp"
#include "platform.hpp"
#include "programs/gatewayd/forwarder.hpp"

#include <deque>

namespace marjoramtally::test {

/// An outstanding call.
struct SentCall
{
  HttpCallId id_ = 0;
  HttpCall call_;
  HttpDone done_;
};

/// Records calls; the test ends them.
class FakeClient final : public HttpClient
{
public:
  HttpCallId Send(HttpCall aCall, HttpDone aDone) override
  {
    open_.push_back({ ++last_, std::move(aCall), std::move(aDone) });
    ++sent_;
    return last_;
  }

  void Cancel(HttpCallId aId) override
  {
    const auto removed = std::erase_if(
      open_, [aId](const SentCall& aCall) { return aCall.id_ == aId; });
    cancelled_ += removed;
  }

  void Resume(HttpCallId) override { ++resumed_; }

  [[nodiscard]] SentCall& Oldest() { return open_.front(); }

  /// Ends a call with a complete response.
  /// @param aResent whether the client sent the call twice
  void Answer(SentCall aCall, HttpResponse aResponse, bool aResent = false)
  {
    Cancel(aCall.id_);
    --cancelled_;
    if (aCall.call_.onHead_ &&
        !aCall.call_.onHead_(aResponse.status_, aResponse.headers_)) {
      aCall.done_({ HttpEnd::Cancelled, {}, "abandoned" });
      return;
    }
    if (aCall.call_.onData_) {
      if (!aCall.call_.onData_(aResponse.body_)) {
        aCall.done_({ HttpEnd::Cancelled, {}, "abandoned" });
        return;
      }
      aResponse.body_.clear();
    }
    HttpResult result{ HttpEnd::Complete, std::move(aResponse), {} };
    result.resent_ = aResent;
    result.headReceived_ = true;
    result.bodyFramed_ = true;
    aCall.done_(std::move(result));
  }

  void Fail(SentCall aCall, HttpEnd aEnd)
  {
    Cancel(aCall.id_);
    --cancelled_;
    aCall.done_({ aEnd, {}, "failed" });
  }

  std::deque<SentCall> open_;
  std::size_t sent_ = 0;
  std::size_t cancelled_ = 0;
  std::size_t resumed_ = 0;

private:
  HttpCallId last_ = 0;
};

/// Records a caller's response; the test completes its writes.
class FakeReply final : public HttpReply
{
public:
  void Send(HttpResponse aResponse) override
  {
    status_ = aResponse.status_;
    headers_ = std::move(aResponse.headers_);
    body_ = std::move(aResponse.body_);
    ended_ = true;
  }
  void Begin(int aStatus, HttpHeaders aHeaders) override
  {
    ++beginCalls_;
    status_ = aStatus;
    headers_ = std::move(aHeaders);
  }
  void Chunk(std::string aData, std::function<void(bool)> aWritten) override
  {
    body_ += aData;
    pendingWrites_.push_back(std::move(aWritten));
  }
  void End() override { ended_ = true; }
  void Abort() override { aborted_ = true; }
  void OnCallerGone(std::function<void()> aGone) override
  {
    onCallerGone_ = std::move(aGone);
  }

  /// Completes all pending writes.
  /// @param aOk false if the connection was lost
  void CompleteWrites(bool aOk)
  {
    for (const auto& written : std::exchange(pendingWrites_, {})) {
      if (written) {
        written(aOk);
      }
    }
  }

  /// 0 before the head is sent.
  int status_ = 0;
  HttpHeaders headers_;
  std::string body_;
  int beginCalls_ = 0;
  bool ended_ = false;
  bool aborted_ = false;
  std::function<void()> onCallerGone_;

private:
  std::vector<std::function<void(bool)>> pendingWrites_;
};

/// Peer calls that always fail as unavailable.
class FakePeers final : public PeerCalls
{
public:
  void Call(const std::string&, RpcCall, RpcDone aDone) override
  {
    aDone(Error{ ErrorKind::Unavailable, "nobody is there" });
  }
  void Serve(RpcTopic, RpcHandler) override {}
};

/// Peer calls between the gateways of a test; counts the calls.
class LinkedPeers final : public PeerCalls
{
public:
  void Call(const std::string& aAddress, RpcCall aCall, RpcDone aDone) override
  {
    ++calls_;
    const auto it = others_.find(aAddress);
    if (it == others_.end() || cut_) {
      aDone(Error{ ErrorKind::Unavailable, "cut off" });
    } else if (losesAnswers_) {
      it->second->handlers_.at(aCall.topic_)(aCall, [](const RpcReply&) {});
      aDone(Error{ ErrorKind::Timeout, "no answer" });
    } else {
      it->second->handlers_.at(aCall.topic_)(aCall, std::move(aDone));
    }
  }
  void Serve(RpcTopic aTopic, RpcHandler aHandler) override
  {
    handlers_[aTopic] = std::move(aHandler);
  }

  std::map<std::string, LinkedPeers*> others_;
  std::map<RpcTopic, RpcHandler> handlers_;
  std::size_t calls_ = 0;
  bool cut_ = false;
  /// Calls are carried out, but their answers are lost.
  bool losesAnswers_ = false;
};

/// A gateway context and the objects that it refers to.
struct GatewayFakes
{
  GatewaySettings settings_;
  std::unique_ptr<Platform> platform_ = MakePlatform();
  ManualClock clock_;
  ManualTimers timers_{ clock_ };
  FakeClient client_;
  FakeStore store_{ timers_ };
  Metrics metrics_;
  RelayPlan relays_{ "self~1" };
  FakePeers peers_;
  GatewayContext context_{ { &settings_,
                             platform_.get(),
                             &client_,
                             &timers_,
                             &store_,
                             &clock_,
                             &clock_,
                             &clock_,
                             &metrics_,
                             &relays_,
                             &peers_,
                             "self~1" } };
  UpstreamTable upstreamTable_{ ZoneId{ "z1" } };

  /// The wall clock is the manual clock, which starts at one day, so that a
  /// record with an acceptance time of 0 is a day old.
  GatewayFakes() { clock_.Advance(std::chrono::hours(24)); }

  void AddUpstream(const std::string& aId,
                   const std::string& aService,
                   std::uint64_t aVersion = 1)
  {
    UpstreamEntry entry;
    entry.id_ = UpstreamId{ aId };
    entry.service_ = ServiceId{ aService };
    entry.address_ = aId + ":1";
    entry.zone_ = ZoneId{ "z1" };
    entry.slots_ = 4;
    entry.models_ = { { "m", WeightVersion{ aVersion } } };
    upstreamTable_.OnEntry(std::move(entry));
  }

  /// @returns a signed answer to a call, with the id that the call carries
  [[nodiscard]] HttpResponse Answer(const SentCall& aCall,
                                    int aStatus,
                                    std::string aBody) const
  {
    const WireNames& names = platform_->Names();
    HttpResponse response;
    response.status_ = aStatus;
    response.headers_ = {
      { names.attempt_,
        std::string(
          FindHeader(aCall.call_.headers_, names.attempt_).value_or("")) },
      { names.signature_, "sig-" + aCall.call_.url_ }
    };
    response.body_ = std::move(aBody);
    return response;
  }

  [[nodiscard]] HttpResponse NotRun(const SentCall& aCall, int aStatus) const
  {
    HttpResponse response = Answer(aCall, aStatus, "");
    response.headers_.back() = { platform_->Names().notRun_, "1" };
    return response;
  }
};

} // namespace marjoramtally::test
