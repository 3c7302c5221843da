/// Access checks: compares bearer tokens with the hashes in the rules.
#pragma once

#include "marjoramtally/runtime/http_types.hpp"
#include "marjoramtally/version/rules.hpp"

namespace marjoramtally {

/// Checks that the caller of a trainer presents the trainer's token, if the
/// rules define one. Refusals are logged without the token.
/// @returns an error of kind `Refused` if access is denied
[[nodiscard]] Result<bool>
CheckTrainerAccess(const Rules& aRules,
                   const TrainerId& aTrainer,
                   const HttpHeaders& aHeaders);

/// Checks that a caller presents the token of any operator. If the rules
/// define no operator, every caller is refused.
/// @returns the operator, or an error of kind `Refused`
[[nodiscard]] Result<OperatorId>
CheckOperatorAccess(const Rules& aRules, const HttpHeaders& aHeaders);

} // namespace marjoramtally
