/// Who may do what: bearer tokens against the hashes in the rules.
#pragma once

#include "marjoramtally/runtime/http_types.hpp"
#include "marjoramtally/version/rules.hpp"

namespace marjoramtally {

/// Checks that a trainer's caller holds its token, if the rules name one.
/// A refusal is logged, without the token.
/// @returns an error of kind `Refused` unless it may go on
[[nodiscard]] Result<bool>
CheckTrainerAccess(const Rules& aRules,
                   const TrainerId& aTrainer,
                   const HttpHeaders& aHeaders);

/// Checks that a caller holds some operator's token. While the rules name no
/// operator, nobody does.
/// @returns the operator, or an error of kind `Refused`
[[nodiscard]] Result<OperatorId>
CheckOperatorAccess(const Rules& aRules, const HttpHeaders& aHeaders);

} // namespace marjoramtally
