#include "marjoramtally/runtime/http_server.hpp"

#include "marjoramtally/base/units.hpp"
#include "runtime/io_loop.hpp"

#include <restinio/all.hpp>

#include <future>
#include <limits>
#include <map>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marjoramtally {

namespace {

using Tcp = restinio::asio_ns::ip::tcp;

/// A connection's socket, which replies find by the caller's address. The HTTP
/// library reads nothing while a request is in progress and so does not notice
/// a caller that disconnects; a reply monitors the socket for that.
class CallerSocket : public Tcp::socket
{
public:
  using Tcp::socket::socket;
  CallerSocket(CallerSocket&& aOther) noexcept
    : Tcp::socket(std::move(aOther))
  {
  }
  CallerSocket& operator=(CallerSocket&&) = delete;
  CallerSocket(const CallerSocket&) = delete;
  CallerSocket& operator=(const CallerSocket&) = delete;
  ~CallerSocket()
  {
    // The caller may have reused its port for a newer connection, whose entry
    // must not be removed when this one, kept open by an old reply, ends.
    const auto it = OpenSockets().find(remote_);
    if (registered_ && it != OpenSockets().end() && it->second == this) {
      OpenSockets().erase(it);
    }
  }

  /// Registers the socket at the library's first read; from then on it is not
  /// moved.
  template<typename... Args>
  auto async_read_some(Args&&... aArgs)
  {
    if (!registered_) {
      asio::error_code failure;
      remote_ = remote_endpoint(failure);
      registered_ = !failure;
      if (registered_) {
        static thread_local std::uint64_t last = 0;
        number_ = ++last;
        OpenSockets()[remote_] = this;
      }
    }
    return Tcp::socket::async_read_some(std::forward<Args>(aArgs)...);
  }

  /// @returns the number of the caller's current connection; 0 if it has none
  static std::uint64_t NumberOf(const Tcp::endpoint& aCaller)
  {
    const auto it = OpenSockets().find(aCaller);
    return it == OpenSockets().end() ? 0 : it->second->number_;
  }

  /// @returns the caller's connection with that number, or nullptr if it is
  /// closed
  static CallerSocket* Find(const Tcp::endpoint& aCaller, std::uint64_t aNumber)
  {
    const auto it = OpenSockets().find(aCaller);
    const bool same =
      it != OpenSockets().end() && it->second->number_ == aNumber;
    return same ? it->second : nullptr;
  }

private:
  /// Sockets of the current thread's loop; only that thread uses them.
  static std::map<Tcp::endpoint, CallerSocket*>& OpenSockets()
  {
    static thread_local std::map<Tcp::endpoint, CallerSocket*> sockets;
    return sockets;
  }

  Tcp::endpoint remote_;
  /// Distinguishes connections from the same address and port, as callers reuse
  /// their ports.
  std::uint64_t number_ = 0;
  bool registered_ = false;
};

/// Each connection is used only on the one thread of its loop, so no strand is
/// needed.
using Traits =
  restinio::traits_t<restinio::asio_timer_manager_t,
                     restinio::null_logger_t,
                     restinio::details::autodetect_request_handler_type,
                     restinio::noop_strand_t,
                     CallerSocket>;
using Server = restinio::http_server_t<Traits>;
using StreamBuilder = restinio::response_builder_t<restinio::chunked_output_t>;
using HeadBuilder =
  restinio::response_builder_t<restinio::user_controlled_output_t>;

/// Bodies up to this multiple of the limit are read in order to answer 413;
/// larger ones close the connection.
constexpr std::uint64_t kBodyReadFactor = 8;
/// Longer than any generation; the actual deadlines are enforced elsewhere.
constexpr auto kHandleTimeout = std::chrono::hours(24);
/// How long an idle connection is kept open.
constexpr auto kIdleTimeout = std::chrono::minutes(10);
/// A caller that reads nothing for this long is disconnected.
constexpr auto kWriteTimeout = std::chrono::minutes(1);
constexpr std::size_t kReadBufferBytes = 16U * 1024U;
/// How often a caller that has sent part of its next request is looked at.
constexpr auto kCallerCheckInterval = std::chrono::milliseconds(100);

/// State shared by a server and its replies.
struct ServerState
{
  /// Outlives all connections.
  std::shared_ptr<IoPool> pool_;
  std::atomic<std::uint64_t> inFlight_{ 0 };
  std::atomic<bool> closing_{ false };
};

restinio::http_status_line_t
StatusLine(int aStatus)
{
  const auto code =
    restinio::http_status_code_t{ static_cast<std::uint16_t>(aStatus) };
  return restinio::http_status_line_t{ code, aStatus < 400 ? "OK" : "Error" };
}

class Reply final
  : public HttpReply
  , public std::enable_shared_from_this<Reply>
{
public:
  Reply(restinio::request_handle_t aRequest,
        std::shared_ptr<ServerState> aState)
    : state_(std::move(aState))
    , request_(std::move(aRequest))
    , loop_(state_->pool_->Pick())
    , connection_(CallerSocket::NumberOf(request_->remote_endpoint()))
    , headOnly_(request_->header().method() == restinio::http_method_head())
  {
    ++state_->inFlight_;
  }

  ~Reply() override { Finish(); }

  void Send(HttpResponse aResponse) override
  {
    if (headOnly_) {
      SendHead(aResponse.status_, aResponse.headers_, aResponse.body_.size());
      return;
    }
    auto builder = request_->create_response(StatusLine(aResponse.status_));
    AddHeaders(builder, aResponse.headers_);
    builder.set_body(std::move(aResponse.body_));
    replied_ = true;
    builder.done(FinishWhenWritten());
  }

  void Begin(int aStatus, HttpHeaders aHeaders) override
  {
    if (headOnly_) {
      SendHead(aStatus, aHeaders, 0);
      return;
    }
    stream_ = std::make_unique<StreamBuilder>(
      request_->create_response<restinio::chunked_output_t>(
        StatusLine(aStatus)));
    AddHeaders(*stream_, aHeaders);
    stream_->flush();
  }

  void Chunk(std::string aData, std::function<void(bool)> aWritten) override
  {
    if (headOnly_) {
      if (aWritten) {
        Post([written = std::move(aWritten)] { written(true); });
      }
      return;
    }
    stream_->append_chunk(std::move(aData));
    stream_->flush([written = std::move(aWritten)](const auto& aError) {
      if (written) {
        written(!aError);
      }
    });
  }

  void End() override
  {
    if (!stream_) {
      if (!replied_) {
        Finish();
      }
      return;
    }
    replied_ = true;
    stream_->done(FinishWhenWritten());
    stream_.reset();
  }

  void Abort() override
  {
    RunOnLoop([self = shared_from_this()] { self->AbortNow(); });
  }

  /// The connection closes after the response.
  void CloseAfterwards() noexcept { closes_ = true; }

  /// Runs a task on the connection's loop, after its current one.
  void Post(std::function<void()> aTask)
  {
    asio::post(state_->pool_->Loop(loop_).Context(), std::move(aTask));
  }

  void OnCallerGone(std::function<void()> aGone) override
  {
    RunOnLoop([self = shared_from_this(), gone = std::move(aGone)] {
      self->WatchCaller(gone);
    });
  }

private:
  /// Answers a HEAD request. A body would be read as the next response.
  /// @param aBodySize unless the headers state a length
  void SendHead(int aStatus, const HttpHeaders& aHeaders, std::size_t aBodySize)
  {
    HeadBuilder builder =
      request_->create_response<restinio::user_controlled_output_t>(
        StatusLine(aStatus));
    HttpHeaders headers = aHeaders;
    const auto stated = FindHeader(aHeaders, "Content-Length");
    const auto length =
      ParseNumber(stated.value_or(""), 0, std::numeric_limits<long>::max());
    std::erase_if(headers, [](const HttpHeader& aHeader) {
      return IsNamed(aHeader, "Content-Length");
    });
    builder.set_content_length(length.value_or(aBodySize));
    AddHeaders(builder, headers);
    replied_ = true;
    builder.done(FinishWhenWritten());
  }

  /// Runs a task on the connection's loop, at once if called there. Sockets are
  /// registered per thread.
  void RunOnLoop(std::function<void()> aTask)
  {
    auto& context = state_->pool_->Loop(loop_).Context();
    if (context.get_executor().running_in_this_thread()) {
      aTask();
    } else {
      Post(std::move(aTask));
    }
  }

  void AbortNow()
  {
    CallerSocket* socket =
      CallerSocket::Find(request_->remote_endpoint(), connection_);
    if (replied_) {
      return;
    }
    if (socket == nullptr) {
      // The connection is closed. A last chunk would mark the response as
      // complete.
      Finish();
      return;
    }
    asio::error_code ignored;
    socket->shutdown(Tcp::socket::shutdown_both, ignored);
    // The library detects the closed socket only when it writes to it.
    if (stream_) {
      End();
    } else {
      Send(HttpResponse{ 500, {}, {} });
    }
  }

  void WatchCaller(const std::function<void()>& aGone)
  {
    CallerSocket* socket =
      CallerSocket::Find(request_->remote_endpoint(), connection_);
    if (socket == nullptr) {
      return;
    }
    const int handle = socket->native_handle();
    socket->async_wait(
      Tcp::socket::wait_read,
      [self = weak_from_this(), handle, aGone](const asio::error_code& aError) {
        const auto reply = self.lock();
        if (aError || !reply || reply->replied_) {
          return;
        }
        if (HasCallerLeft(handle)) {
          aGone();
        } else {
          reply->WatchCallerLater(aGone);
        }
      });
  }

  /// @returns whether the caller closed or reset the connection, also if it has
  /// sent bytes that are not read yet
  static bool HasCallerLeft(int aHandle)
  {
    pollfd state{ aHandle, POLLRDHUP, 0 };
    return ::poll(&state, 1, 0) > 0;
  }

  /// A socket with unread bytes is always readable, so it is looked at in
  /// intervals.
  void WatchCallerLater(const std::function<void()>& aGone)
  {
    auto timer = std::make_shared<asio::steady_timer>(
      state_->pool_->Loop(loop_).Context(), kCallerCheckInterval);
    timer->async_wait(
      [self = weak_from_this(), timer, aGone](const asio::error_code& aError) {
        const auto reply = self.lock();
        if (!aError && reply && !reply->replied_) {
          reply->WatchCaller(aGone);
        }
      });
  }

  template<typename Builder>
  void AddHeaders(Builder& aBuilder, const HttpHeaders& aHeaders)
  {
    for (const HttpHeader& header : aHeaders) {
      aBuilder.append_header(header.name_, header.value_);
    }
    if (closes_ || state_->closing_) {
      aBuilder.connection_close();
    }
  }

  /// @returns a callback for the end of the last write. Until then the request
  /// is in flight, since a process that stops exits when none is.
  std::function<void(const asio::error_code&)> FinishWhenWritten()
  {
    return
      [self = shared_from_this()](const asio::error_code&) { self->Finish(); };
  }

  void Finish()
  {
    if (!finished_.exchange(true)) {
      --state_->inFlight_;
    }
  }

  std::shared_ptr<ServerState> state_;
  restinio::request_handle_t request_;
  /// Index of the connection's loop.
  std::size_t loop_;
  std::uint64_t connection_;
  bool headOnly_;
  bool closes_ = false;
  std::unique_ptr<StreamBuilder> stream_;
  /// The complete response was handed to the library.
  std::atomic<bool> replied_{ false };
  /// No longer counted as in flight.
  std::atomic<bool> finished_{ false };
};

HttpRequest
ConvertRequest(const restinio::request_handle_t& aRequest)
{
  HttpRequest request;
  const auto& header = aRequest->header();
  request.method_ = header.method().c_str();
  const auto path = header.path();
  const auto query = header.query();
  request.path_.assign(path.data(), path.size());
  request.query_.assign(query.data(), query.size());
  header.for_each_field([&](const auto& aField) {
    request.headers_.push_back({ aField.name(), aField.value() });
  });
  request.body_ = aRequest->body();
  return request;
}

/// The library accepts a field whose name ends with a space, which others read
/// as the field of that name (RFC 9112, 5.1), and control characters.
std::string
FindUnsafePart(const HttpRequest& aRequest)
{
  if (!IsSafeInRequestLine(aRequest.path_) ||
      !IsSafeInRequestLine(aRequest.query_)) {
    return "the request line contains a control character";
  }
  for (const HttpHeader& header : aRequest.headers_) {
    if (!IsSafeHeader(header.name_, header.value_)) {
      return "the header '" + header.name_ + "' contains a control character " +
             "or its name a space";
    }
  }
  return {};
}

class RestinioServer final : public HttpServer
{
public:
  RestinioServer(HttpServerOptions aOptions, HttpHandler aHandler)
    : options_(std::move(aOptions))
    , handler_(std::move(aHandler))
  {
    state_->pool_ =
      options_.pool_ ? options_.pool_ : IoPool::Create(options_.threads_);
  }

  ~RestinioServer() override
  {
    state_->pool_->Stop();
    if (open_) {
      CloseAll();
    }
  }

  /// Opens one server per loop; all accept from the same listening socket.
  Result<bool> Open()
  {
    for (std::size_t i = 0; i < state_->pool_->Size(); ++i) {
      auto& context = state_->pool_->Loop(i).Context();
      servers_.push_back(std::make_unique<Server>(
        restinio::external_io_context(context),
        [this](auto& aSettings) { Configure(aSettings); }));
      try {
        RunOn(i, [this, i] { servers_[i]->open_sync(); });
      } catch (const std::exception& failure) {
        return Error{ ErrorKind::Unavailable,
                      "cannot listen on " + options_.address_ + ":" +
                        std::to_string(options_.port_) + ": " +
                        failure.what() };
      }
    }
    open_ = true;
    return true;
  }

  [[nodiscard]] std::uint16_t Port() const noexcept override { return port_; }

  void StopAccepting() override
  {
    state_->closing_ = true;
    if (open_.exchange(false)) {
      for (std::size_t i = 0; i < servers_.size(); ++i) {
        RunOn(i, [this, i] { servers_[i]->close_sync(); });
      }
    }
  }

  [[nodiscard]] std::uint64_t InFlight() const noexcept override
  {
    return state_->inFlight_;
  }

private:
  /// Runs a task on a loop and waits for it; runs it at once if called on that
  /// loop.
  void RunOn(std::size_t aLoop, const std::function<void()>& aTask)
  {
    auto& context = state_->pool_->Loop(aLoop).Context();
    if (context.get_executor().running_in_this_thread()) {
      aTask();
      return;
    }
    std::packaged_task<void()> task(aTask);
    auto done = task.get_future();
    asio::post(context, [&task] { task(); });
    done.get();
  }

  void CloseAll()
  {
    for (const auto& server : servers_) {
      server->close_sync();
    }
  }

  /// Makes all loops share one listening socket: the first loop's is bound to
  /// the requested port, and the others use a duplicate of it. A port in use is
  /// therefore an error, as with one socket, and every loop accepts.
  void ShareListener(restinio::asio_ns::ip::tcp::acceptor& aAcceptor)
  {
    if (listener_ < 0) {
      listener_ = aAcceptor.native_handle();
      port_ = aAcceptor.local_endpoint().port();
      return;
    }
    const auto protocol = aAcceptor.local_endpoint().protocol();
    aAcceptor.close();
    aAcceptor.assign(protocol, ::dup(listener_));
  }

  template<typename Settings>
  void Configure(Settings& aSettings)
  {
    const auto bodyLimit = options_.maxBodyBytes_ * kBodyReadFactor;
    aSettings.address(options_.address_)
      .port(listener_ < 0 ? options_.port_ : std::uint16_t{ 0 })
      .buffer_size(kReadBufferBytes)
      .handle_request_timeout(kHandleTimeout)
      .read_next_http_message_timelimit(kIdleTimeout)
      .write_http_response_timelimit(kWriteTimeout)
      .incoming_http_msg_limits(
        restinio::incoming_http_msg_limits_t{}.max_body_size(bodyLimit))
      .acceptor_post_bind_hook(
        [this](auto& aAcceptor) { ShareListener(aAcceptor); })
      .socket_options_setter([](auto& aOptions) {
        aOptions.set_option(restinio::asio_ns::ip::tcp::no_delay{ true });
      })
      .request_handler(
        [this](const auto& aRequest) { return Handle(aRequest); });
  }

  /// The request is handled after the library's callback. A response within it
  /// that closes the connection violates the library's own assertion if the
  /// request was read together with the previous one.
  restinio::request_handling_status_t Handle(
    const restinio::request_handle_t& aRequest)
  {
    auto reply = std::make_shared<Reply>(aRequest, state_);
    reply->Post([this, aRequest, reply] {
      try {
        HandleNow(aRequest, reply);
      } catch (const std::exception&) {
        reply->Abort();
      }
    });
    return restinio::request_accepted();
  }

  void HandleNow(const restinio::request_handle_t& aRequest,
                 const std::shared_ptr<Reply>& aReply)
  {
    if (aRequest->body().size() > options_.maxBodyBytes_) {
      aReply->Send(ErrorResponse(413,
                                 "body_too_large",
                                 "the body has more than " +
                                   std::to_string(options_.maxBodyBytes_) +
                                   " bytes; nothing was run"));
      return;
    }
    HttpRequest request = ConvertRequest(aRequest);
    const std::string unsafe = FindUnsafePart(request);
    if (!unsafe.empty()) {
      aReply->CloseAfterwards();
      aReply->Send(
        ErrorResponse(400, "bad_input", unsafe + "; nothing was run"));
      return;
    }
    handler_(std::move(request), aReply);
  }

  HttpServerOptions options_;
  HttpHandler handler_;
  std::shared_ptr<ServerState> state_ = std::make_shared<ServerState>();
  std::atomic<std::uint16_t> port_{ 0 };
  std::atomic<bool> open_{ false };
  /// The first loop's listening socket; negative until it is bound.
  int listener_ = -1;
  std::vector<std::unique_ptr<Server>> servers_;
};

} // namespace

Result<std::unique_ptr<HttpServer>>
HttpServer::Start(HttpServerOptions aOptions, HttpHandler aHandler)
{
  auto server =
    std::make_unique<RestinioServer>(std::move(aOptions), std::move(aHandler));
  auto opened = server->Open();
  if (!opened) {
    return opened.error();
  }
  return std::unique_ptr<HttpServer>(std::move(server));
}

} // namespace marjoramtally
