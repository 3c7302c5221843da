/// Strong typedefs: distinct types with the same underlying representation.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace marjoramtally {

/// A value of type `T` that does not convert to other strong types.
///
/// @tparam T underlying type
/// @tparam Tag incomplete type that makes the strong type unique
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

  /// @returns the underlying value
  [[nodiscard]] constexpr const T& Get() const noexcept { return value_; }

  constexpr auto operator<=>(const Strong&) const = default;

private:
  T value_{};
};

} // namespace marjoramtally

/// Hashes the underlying value.
template<typename T, typename Tag>
struct std::hash<marjoramtally::Strong<T, Tag>>
{
  std::size_t operator()(
    const marjoramtally::Strong<T, Tag>& aValue) const noexcept
  {
    return std::hash<T>{}(aValue.Get());
  }
};
