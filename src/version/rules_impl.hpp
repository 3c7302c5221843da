/// The parts of the rules' checks that stand in units of their own.
#pragma once

#include "marjoramtally/version/rules.hpp"

namespace marjoramtally::impl {

/// Reads one merged section into the rules.
void
ReadSection(const std::string& aSectionName,
            const IniSection& aSection,
            Rules& aRules,
            Findings& aFindings);

/// Checks what one section says of another.
void
CheckReferences(const IniDocument& aMerged,
                const Rules& aRules,
                Findings& aOut);

} // namespace marjoramtally::impl
