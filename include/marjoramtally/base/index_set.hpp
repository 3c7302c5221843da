/// A set of small indexes with a compact text form such as `0-3,8`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramtally {

/// Set of indexes below `kMaxIndex`.
/// @example `IndexSet::Parse("0-3,8")->Contains(2)`
class IndexSet
{
public:
  /// Exclusive upper bound of the indexes.
  static constexpr std::uint32_t kMaxIndex = 1U << 20U;

  /// @returns nothing unless the text is a list of ascending ranges below
  /// `kMaxIndex`
  [[nodiscard]] static std::optional<IndexSet> Parse(std::string_view aText);
  [[nodiscard]] std::string Format() const;
  [[nodiscard]] bool Contains(std::uint32_t aIndex) const noexcept;
  /// @returns whether the index was inserted; false if it is already in the set
  /// or not below `kMaxIndex`
  bool Insert(std::uint32_t aIndex);
  [[nodiscard]] std::uint32_t size() const noexcept { return count_; }
  bool operator==(const IndexSet& aOther) const noexcept;

private:
  std::vector<bool> bits_;
  std::uint32_t count_ = 0;
};

} // namespace marjoramtally
