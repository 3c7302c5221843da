/// Public header of the version library: state whose lifetime is a version of
/// the configuration or of weights, or a trainer's step.
#pragma once

#include "marjoramtally/version/config_log.hpp"
#include "marjoramtally/version/job.hpp"
#include "marjoramtally/version/job_ledger.hpp"
#include "marjoramtally/version/job_record.hpp"
#include "marjoramtally/version/lead_policy.hpp"
#include "marjoramtally/version/rules.hpp"
#include "marjoramtally/version/rules_edit.hpp"
#include "marjoramtally/version/sample_journal.hpp"
#include "marjoramtally/version/staleness.hpp"
#include "marjoramtally/version/step_ledger.hpp"
#include "marjoramtally/version/take_client.hpp"
#include "marjoramtally/version/trainer_ledger.hpp"
