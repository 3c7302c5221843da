/// Processing capacity of an instance.
#pragma once

#include "marjoramtally/base/strong.hpp"

#include <cstdint>

namespace marjoramtally {

/// In thousandths of a core; 0 if not known.
using Capacity = Strong<std::uint32_t, struct CapacityTag>;

} // namespace marjoramtally
