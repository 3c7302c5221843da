/// An HTTP server on its own threads.
#pragma once

#include "marjoramtally/base/result.hpp"
#include "marjoramtally/runtime/http_types.hpp"
#include "marjoramtally/runtime/io_pool.hpp"

#include <memory>

namespace marjoramtally {

/// The answer to one request. Exactly one of `Send` or `Begin…End` is used;
/// all functions may be called from any thread.
class HttpReply
{
public:
  virtual ~HttpReply() = default;
  /// Sends a whole response.
  virtual void Send(HttpResponse aResponse) = 0;
  /// Sends the head of a streamed response.
  virtual void Begin(int aStatus, HttpHeaders aHeaders) = 0;
  /// Sends one chunk.
  /// @param aWritten called with false once the connection is lost
  virtual void Chunk(std::string aData, std::function<void(bool)> aWritten) = 0;
  /// Ends a streamed response. What a stream carried must itself prove
  /// that it is whole (a final event), for an end after a failure looks
  /// the same.
  virtual void End() = 0;
  /// Ends the response by closing its connection, so that a streamed one is
  /// seen to be incomplete: its last chunk is missing.
  virtual void Abort() = 0;
  /// Calls the function once if the caller closes the connection before the
  /// response has ended.
  virtual void OnCallerGone(std::function<void()> aGone) = 0;
};

using HttpReplyPtr = std::shared_ptr<HttpReply>;
using HttpHandler = std::function<void(HttpRequest, HttpReplyPtr)>;

/// Where and how to listen.
struct HttpServerOptions
{
  std::string address_ = "127.0.0.1";
  /// 0 takes a port from the kernel.
  std::uint16_t port_ = 0;
  /// Number of loops if no pool is given.
  std::uint32_t threads_ = 2;
  /// Loops to serve on; stopped when the server is destroyed.
  std::shared_ptr<IoPool> pool_;
  /// Largest accepted request body, in bytes; larger ones get 413.
  std::uint64_t maxBodyBytes_ = 1U << 20U;
};

/// Serves until destroyed.
class HttpServer
{
public:
  /// Binds and starts to serve.
  /// @returns an error naming the address if it cannot be bound
  [[nodiscard]] static Result<std::unique_ptr<HttpServer>> Start(
    HttpServerOptions aOptions,
    HttpHandler aHandler);

  virtual ~HttpServer() = default;
  [[nodiscard]] virtual std::uint16_t Port() const noexcept = 0;
  /// Stops accepting connections; open ones are served with
  /// `Connection: close`.
  virtual void StopAccepting() = 0;
  /// @returns requests received whose answer is not yet written
  [[nodiscard]] virtual std::uint64_t InFlight() const noexcept = 0;
};

} // namespace marjoramtally
