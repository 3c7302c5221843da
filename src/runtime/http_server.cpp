#include "marjoramtally/runtime/http_server.hpp"

#include <restinio/all.hpp>

#include <thread>

namespace marjoramtally {

namespace {

using Traits =
  restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>;
using Server = restinio::http_server_t<Traits>;
using StreamBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

/// Bodies up to this many times the limit are read so as to answer 413;
/// larger ones end the connection.
constexpr std::uint64_t kBodyReadFactor = 8;
/// Long enough for any generation; deadlines are enforced elsewhere.
constexpr auto kHandleTimeout = std::chrono::hours(24);
/// How long an idle connection is kept.
constexpr auto kIdleTimeout = std::chrono::minutes(10);
/// A caller that reads nothing for so long loses its connection.
constexpr auto kWriteTimeout = std::chrono::minutes(1);
constexpr std::size_t kReadBufferBytes = 16U * 1024U;

/// What replies share with their server.
struct ServerState
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

class Reply final : public HttpReply
{
public:
  Reply(restinio::request_handle_t aRequest,
        std::shared_ptr<ServerState> aState)
    : request_(std::move(aRequest))
    , state_(std::move(aState))
  {
    ++state_->inFlight_;
  }

  ~Reply() override { Finish(); }

  void Send(HttpResponse aResponse) override
  {
    auto builder = request_->create_response(StatusLine(aResponse.status_));
    AddHeaders(builder, aResponse.headers_);
    builder.set_body(std::move(aResponse.body_));
    builder.done();
    Finish();
  }

  void Begin(int aStatus, HttpHeaders aHeaders) override
  {
    stream_ = std::make_unique<StreamBuilder>(
      request_->create_response<restinio::chunked_output_t>(
        StatusLine(aStatus)));
    AddHeaders(*stream_, aHeaders);
    stream_->flush();
  }

  void Chunk(std::string aData, std::function<void(bool)> aWritten) override
  {
    stream_->append_chunk(std::move(aData));
    stream_->flush([written = std::move(aWritten)](const auto& aError) {
      if (written) {
        written(!aError);
      }
    });
  }

  void End() override
  {
    stream_->done();
    stream_.reset();
    Finish();
  }

private:
  template<typename Builder>
  void AddHeaders(Builder& aBuilder, const HttpHeaders& aHeaders)
  {
    for (const HttpHeader& header : aHeaders) {
      aBuilder.append_header(header.name_, header.value_);
    }
    if (state_->closing_) {
      aBuilder.connection_close();
    }
  }

  void Finish()
  {
    if (!finished_.exchange(true)) {
      --state_->inFlight_;
    }
  }

  restinio::request_handle_t request_;
  std::shared_ptr<ServerState> state_;
  std::unique_ptr<StreamBuilder> stream_;
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

class RestinioServer final : public HttpServer
{
public:
  RestinioServer(HttpServerOptions aOptions, HttpHandler aHandler)
    : options_(std::move(aOptions))
    , handler_(std::move(aHandler))
    , server_(restinio::external_io_context(context_),
              [this](auto& aSettings) { Configure(aSettings); })
  {
  }

  ~RestinioServer() override
  {
    StopAccepting();
    guard_.reset();
    context_.stop();
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }

  Result<bool> Open()
  {
    for (std::uint32_t i = 0; i < options_.threads_; ++i) {
      threads_.emplace_back([this] { context_.run(); });
    }
    try {
      server_.open_sync();
    } catch (const std::exception& failure) {
      return Error{ ErrorKind::Unavailable,
                    "cannot listen on " + options_.address_ + ":" +
                      std::to_string(options_.port_) + ": " + failure.what() };
    }
    open_ = true;
    return true;
  }

  [[nodiscard]] std::uint16_t Port() const noexcept override { return port_; }

  void StopAccepting() override
  {
    state_->closing_ = true;
    if (open_.exchange(false)) {
      server_.close_sync();
    }
  }

  [[nodiscard]] std::uint64_t InFlight() const noexcept override
  {
    return state_->inFlight_;
  }

private:
  template<typename Settings>
  void Configure(Settings& aSettings)
  {
    const auto bodyLimit = options_.maxBodyBytes_ * kBodyReadFactor;
    aSettings.address(options_.address_)
      .port(options_.port_)
      .buffer_size(kReadBufferBytes)
      .handle_request_timeout(kHandleTimeout)
      .read_next_http_message_timelimit(kIdleTimeout)
      .write_http_response_timelimit(kWriteTimeout)
      .incoming_http_msg_limits(
        restinio::incoming_http_msg_limits_t{}.max_body_size(bodyLimit))
      .acceptor_post_bind_hook(
        [this](auto& aAcceptor) { port_ = aAcceptor.local_endpoint().port(); })
      .socket_options_setter([](auto& aOptions) {
        aOptions.set_option(restinio::asio_ns::ip::tcp::no_delay{ true });
      })
      .request_handler(
        [this](auto aRequest) { return Handle(std::move(aRequest)); });
  }

  restinio::request_handling_status_t Handle(
    restinio::request_handle_t aRequest)
  {
    auto reply = std::make_shared<Reply>(aRequest, state_);
    if (aRequest->body().size() > options_.maxBodyBytes_) {
      reply->Send(ErrorResponse(413,
                                "body_too_large",
                                "the body has more than " +
                                  std::to_string(options_.maxBodyBytes_) +
                                  " bytes; nothing was run"));
      return restinio::request_accepted();
    }
    handler_(ConvertRequest(aRequest), std::move(reply));
    return restinio::request_accepted();
  }

  HttpServerOptions options_;
  HttpHandler handler_;
  std::shared_ptr<ServerState> state_ = std::make_shared<ServerState>();
  restinio::asio_ns::io_context context_;
  std::optional<restinio::asio_ns::executor_work_guard<
    restinio::asio_ns::io_context::executor_type>>
    guard_{ context_.get_executor() };
  std::atomic<std::uint16_t> port_{ 0 };
  std::atomic<bool> open_{ false };
  Server server_;
  std::vector<std::thread> threads_;
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
