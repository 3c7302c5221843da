#include "runtime/request_framing.hpp"

#include <algorithm>
#include <limits>

namespace marjoramtally {

namespace {

/// What the parser has for a request without a length.
constexpr std::uint64_t kNoLength = std::numeric_limits<std::uint64_t>::max();

bool
FramesBody(const HttpHeader& aField)
{
  return IsNamed(aField, "Content-Length") ||
         IsNamed(aField, "Transfer-Encoding");
}

} // namespace

RequestFraming::RequestFraming()
{
  Restart();
}

const http_parser_settings&
RequestFraming::Callbacks()
{
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_url = OnTarget;
    callbacks.on_header_field = OnName;
    callbacks.on_header_value = OnValue;
    callbacks.on_headers_complete = OnHead;
    callbacks.on_body = OnBody;
    callbacks.on_message_complete = OnEnd;
    return callbacks;
  }();
  return settings;
}

void
RequestFraming::Restart()
{
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  target_.clear();
  fields_.clear();
  last_ = Part::None;
  hasHead_ = false;
  ended_ = false;
  bytes_ = 0;
  headBytes_ = 0;
  trailerBytes_ = 0;
}

RequestFraming::Step
RequestFraming::Read(std::string_view aBytes)
{
  if (ended_) {
    Restart();
  }
  const bool hadHead = hasHead_;
  http_parser_pause(&parser_, 0);
  const std::size_t read =
    http_parser_execute(&parser_, &Callbacks(), aBytes.data(), aBytes.size());
  bytes_ += read;
  if (!hadHead) {
    headBytes_ += read;
  }
  const auto failure = static_cast<http_errno>(parser_.http_errno);
  if (failure != HPE_OK && failure != HPE_PAUSED) {
    return { Event::Invalid, read };
  }
  if (ended_) {
    return { Event::End, read };
  }
  return { hasHead_ && !hadHead ? Event::Head : Event::NeedsMore, read };
}

std::uint64_t
RequestFraming::BodyLength() const noexcept
{
  return parser_.content_length == kNoLength ? 0 : parser_.content_length;
}

bool
RequestFraming::KeepsAlive() const noexcept
{
  return http_should_keep_alive(&parser_) != 0;
}

HttpRequest
RequestFraming::TakeRequest()
{
  HttpRequest request;
  request.method_ = http_method_str(static_cast<http_method>(parser_.method));
  const std::size_t fragment = std::min(target_.find('#'), target_.size());
  const std::size_t query = std::min(target_.find('?'), fragment);
  request.path_ = target_.substr(0, query);
  if (query < fragment) {
    request.query_ = target_.substr(query + 1, fragment - query - 1);
  }
  std::erase_if(fields_, FramesBody);
  request.headers_ = std::move(fields_);
  fields_.clear();
  return request;
}

int
RequestFraming::OnTarget(http_parser* aParser,
                         const char* aAt,
                         std::size_t aSize)
{
  Self(aParser).target_.append(aAt, aSize);
  return 0;
}

int
RequestFraming::OnName(http_parser* aParser, const char* aAt, std::size_t aSize)
{
  RequestFraming& self = Self(aParser);
  if (self.hasHead_) {
    self.trailerBytes_ += aSize;
    return 0;
  }
  if (self.last_ != Part::Name) {
    self.fields_.emplace_back();
    self.last_ = Part::Name;
  }
  self.fields_.back().name_.append(aAt, aSize);
  return 0;
}

int
RequestFraming::OnValue(http_parser* aParser,
                        const char* aAt,
                        std::size_t aSize)
{
  RequestFraming& self = Self(aParser);
  if (self.hasHead_) {
    self.trailerBytes_ += aSize;
    return 0;
  }
  self.last_ = Part::Value;
  self.fields_.back().value_.append(aAt, aSize);
  return 0;
}

/// The parser stops, so that the owner can decide on the body.
int
RequestFraming::OnHead(http_parser* aParser)
{
  Self(aParser).hasHead_ = true;
  http_parser_pause(aParser, 1);
  return 0;
}

int
RequestFraming::OnBody(http_parser* aParser, const char* aAt, std::size_t aSize)
{
  Self(aParser).onBody_({ aAt, aSize });
  return 0;
}

int
RequestFraming::OnEnd(http_parser* aParser)
{
  Self(aParser).ended_ = true;
  http_parser_pause(aParser, 1);
  return 0;
}

} // namespace marjoramtally
