#include "marjoramtally/runtime/http_types.hpp"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace marjoramtally {

namespace {

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight) noexcept
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](unsigned char aOne, unsigned char aOther) {
                      return std::tolower(aOne) == std::tolower(aOther);
                    });
}

} // namespace

std::optional<std::string_view>
FindHeader(const HttpHeaders& aHeaders, std::string_view aName) noexcept
{
  for (const HttpHeader& header : aHeaders) {
    if (EqualIgnoringCase(header.name_, aName)) {
      return header.value_;
    }
  }
  return std::nullopt;
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
