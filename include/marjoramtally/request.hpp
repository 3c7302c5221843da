/// Public header of the request library: state and types of single requests.
#pragma once

#include "marjoramtally/request/attempts.hpp"
#include "marjoramtally/request/completion_stream.hpp"
#include "marjoramtally/request/event_relay.hpp"
#include "marjoramtally/request/event_stream.hpp"
#include "marjoramtally/request/fingerprint.hpp"
#include "marjoramtally/request/outcome.hpp"
#include "marjoramtally/request/request.hpp"
#include "marjoramtally/request/sample.hpp"
