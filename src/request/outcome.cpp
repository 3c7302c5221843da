#include "marjoramtally/request/outcome.hpp"

#include "marjoramtally/request/request.hpp"

#include <array>

namespace marjoramtally {

namespace {

constexpr std::array<std::string_view, 3> kOutcomeNames{
  "completed",
  "refused-not-run",
  "unknown",
};

constexpr std::array<std::string_view, kRequestClasses> kClassNames{
  "live",
  "trainer",
  "background",
};

} // namespace

std::string_view
ToString(Outcome aOutcome) noexcept
{
  return kOutcomeNames.at(static_cast<std::size_t>(aOutcome));
}

std::string_view
ToString(RequestClass aClass) noexcept
{
  return kClassNames.at(static_cast<std::size_t>(aClass));
}

std::optional<RequestClass>
ParseRequestClass(std::string_view aText) noexcept
{
  for (std::size_t i = 0; i < kClassNames.size(); ++i) {
    if (kClassNames.at(i) == aText) {
      return static_cast<RequestClass>(i);
    }
  }
  return std::nullopt;
}

} // namespace marjoramtally
