/// Public header of the process library: decisions that live as long as a
/// process.
#pragma once

#include "marjoramtally/process/admission.hpp"
#include "marjoramtally/process/claim_record.hpp"
#include "marjoramtally/process/claims.hpp"
#include "marjoramtally/process/concurrency_limit.hpp"
#include "marjoramtally/process/deadline_queue.hpp"
#include "marjoramtally/process/early_refusal.hpp"
#include "marjoramtally/process/fair_queue.hpp"
#include "marjoramtally/process/load_estimate.hpp"
#include "marjoramtally/process/order_fencing.hpp"
#include "marjoramtally/process/output_estimate.hpp"
#include "marjoramtally/process/poll_plan.hpp"
#include "marjoramtally/process/prefix_hints.hpp"
#include "marjoramtally/process/quarantine.hpp"
#include "marjoramtally/process/retry_budget.hpp"
#include "marjoramtally/process/rollout.hpp"
#include "marjoramtally/process/router.hpp"
#include "marjoramtally/process/upstream_health.hpp"
