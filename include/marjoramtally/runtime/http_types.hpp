/// HTTP messages as plain values, shared by the server and the client.
#pragma once

#include "marjoramtally/base/clock.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjoramtally {

/// One header field. Names are case-insensitive.
struct HttpHeader
{
  std::string name_;
  std::string value_;
};

/// Header fields in wire order.
using HttpHeaders = std::vector<HttpHeader>;

/// @returns whether a field has that name
[[nodiscard]] bool
IsNamed(const HttpHeader& aHeader, std::string_view aName) noexcept;

/// @returns the value of the first field with that name, if any
[[nodiscard]] std::optional<std::string_view>
FindHeader(const HttpHeaders& aHeaders, std::string_view aName) noexcept;

/// @returns whether a field can be sent without changing where it or the
/// message ends
[[nodiscard]] bool
IsSafeHeader(std::string_view aName, std::string_view aValue) noexcept;

/// @returns whether a method, path, query or URL can be part of a request line
/// without changing where it ends
[[nodiscard]] bool
IsSafeInRequestLine(std::string_view aText) noexcept;

/// Bytes of a body that copies share, so that several holders of a large one,
/// such as a request and its attempts, need its memory once.
class HttpBody
{
public:
  HttpBody() = default;
  HttpBody(std::string aBytes)
    : bytes_(std::make_shared<const std::string>(std::move(aBytes)))
  {
  }
  HttpBody(const char* aBytes)
    : HttpBody(std::string(aBytes))
  {
  }

  [[nodiscard]] const std::string& Get() const noexcept
  {
    static const std::string empty;
    return bytes_ ? *bytes_ : empty;
  }
  operator const std::string&() const noexcept { return Get(); }
  friend bool operator==(const HttpBody& aLeft,
                         std::string_view aRight) noexcept
  {
    return aLeft.Get() == aRight;
  }

private:
  std::shared_ptr<const std::string> bytes_;
};

/// A complete request as received.
struct HttpRequest
{
  std::string method_;
  /// Path without the query.
  std::string path_;
  std::string query_;
  HttpHeaders headers_;
  std::string body_;
};

/// A complete response.
struct HttpResponse
{
  /// 0 until one is received or set.
  int status_ = 0;
  HttpHeaders headers_;
  std::string body_;
};

/// @returns a response with a JSON body
[[nodiscard]] HttpResponse
JsonResponse(int aStatus, std::string aBody);

/// @returns a response with the body `{"error":{"kind":…,"message":…}}`
[[nodiscard]] HttpResponse
ErrorResponse(int aStatus, std::string_view aKind, std::string_view aMessage);

} // namespace marjoramtally
