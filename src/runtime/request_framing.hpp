/// Splits the bytes of a connection into requests.
#pragma once

#include "marjoramtally/runtime/http_types.hpp"

#include <functional>
#include <http_parser.h>

namespace marjoramtally {

/// Reads one request after the other with the parser of the HTTP library. A
/// body is passed on as it arrives, without chunks; extensions of chunks and
/// trailers are read and dropped.
class RequestFraming
{
public:
  enum class Event
  {
    /// All bytes are read.
    NeedsMore,
    /// The head is complete; the body follows.
    Head,
    /// The request is complete. The next bytes belong to another one.
    End,
    /// The bytes are no request; nothing can be read after them.
    Invalid,
  };

  struct Step
  {
    Event event_ = Event::NeedsMore;
    /// Number of bytes that were read; the others are to be passed again.
    std::size_t read_ = 0;
  };

  RequestFraming();
  RequestFraming(const RequestFraming&) = delete;
  RequestFraming& operator=(const RequestFraming&) = delete;

  /// Receives each part of a body; called from `Read`.
  std::function<void(std::string_view)> onBody_;

  /// Reads up to the next event.
  [[nodiscard]] Step Read(std::string_view aBytes);

  /// @returns whether a part of a request was read, but not all of it
  [[nodiscard]] bool IsWithinRequest() const noexcept { return bytes_ > 0; }
  /// @returns whether the head of the current request is complete
  [[nodiscard]] bool HasHead() const noexcept { return hasHead_; }
  /// @returns the bytes read of the head
  [[nodiscard]] std::uint64_t HeadBytes() const noexcept { return headBytes_; }
  /// @returns the bytes read of the trailers
  [[nodiscard]] std::uint64_t TrailerBytes() const noexcept
  {
    return trailerBytes_;
  }
  /// @returns the length that the head states for the body; 0 without one
  [[nodiscard]] std::uint64_t BodyLength() const noexcept;
  /// @returns whether the connection stays open after the response
  [[nodiscard]] bool KeepsAlive() const noexcept;
  /// @returns the request without its body. Fields that frame the body are not
  /// part of it.
  [[nodiscard]] HttpRequest TakeRequest();

private:
  /// Parts of a request that the parser reports piece by piece.
  enum class Part
  {
    None,
    Name,
    Value,
  };

  static const http_parser_settings& Callbacks();
  static RequestFraming& Self(http_parser* aParser)
  {
    return *static_cast<RequestFraming*>(aParser->data);
  }
  static int OnTarget(http_parser* aParser, const char* aAt, std::size_t aSize);
  static int OnName(http_parser* aParser, const char* aAt, std::size_t aSize);
  static int OnValue(http_parser* aParser, const char* aAt, std::size_t aSize);
  static int OnHead(http_parser* aParser);
  static int OnBody(http_parser* aParser, const char* aAt, std::size_t aSize);
  static int OnEnd(http_parser* aParser);
  void Restart();

  http_parser parser_{};
  std::string target_;
  HttpHeaders fields_;
  Part last_ = Part::None;
  bool hasHead_ = false;
  bool ended_ = false;
  /// Bytes read of the current request.
  std::uint64_t bytes_ = 0;
  std::uint64_t headBytes_ = 0;
  std::uint64_t trailerBytes_ = 0;
};

} // namespace marjoramtally
