/// A caller's connection below the HTTP library, which collects a request
/// without a bound before it reports it. Here, requests are split, bounded and
/// collected first; the library gets a short head in place of each one, and so
/// writes responses and keeps the connection.
#pragma once

#include "marjoramtally/runtime/caller_registry.hpp"
#include "marjoramtally/runtime/http_server.hpp"
#include "runtime/request_framing.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <atomic>

namespace marjoramtally {

/// Limits of a listener's requests, which may change at any time.
struct RequestLimits
{
  std::atomic<std::uint64_t> maxHeadBytes_;
  std::atomic<std::uint64_t> maxBodyBytes_;
};

/// What the connections of a listener share.
struct ListenerState
{
  /// Outlives all connections.
  std::shared_ptr<IoPool> pool_;
  std::shared_ptr<CallerRegistry> callers_;
  RequestLimits limits_;
};

/// A request as it is handed on.
struct ReceivedRequest
{
  CallerId caller_;
  HttpRequest request_;
  /// Set if the request is refused; then it has no body, and perhaps nothing
  /// else than its method.
  std::optional<HttpResponse> refusal_;
  /// The connection closes after the response.
  bool closes_ = false;
};

/// The socket of one connection. The library calls the functions whose names
/// are those of Asio.
class CallerSocket : public asio::ip::tcp::socket
{
  using Base = asio::ip::tcp::socket;

public:
  struct Refusal;

  using Base::Base;
  /// Only sockets that the library has not read from are moved.
  CallerSocket(CallerSocket&& aOther) noexcept
    : Base(std::move(aOther))
  {
  }
  CallerSocket& operator=(CallerSocket&&) = delete;
  CallerSocket(const CallerSocket&) = delete;
  CallerSocket& operator=(const CallerSocket&) = delete;
  ~CallerSocket();

  /// Asks for a place for a connection that was accepted. It belongs to the
  /// socket on the current thread that is read from next.
  /// @returns false if there is none
  [[nodiscard]] static bool Admit(const std::shared_ptr<ListenerState>& aState);
  /// @returns the request that the library reports at this moment
  [[nodiscard]] static ReceivedRequest TakeReported();
  /// @returns a connection of the current thread's loop, or nullptr if it is
  /// closed
  [[nodiscard]] static CallerSocket* Find(CallerId aCaller);

  template<typename Buffer, typename Done>
  void async_read_some(const Buffer& aBuffer, Done&& aDone)
  {
    Receive(aBuffer, ReadDone(std::forward<Done>(aDone)));
  }

  template<typename Buffers, typename Done>
  auto async_write_some(const Buffers& aBuffers, Done&& aDone)
  {
    OnWriteProgress();
    return Base::async_write_some(aBuffers, std::forward<Done>(aDone));
  }

  void close();
  asio::error_code close(asio::error_code& aError);

private:
  using ReadDone = std::function<void(const asio::error_code&, std::size_t)>;

  /// State of an open connection.
  struct Connection
  {
    std::shared_ptr<ListenerState> state_;
    CallerId caller_;
    RequestFraming framing_;
    /// Bytes received and not yet read by `framing_`.
    std::string unread_;
    /// The request that is being received.
    HttpRequest request_;
    /// Limit that was in force when its head was complete.
    std::uint64_t maxBodyBytes_ = 0;
    /// Size of its body, if the head states it; else 0.
    std::uint64_t bodyBytes_ = 0;
    bool keepsAlive_ = true;
    /// Its head is complete and its end is not.
    bool receiving_ = false;
    /// The rest of the request is dropped, as it was refused: no more than
    /// another body of the largest size.
    bool dropping_ = false;
    std::uint64_t droppedBytes_ = 0;
    /// Why the request has to be refused.
    std::optional<HttpResponse> refusal_;
    bool closes_ = false;
    /// A read of the socket is in progress.
    bool reading_ = false;
    /// The connection has to close.
    bool evicted_ = false;
    /// What the library is told next.
    std::optional<ReceivedRequest> reported_;
  };

  void Receive(asio::mutable_buffer aBuffer, ReadDone aDone);
  void ReadMore(asio::mutable_buffer aBuffer, ReadDone aDone);
  /// Reads requests from bytes that were received.
  void Consume(std::string_view aBytes,
               asio::mutable_buffer aBuffer,
               const ReadDone& aDone);
  /// @returns whether the current request is to be reported
  [[nodiscard]] bool OnEvent(RequestFraming::Event aEvent);
  void OnHead();
  void OnBody(std::string_view aBytes);
  /// Accounts for the bytes received since the last call.
  void Account();
  /// @returns what the request that is being received holds
  [[nodiscard]] std::uint64_t HeldBytes() const;
  void Refuse(Refusal aRefusal);
  /// Tells the library of a request.
  void Report(asio::mutable_buffer aBuffer, const ReadDone& aDone);
  void OnWriteProgress();
  /// @returns whether the read in progress was cancelled by `GiveWay`
  [[nodiscard]] bool MustGiveWay() const noexcept
  {
    return connection_->evicted_ || connection_->refusal_;
  }
  /// Ends the connection or refuses its request, as decided elsewhere.
  void GiveWay(const Eviction& aEviction);
  void Deregister();

  std::unique_ptr<Connection> connection_;
};

} // namespace marjoramtally
