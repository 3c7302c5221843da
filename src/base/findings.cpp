#include "marjoramtally/base/findings.hpp"

#include "marjoramtally/base/result.hpp"

#include <array>

namespace marjoramtally {

void
Findings::Add(SourcePlace aPlace, std::string aMessage)
{
  items_.push_back(Finding{ std::move(aPlace), std::move(aMessage) });
}

void
Findings::Append(const Findings& aOther)
{
  items_.insert(items_.end(), aOther.items_.begin(), aOther.items_.end());
}

std::string
Findings::Render() const
{
  std::string out;
  for (const Finding& item : items_) {
    out += item.place_.file_;
    out += ':';
    out += std::to_string(item.place_.line_);
    out += ": ";
    out += item.message_;
    out += '\n';
  }
  return out;
}

std::string_view
ToString(ErrorKind aKind) noexcept
{
  static constexpr std::array<std::string_view, 7> kNames{
    "bad_input",   "not_found", "conflict", "refused",
    "unavailable", "timeout",   "internal",
  };
  return kNames.at(static_cast<std::size_t>(aKind));
}

} // namespace marjoramtally
