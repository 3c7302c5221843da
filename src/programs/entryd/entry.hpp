/// Routes of the entry daemon: HTTP for live callers and trainers, RPC for
/// generations of control processes and for suspicions of other entry
/// instances.
#pragma once

#include "programs/entryd/claim_gate.hpp"
#include "programs/entryd/dispatcher.hpp"
#include "programs/entryd/trainer_api.hpp"

namespace marjoramtally {

class StreamRelay;

/// Request handlers of the entry process.
class Entry
{
public:
  explicit Entry(Host& aHost);
  void Start();
  /// @returns whether requests are in progress
  [[nodiscard]] bool Busy() const;

private:
  /// One live request in progress.
  struct LiveRequest
  {
    RequestSpec spec_;
    UpstreamMessage message_;
    ResponseClassifier classify_;
    Span span_;
    HttpReplyPtr reply_;
    /// Set if the answer is streamed.
    std::shared_ptr<StreamRelay> stream_;
  };
  using LiveRequestPtr = std::shared_ptr<LiveRequest>;

  void OnHttp(HttpRequest aRequest, const HttpReplyPtr& aReply);
  void OnRpc(RpcCall aCall, RpcDone aDone);
  void ServeCall(HttpRequest aRequest, const HttpReplyPtr& aReply);
  void ServeCompletion(HttpRequest aRequest, const HttpReplyPtr& aReply);
  void Generate(const GenerateRequest& aRequest,
                const RpcCall& aCall,
                RpcDone aDone);
  /// Makes the specification of a live request from its headers and the rules.
  [[nodiscard]] Result<RequestSpec> MakeSpec(const HttpRequest& aRequest,
                                             const ServiceId& aService);
  /// Claims the request's idempotency key if it has one, then runs it.
  /// @param aRequest its body is that of the message
  void SubmitLive(RequestSpec aSpec,
                  UpstreamMessage aMessage,
                  ResponseClassifier aClassify,
                  const HttpRequest& aRequest,
                  const HttpReplyPtr& aReply,
                  bool aStream);

  void RunLive(const LiveRequestPtr& aLive);
  void AnswerLive(LiveRequest& aLive, HttpResponse aResponse);

  Host& host_;
  Dispatcher dispatcher_;
  ClaimGate claims_;
  TrainerApi trainers_;
  std::atomic<std::uint64_t> lastRequest_{ 0 };
};

} // namespace marjoramtally
