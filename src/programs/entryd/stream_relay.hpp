/// Passes a streamed completion from upstreams to its caller.
#pragma once

#include "marjoramtally/runtime.hpp"
#include "programs/entryd/attempt_sink.hpp"

#include <mutex>

namespace marjoramtally {

/// One streamed completion over its attempts. Held by shared pointer.
class StreamRelay final
  : public AttemptSink
  , public std::enable_shared_from_this<StreamRelay>
{
public:
  /// @param aBody the caller's request
  StreamRelay(HttpClient& aClient, HttpReplyPtr aReply, std::string aBody);

  void Prepare(HttpCall& aCall) override;
  void OnSent(HttpCallId aCall) override;
  [[nodiscard]] AttemptEnd Classify(HttpResult& aResult) override;
  [[nodiscard]] bool IsAbandoned() const override;
  /// Ends the stream. If none of it was sent, the response is; else, if it
  /// did not complete, an error event ends it, and no final event.
  void Finish(HttpResponse aResponse);

private:
  bool OnData(std::string_view aBytes);
  void Write(std::string aEvents);
  void OnWritten(std::size_t aBytes, bool aOk);
  [[nodiscard]] bool MayReceive();

  HttpClient& client_;
  HttpReplyPtr reply_;
  std::string body_;
  CompletionStream stream_;
  int status_ = 0;
  std::string errorBody_;
  bool headSent_ = false;
  mutable std::mutex mutex_;
  SendWindow window_;
  bool callerLost_ = false;
  HttpCallId call_ = 0;
};

} // namespace marjoramtally
