/// Converts the upstreams of the rules into the router's representation.
#pragma once

#include "marjoramtally/process.hpp"

namespace marjoramtally {

[[nodiscard]] std::vector<UpstreamView>
ListUpstreams(const Rules& aRules);

} // namespace marjoramtally
