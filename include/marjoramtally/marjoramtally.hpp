/// Umbrella header of the decision libraries, which do not open sockets, start
/// threads or read clocks. Include `runtime.hpp` for code that does.
#pragma once

#include "marjoramtally/base.hpp"
#include "marjoramtally/connection.hpp"
#include "marjoramtally/fwd.hpp"
#include "marjoramtally/process.hpp"
#include "marjoramtally/request.hpp"
#include "marjoramtally/version.hpp"
