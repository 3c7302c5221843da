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
IsHopByHop(const HttpHeader& aHeader)
{
  return std::any_of(
    kHopByHopFields.begin(),
    kHopByHopFields.end(),
    [&](std::string_view aField) { return IsNamed(aHeader, aField); });
}

} // namespace

HttpHeaders
ForwardableHeaders(const HttpHeaders& aHeaders, const WireNames& aNames)
{
  HttpHeaders forwardable;
  for (const HttpHeader& header : aHeaders) {
    if (!IsHopByHop(header) && !IsNamed(header, aNames.deadline_) &&
        !IsNamed(header, aNames.expectUpstream_)) {
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
    return IsNamed(aHeader, kAuthorization) ||
           IsNamed(aHeader, aNames.customer_);
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
