/// Public header of the base library: ids, units, time, results, findings.
#pragma once

#include "marjoramtally/base/backoff.hpp"
#include "marjoramtally/base/capacity.hpp"
#include "marjoramtally/base/clock.hpp"
#include "marjoramtally/base/fields.hpp"
#include "marjoramtally/base/findings.hpp"
#include "marjoramtally/base/ids.hpp"
#include "marjoramtally/base/index_set.hpp"
#include "marjoramtally/base/ini.hpp"
#include "marjoramtally/base/json.hpp"
#include "marjoramtally/base/overloaded.hpp"
#include "marjoramtally/base/random.hpp"
#include "marjoramtally/base/result.hpp"
#include "marjoramtally/base/strong.hpp"
#include "marjoramtally/base/units.hpp"
