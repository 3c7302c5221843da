/// The upstreams that rules name, as routing sees them.
#pragma once

#include "marjoramtally/process.hpp"

namespace marjoramtally {

[[nodiscard]] std::vector<UpstreamView>
ListUpstreams(const Rules& aRules);

} // namespace marjoramtally
