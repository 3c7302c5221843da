/// Internal functions that read and check rules.
#pragma once

#include "marjoramtally/version/rules.hpp"

namespace marjoramtally::impl {

/// Reads one merged section into the rules.
void
ReadSection(const std::string& aSectionName,
            const IniSection& aSection,
            Rules& aRules,
            Findings& aFindings);

/// Checks references between sections and values that depend on other sections.
void
CheckReferences(const IniDocument& aMerged,
                const Rules& aRules,
                Findings& aOut);

} // namespace marjoramtally::impl
