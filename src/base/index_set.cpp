#include "marjoramtally/base/index_set.hpp"

#include "marjoramtally/base/units.hpp"

#include <algorithm>

namespace marjoramtally {

std::optional<IndexSet>
IndexSet::Parse(std::string_view aText)
{
  IndexSet set;
  std::uint64_t lowest = 0;
  while (!aText.empty()) {
    const std::size_t comma = aText.find(',');
    const std::string_view range = aText.substr(0, comma);
    const std::size_t dash = range.find('-');
    const std::string_view last =
      dash == std::string_view::npos ? range : range.substr(dash + 1);
    const auto from = ParseNumber(range.substr(0, dash), lowest, kMaxIndex - 1);
    if (!from) {
      return std::nullopt;
    }
    const auto to = ParseNumber(last, *from, kMaxIndex - 1);
    if (!to) {
      return std::nullopt;
    }
    for (std::uint64_t i = *from; i <= *to; ++i) {
      set.Insert(static_cast<std::uint32_t>(i));
    }
    lowest = *to + 1;
    if (comma != std::string_view::npos && comma + 1 == aText.size()) {
      return std::nullopt;
    }
    aText.remove_prefix(comma == std::string_view::npos ? aText.size()
                                                        : comma + 1);
  }
  return set;
}

std::string
IndexSet::Format() const
{
  std::string out;
  for (std::size_t i = 0; i < bits_.size(); ++i) {
    if (!bits_[i]) {
      continue;
    }
    std::size_t last = i;
    while (last + 1 < bits_.size() && bits_[last + 1]) {
      ++last;
    }
    out += out.empty() ? "" : ",";
    out += std::to_string(i);
    out += last > i ? "-" + std::to_string(last) : "";
    i = last;
  }
  return out;
}

bool
IndexSet::Contains(std::uint32_t aIndex) const noexcept
{
  return aIndex < bits_.size() && bits_[aIndex];
}

bool
IndexSet::Insert(std::uint32_t aIndex)
{
  if (aIndex >= kMaxIndex || Contains(aIndex)) {
    return false;
  }
  if (aIndex >= bits_.size()) {
    bits_.resize(aIndex + 1);
  }
  bits_[aIndex] = true;
  ++count_;
  return true;
}

bool
IndexSet::operator==(const IndexSet& aOther) const noexcept
{
  if (count_ != aOther.count_) {
    return false;
  }
  const std::size_t common = std::min(bits_.size(), aOther.bits_.size());
  for (std::size_t i = 0; i < common; ++i) {
    if (bits_[i] != aOther.bits_[i]) {
      return false;
    }
  }
  return true;
}

} // namespace marjoramtally
