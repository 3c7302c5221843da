/// Strong types: values that share a representation but not a meaning.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace marjoramtally {

/// A value of type `T` that converts to no other strong type.
///
/// @tparam T the representation
/// @tparam Tag an incomplete type naming the meaning
/// @example `TrainerId trainer{ "letters" };`
template<typename T, typename Tag>
class Strong
{
public:
  constexpr Strong() = default;
  constexpr explicit Strong(T aValue)
    : value_(std::move(aValue))
  {
  }

  /// @returns the representation
  [[nodiscard]] constexpr const T& Get() const noexcept { return value_; }

  constexpr auto operator<=>(const Strong&) const = default;

private:
  T value_{};
};

} // namespace marjoramtally

/// Strong types hash as their representation.
template<typename T, typename Tag>
struct std::hash<marjoramtally::Strong<T, Tag>>
{
  std::size_t operator()(
    const marjoramtally::Strong<T, Tag>& aValue) const noexcept
  {
    return std::hash<T>{}(aValue.Get());
  }
};
