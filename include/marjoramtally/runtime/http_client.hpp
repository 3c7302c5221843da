/// A non-blocking HTTP client.
#pragma once

#include "marjoramtally/runtime/http_types.hpp"
#include "marjoramtally/runtime/io_pool.hpp"

#include <memory>

namespace marjoramtally {

/// How a call ended.
enum class HttpEnd
{
  /// The complete head of the final response was received, and its body as its
  /// length or last chunk proves; without either, as the orderly end of the
  /// connection does (RFC 9112, 6.3).
  Complete,
  /// No byte of the request left this process.
  NotSent,
  /// Bytes were sent but no complete response was received.
  Broken,
  /// The time limit expired after bytes were sent.
  TimedOut,
  /// Ended by this side after bytes were sent.
  Cancelled,
};

/// Maximum size of the head of a response, with interim heads and trailers.
constexpr std::size_t kMaxHeadBytes = 64U << 10U;

/// One outgoing request. A peer may send bytes without end, so a response that
/// exceeds its limits ends the call as cancelled.
struct HttpCall
{
  std::string method_ = "GET";
  std::string url_;
  HttpHeaders headers_;
  HttpBody body_;
  Duration timeout_ = std::chrono::seconds(30);
  /// The call times out if no byte of the response is received for this long;
  /// 0: only `timeout_` applies. It allows a long `timeout_` for large
  /// responses over a busy link, where a repeated request would add load.
  Duration idleTimeout_{ 0 };
  /// Maximum size of a body that is returned with the result.
  std::size_t maxBodyBytes_ = 16U << 20U;
  /// Time limit for opening the connection.
  Duration connectTimeout_ = std::chrono::seconds(2);
  /// Uses a connection for this call only, so that no earlier call can have
  /// left it broken.
  bool atMostOnce_ = false;
  /// The request may be sent again if a kept connection closes before any byte
  /// of the response, as those of GET calls always may. The result then tells
  /// only about the last time: a refusal does not prove that the request was
  /// never executed.
  bool mayResend_ = false;
  /// Uses a connection that no call was sent on before.
  bool newConnection_ = false;
  /// Called on a client thread for each piece of the body, if set; the result
  /// then has no body. Returning false cancels the call.
  std::function<bool(std::string_view)> onData_;
  /// Called before each piece, if set. If it returns false, receiving pauses,
  /// and so the sender is held back, until `HttpClient::Resume`.
  std::function<bool()> mayReceive_;
  /// Called once with the head of the response, before any piece, if set.
  /// Returning false rejects the response: the call ends as cancelled, and its
  /// connection, on which the call's own response may still arrive, is closed.
  std::function<bool(int, const HttpHeaders&)> onHead_;
};

/// Result of a call.
struct HttpResult
{
  HttpEnd end_ = HttpEnd::NotSent;
  /// Without status and headers unless the head was received completely.
  HttpResponse response_;
  /// libcurl's error message unless `end_` is `Complete`.
  std::string message_;
  /// Local port of the connection, which distinguishes connections to the same
  /// address; 0 if there was none.
  std::uint16_t localPort_ = 0;
  /// The call opened its connection.
  bool opened_ = false;
  /// The request was sent more than once (`HttpCall::mayResend_`).
  bool resent_ = false;
  /// The head of the final response was received whole.
  bool headReceived_ = false;
  /// Bytes of heads and trailers received, in complete lines.
  std::size_t headBytes_ = 0;
  /// A length or chunks tell where the body ends; else the connection's end
  /// does.
  bool bodyFramed_ = false;
  /// Bytes of the body received, whoever took them.
  std::uint64_t bodyBytes_ = 0;
};

using HttpDone = std::function<void(HttpResult)>;
/// Identifies a call in progress.
using HttpCallId = std::uint64_t;

/// Sends calls on the loops of a pool. Callbacks run on those loops, never
/// within `Send`, and must not block.
class HttpClient
{
public:
  /// @param aThreads number of sending threads
  [[nodiscard]] static std::unique_ptr<HttpClient> Create(
    std::uint32_t aThreads);
  /// Sends on loops shared with a server: a call sent from one of them
  /// completes on the same loop.
  /// @param aPool is stopped when the client is destroyed
  [[nodiscard]] static std::unique_ptr<HttpClient> Create(
    std::shared_ptr<IoPool> aPool);

  virtual ~HttpClient() = default;
  /// Starts a call; `aDone` is called exactly once.
  virtual HttpCallId Send(HttpCall aCall, HttpDone aDone) = 0;
  /// Ends a call early; its `aDone` still runs.
  virtual void Cancel(HttpCallId aId) = 0;
  /// Resumes receiving after `mayReceive_` returned false.
  virtual void Resume(HttpCallId aId) = 0;
};

/// Sends a call and blocks until it has ended; for command-line tools.
[[nodiscard]] HttpResult
SendAndWait(HttpClient& aClient, HttpCall aCall);

} // namespace marjoramtally
