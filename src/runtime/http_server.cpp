#include "marjoramtally/runtime/http_server.hpp"

#include "marjoramtally/base/units.hpp"
#include "runtime/caller_socket.hpp"
#include "runtime/io_loop.hpp"

#include <restinio/all.hpp>

#include <future>
#include <limits>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marjoramtally {

namespace {

using Tcp = restinio::asio_ns::ip::tcp;

/// Asks for a place for each connection that the library has accepted.
class AdmissionInspector
{
public:
  explicit AdmissionInspector(std::shared_ptr<ListenerState> aState)
    : state_(std::move(aState))
  {
  }

  [[nodiscard]] restinio::ip_blocker::inspection_result_t inspect(
    const restinio::ip_blocker::incoming_info_t& /*aInfo*/) const noexcept
  {
    return CallerSocket::Admit(state_)
             ? restinio::ip_blocker::inspection_result_t::allow
             : restinio::ip_blocker::inspection_result_t::deny;
  }

private:
  std::shared_ptr<ListenerState> state_;
};

/// Each connection is used only on the one thread of its loop, so no strand is
/// needed. `CallerRegistry` limits the times of all connections with one timer.
struct Traits
  : restinio::traits_t<restinio::null_timer_manager_t,
                       restinio::null_logger_t,
                       restinio::details::autodetect_request_handler_type,
                       restinio::noop_strand_t,
                       CallerSocket>
{
  using ip_blocker_t = AdmissionInspector;
};
using Server = restinio::http_server_t<Traits>;
using StreamBuilder = restinio::response_builder_t<restinio::chunked_output_t>;
using HeadBuilder =
  restinio::response_builder_t<restinio::user_controlled_output_t>;

constexpr std::size_t kReadBufferBytes = 16U * 1024U;
/// How often a caller that has sent part of its next request is looked at.
constexpr auto kCallerCheckInterval = std::chrono::milliseconds(100);

/// State shared by a server, its connections and its replies.
struct ServerState : ListenerState
{
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
        std::shared_ptr<ServerState> aState,
        CallerId aCaller,
        bool aHeadOnly)
    : state_(std::move(aState))
    , request_(std::move(aRequest))
    , loop_(state_->pool_->Pick())
    , caller_(aCaller)
    , headOnly_(aHeadOnly)
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
    state_->callers_->OnResponse(caller_, aResponse.body_.size());
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
    const std::size_t bytes = aData.size();
    state_->callers_->OnResponse(caller_, bytes);
    stream_->append_chunk(std::move(aData));
    stream_->flush(
      [state = state_, caller = caller_, bytes, written = std::move(aWritten)](
        const auto& aError) {
        state->callers_->OnWritten(caller, bytes);
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
    CallerSocket* socket = CallerSocket::Find(caller_);
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
    CallerSocket* socket = CallerSocket::Find(caller_);
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
      state_->callers_->OnAnswered(caller_);
      --state_->inFlight_;
    }
  }

  std::shared_ptr<ServerState> state_;
  restinio::request_handle_t request_;
  /// Index of the connection's loop.
  std::size_t loop_;
  CallerId caller_;
  bool headOnly_;
  bool closes_ = false;
  std::unique_ptr<StreamBuilder> stream_;
  /// The complete response was handed to the library.
  std::atomic<bool> replied_{ false };
  /// No longer counted as in flight.
  std::atomic<bool> finished_{ false };
};

class RestinioServer final : public HttpServer
{
public:
  RestinioServer(HttpServerOptions aOptions, HttpHandler aHandler)
    : options_(std::move(aOptions))
    , handler_(std::move(aHandler))
  {
    state_->pool_ =
      options_.pool_ ? options_.pool_ : IoPool::Create(options_.threads_);
    state_->callers_ =
      options_.callers_
        ? options_.callers_
        : CallerRegistry::Create(state_->pool_, MachineLimits{}, nullptr);
    SetLimits(options_);
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

  void SetLimits(const HttpLimits& aLimits) override
  {
    state_->limits_.maxHeadBytes_ = aLimits.maxHeadBytes_;
    state_->limits_.maxBodyBytes_ = aLimits.maxBodyBytes_;
  }

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
    aSettings.address(options_.address_)
      .port(listener_ < 0 ? options_.port_ : std::uint16_t{ 0 })
      .buffer_size(kReadBufferBytes)
      .ip_blocker(std::make_shared<AdmissionInspector>(state_))
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
    auto received =
      std::make_shared<ReceivedRequest>(CallerSocket::TakeReported());
    auto reply = std::make_shared<Reply>(aRequest,
                                         state_,
                                         received->caller_,
                                         received->request_.method_ == "HEAD");
    reply->Post([this, received, reply] {
      try {
        HandleNow(std::move(*received), reply);
      } catch (const std::exception&) {
        reply->Abort();
      }
    });
    return restinio::request_accepted();
  }

  void HandleNow(ReceivedRequest aReceived,
                 const std::shared_ptr<Reply>& aReply)
  {
    if (aReceived.closes_) {
      aReply->CloseAfterwards();
    }
    if (aReceived.refusal_) {
      aReply->Send(std::move(*aReceived.refusal_));
    } else {
      handler_(std::move(aReceived.request_), aReply);
    }
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
