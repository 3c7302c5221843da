/// HTTP messages of live callers: what is passed on, and what is answered.
#pragma once

#include "programs/entryd/dispatch_result.hpp"

namespace marjoramtally {

/// A plain service's answer is whole unless it says that it did not run.
[[nodiscard]] AttemptEnd
ClassifyPlainResponse(const HttpResponse& aResponse);

/// @returns the headers that do not belong to one connection or hop
[[nodiscard]] HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders);

/// @returns the caller's response, with the outcome in its header
[[nodiscard]] HttpResponse
MakeResponse(DispatchResult aResult);

/// @returns a refusal of a request that was not run
[[nodiscard]] HttpResponse
MakeRefusal(int aStatus, std::string_view aKind, std::string_view aMessage);

/// @returns the trace that a request belongs to
[[nodiscard]] TraceContext
TraceOf(const HttpRequest& aRequest);

} // namespace marjoramtally
