/// Relays a streamed completion from upstreams to its caller.
#pragma once

#include "marjoramtally/runtime.hpp"
#include "programs/entryd/attempt_sink.hpp"

#include <mutex>

namespace marjoramtally {

/// One streamed completion across its attempts; a further attempt continues
/// after the tokens received so far. Must be owned by a shared pointer.
class StreamRelay final
  : public AttemptSink
  , public std::enable_shared_from_this<StreamRelay>
{
public:
  /// @param aBody body of the caller's request
  StreamRelay(HttpClient& aClient, HttpReplyPtr aReply, HttpBody aBody);

  void Prepare(HttpCall& aCall) override;
  void OnSent(HttpCallId aCall) override;
  [[nodiscard]] AttemptEnd Classify(HttpResult& aResult) override;
  [[nodiscard]] bool IsAbandoned() const override;
  /// Ends the stream. If none of it has been sent, sends the response instead.
  /// A stream that did not complete ends with an error event and without the
  /// final event.
  void Finish(HttpResponse aResponse);

private:
  bool OnData(std::string_view aBytes);
  void Write(std::string aEvents);
  void OnWritten(std::size_t aBytes, bool aOk);
  [[nodiscard]] bool MayReceive();

  HttpClient& client_;
  HttpReplyPtr reply_;
  HttpBody body_;
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
