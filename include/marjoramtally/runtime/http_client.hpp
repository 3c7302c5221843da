/// An HTTP client that never blocks its caller.
#pragma once

#include "marjoramtally/runtime/http_types.hpp"
#include "marjoramtally/runtime/io_pool.hpp"

#include <memory>

namespace marjoramtally {

/// How a call ended.
enum class HttpEnd
{
  /// A whole response was received, proven by its length or last chunk.
  Whole,
  /// No byte of the request left this process.
  NotSent,
  /// Bytes were sent and no whole response came back.
  Broken,
  /// The time limit passed after bytes were sent.
  TimedOut,
  /// `Cancel` was called after bytes were sent.
  Cancelled,
};

/// One outgoing request.
struct HttpCall
{
  std::string method_ = "GET";
  std::string url_;
  HttpHeaders headers_;
  std::string body_;
  Duration timeout_ = std::chrono::seconds(30);
  /// The call ends as timed out when no byte of its answer came for so long;
  /// 0: only `timeout_` ends it. A large answer over a busy link is slow, and
  /// asking again would make the link busier.
  Duration idleTimeout_{ 0 };
  /// Time limit for the connection alone.
  Duration connectTimeout_ = std::chrono::seconds(2);
  /// Use a connection of its own, so that the library never sends twice.
  bool atMostOnce_ = false;
  /// Use a connection that no call was sent on before.
  bool newConnection_ = false;
  /// Called on a client thread for each piece of a body, if set; the result
  /// then carries no body. Return false to cancel.
  std::function<bool(std::string_view)> onData_;
  /// Asked before each piece, if set; on false no more is received, and the
  /// sender is held back, until `HttpClient::Resume`.
  std::function<bool()> mayReceive_;
  /// Called once with the head of an answer, before any piece, if set. Return
  /// false if the answer is not believed: the call then ends as cancelled, and
  /// its connection, on which the call's own answer may still come, is closed.
  std::function<bool(int, const HttpHeaders&)> onHead_;
};

/// What came of a call.
struct HttpResult
{
  HttpEnd end_ = HttpEnd::NotSent;
  HttpResponse response_;
  /// The library's message unless `end_` is `Whole`.
  std::string message_;
  /// Port of this end of the connection, which tells connections to one
  /// address apart; 0 if there was none.
  std::uint16_t localPort_ = 0;
  /// The call was the first on its connection.
  bool opened_ = false;
};

using HttpDone = std::function<void(HttpResult)>;
/// Names a call in progress.
using HttpCallId = std::uint64_t;

/// Sends calls on the loops of a pool. Callbacks run on those loops, never
/// within `Send`, and must not block.
class HttpClient
{
public:
  /// @param aThreads number of sending threads
  [[nodiscard]] static std::unique_ptr<HttpClient> Create(
    std::uint32_t aThreads);
  /// Sends on loops shared with a server: a call sent from one of them is
  /// answered on the same one.
  /// @param aPool stopped when the client is destroyed
  [[nodiscard]] static std::unique_ptr<HttpClient> Create(
    std::shared_ptr<IoPool> aPool);

  virtual ~HttpClient() = default;
  /// Starts a call; `aDone` is called exactly once.
  virtual HttpCallId Send(HttpCall aCall, HttpDone aDone) = 0;
  /// Ends a call early; its `aDone` still runs.
  virtual void Cancel(HttpCallId aId) = 0;
  /// Goes on receiving after `mayReceive_` was false.
  virtual void Resume(HttpCallId aId) = 0;
};

/// Blocking convenience for command-line tools.
[[nodiscard]] HttpResult
SendAndWait(HttpClient& aClient, HttpCall aCall);

} // namespace marjoramtally
