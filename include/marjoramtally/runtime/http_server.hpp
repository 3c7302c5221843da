/// An HTTP server on event loops.
#pragma once

#include "marjoramtally/base/result.hpp"
#include "marjoramtally/runtime/caller_registry.hpp"
#include "marjoramtally/runtime/http_types.hpp"
#include "marjoramtally/runtime/io_pool.hpp"

#include <memory>

namespace marjoramtally {

/// The response to one request. Either `Send` or `Begin`, `Chunk` and `End` is
/// used. All functions are thread-safe. Of the response to a HEAD request, only
/// the head is sent; its `Content-Length` is that of the headers, if they hold
/// one, else the body's.
class HttpReply
{
public:
  virtual ~HttpReply() = default;
  /// Sends a complete response.
  virtual void Send(HttpResponse aResponse) = 0;
  /// Sends the head of a streamed response.
  virtual void Begin(int aStatus, HttpHeaders aHeaders) = 0;
  /// Sends one chunk.
  /// @param aWritten called with whether the chunk was written; false once the
  /// connection is lost
  virtual void Chunk(std::string aData, std::function<void(bool)> aWritten) = 0;
  /// Ends a streamed response. The stream's content must itself prove that it
  /// is complete (by a final event), because the end after a failure looks the
  /// same.
  virtual void End() = 0;
  /// Aborts the response by closing its connection, so that the caller sees a
  /// streamed one as incomplete: its last chunk is missing.
  virtual void Abort() = 0;
  /// Calls the function once if the caller closes the connection before the
  /// response has ended.
  virtual void OnCallerGone(std::function<void()> aGone) = 0;
};

using HttpReplyPtr = std::shared_ptr<HttpReply>;
using HttpHandler = std::function<void(HttpRequest, HttpReplyPtr)>;

/// Limits of a request. One that exceeds them is refused and not handled.
struct HttpLimits
{
  /// Of the request line and the header fields, and of the trailers; 431.
  std::uint64_t maxHeadBytes_ = 64U << 10U;
  /// 413.
  std::uint64_t maxBodyBytes_ = 1U << 20U;
};

/// Options of a server. Its limits can be changed later.
struct HttpServerOptions : HttpLimits
{
  std::string address_ = "127.0.0.1";
  /// 0 lets the kernel choose a port.
  std::uint16_t port_ = 0;
  /// Number of loops to create if `pool_` is not set.
  std::uint32_t threads_ = 2;
  /// Loops to serve on; stopped when the server is destroyed.
  std::shared_ptr<IoPool> pool_;
  /// Connections of the process, which share its memory and descriptors; if
  /// not set, those of this server alone.
  std::shared_ptr<CallerRegistry> callers_;
};

/// Serves until destroyed.
class HttpServer
{
public:
  /// Binds the address and starts to serve.
  /// @returns an error that names the address if it cannot be bound
  [[nodiscard]] static Result<std::unique_ptr<HttpServer>> Start(
    HttpServerOptions aOptions,
    HttpHandler aHandler);

  virtual ~HttpServer() = default;
  [[nodiscard]] virtual std::uint16_t Port() const noexcept = 0;
  /// Changes the limits, for requests whose head is not yet complete.
  virtual void SetLimits(const HttpLimits& aLimits) = 0;
  /// Stops accepting connections; open ones are served with
  /// `Connection: close`.
  virtual void StopAccepting() = 0;
  /// @returns the number of requests whose response is not yet written
  [[nodiscard]] virtual std::uint64_t InFlight() const noexcept = 0;
};

} // namespace marjoramtally
