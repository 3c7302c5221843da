/// Public header of the process library: decisions that live as long as a
/// process.
#pragma once

#include "marjoramtally/process/admission.hpp"
#include "marjoramtally/process/router.hpp"
