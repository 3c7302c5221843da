/// Umbrella header of the decision libraries. None of them opens a socket,
/// starts a thread or reads a clock; include `runtime.hpp` for that.
#pragma once

#include "marjoramtally/base.hpp"
#include "marjoramtally/connection.hpp"
#include "marjoramtally/fwd.hpp"
#include "marjoramtally/process.hpp"
#include "marjoramtally/request.hpp"
#include "marjoramtally/version.hpp"
