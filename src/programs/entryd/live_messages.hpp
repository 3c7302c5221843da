/// HTTP messages of live callers: forwarded headers and responses.
#pragma once

#include "programs/entryd/dispatch_result.hpp"

namespace marjoramtally {

/// Classifies the response of a plain service, which is complete unless its
/// outcome header states that the request was refused and not run.
[[nodiscard]] AttemptEnd
ClassifyPlainResponse(const HttpResponse& aResponse);

/// @returns the headers to forward, without hop-by-hop headers
[[nodiscard]] HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders);

/// @returns the response to the caller, with the outcome header
[[nodiscard]] HttpResponse
MakeResponse(DispatchResult aResult);

/// @returns an error response whose outcome is that the request was not run
[[nodiscard]] HttpResponse
MakeRefusal(int aStatus, std::string_view aKind, std::string_view aMessage);

/// @returns the trace context of a request, or a new one if it has none
[[nodiscard]] TraceContext
TraceOf(const HttpRequest& aRequest);

} // namespace marjoramtally
