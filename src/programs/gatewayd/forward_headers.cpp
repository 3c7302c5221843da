#include "programs/gatewayd/forwarder.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace marjoramtally {

namespace {

constexpr std::array<std::string_view, 10> kHopByHopFields{
  "connection",          "keep-alive",     "te",
  "transfer-encoding",   "trailer",        "upgrade",
  "proxy-connection",    "content-length", "expect",
  "proxy-authorization",
};

constexpr std::string_view kAuthorization = "authorization";

bool
SameName(std::string_view aLeft, std::string_view aRight) noexcept
{
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    [](char aOne, char aOther) {
                      return std::tolower(static_cast<unsigned char>(aOne)) ==
                             std::tolower(static_cast<unsigned char>(aOther));
                    });
}

bool
IsHopByHop(std::string_view aName)
{
  return std::any_of(
    kHopByHopFields.begin(),
    kHopByHopFields.end(),
    [&](std::string_view aField) { return SameName(aName, aField); });
}

} // namespace

HttpHeaders
ForwardableHeaders(const HttpHeaders& aHeaders, const WireNames& aNames)
{
  HttpHeaders forwardable;
  for (const HttpHeader& header : aHeaders) {
    if (!IsHopByHop(header.name_) &&
        !SameName(header.name_, aNames.deadline_) &&
        !SameName(header.name_, aNames.expectUpstream_)) {
      forwardable.push_back(header);
    }
  }
  return forwardable;
}

void
SetCustomer(HttpHeaders& aHeaders,
            const WireNames& aNames,
            const CustomerId& aCustomer)
{
  std::erase_if(aHeaders, [&](const HttpHeader& aHeader) {
    return SameName(aHeader.name_, kAuthorization) ||
           SameName(aHeader.name_, aNames.customer_);
  });
  if (!aCustomer.Get().empty()) {
    aHeaders.push_back({ aNames.customer_, aCustomer.Get() });
  }
}

HttpResponse
RefusedResponse(std::string_view aWhy, Duration aRetryAfter)
{
  HttpResponse response = ErrorResponse(503, "refused_not_run", aWhy);
  const double seconds = std::chrono::duration<double>(aRetryAfter).count();
  response.headers_.push_back(
    { "Retry-After", fmt::format("{:.3f}", seconds) });
  return response;
}

} // namespace marjoramtally
