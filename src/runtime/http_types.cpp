#include "marjoramtally/runtime/http_types.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

constexpr char
Lower(char aLetter) noexcept
{
  constexpr char kCaseBit = 'a' - 'A';
  return aLetter >= 'A' && aLetter <= 'Z'
           ? static_cast<char>(aLetter + kCaseBit)
           : aLetter;
}

/// Compares ASCII only, independent of the locale: header names contain only
/// letters, digits and a few symbols.
bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight) noexcept
{
  return aLeft.size() == aRight.size() &&
         std::equal(
           aLeft.begin(),
           aLeft.end(),
           aRight.begin(),
           [](char aOne, char aOther) { return Lower(aOne) == Lower(aOther); });
}

} // namespace

bool
IsNamed(const HttpHeader& aHeader, std::string_view aName) noexcept
{
  return EqualIgnoringCase(aHeader.name_, aName);
}

std::optional<std::string_view>
FindHeader(const HttpHeaders& aHeaders, std::string_view aName) noexcept
{
  for (const HttpHeader& header : aHeaders) {
    if (IsNamed(header, aName)) {
      return header.value_;
    }
  }
  return std::nullopt;
}

bool
IsSafeHeader(std::string_view aName, std::string_view aValue) noexcept
{
  constexpr std::string_view kLineEnds("\r\n\0", 3);
  const bool valueEnds = aValue.find_first_of(kLineEnds) != aValue.npos;
  return !aName.empty() && !valueEnds && IsSafeInRequestLine(aName) &&
         aName.find(':') == aName.npos;
}

bool
IsSafeInRequestLine(std::string_view aText) noexcept
{
  constexpr unsigned char kLastSpaceOrControl = ' ';
  constexpr unsigned char kDelete = 0x7f;
  return std::none_of(aText.begin(), aText.end(), [](unsigned char aByte) {
    return aByte <= kLastSpaceOrControl || aByte == kDelete;
  });
}

HttpResponse
JsonResponse(int aStatus, std::string aBody)
{
  HttpResponse response;
  response.status_ = aStatus;
  response.headers_.push_back({ "Content-Type", "application/json" });
  response.body_ = std::move(aBody);
  return response;
}

HttpResponse
ErrorResponse(int aStatus, std::string_view aKind, std::string_view aMessage)
{
  const nlohmann::json body{
    { "error", { { "kind", aKind }, { "message", aMessage } } }
  };
  return JsonResponse(
    aStatus,
    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace marjoramtally
