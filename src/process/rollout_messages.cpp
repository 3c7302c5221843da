#include "marjoramtally/process/rollout_messages.hpp"

#include <array>

namespace marjoramtally {

namespace {

constexpr std::array<std::string_view, 3> kOrderKinds{ "prefetch",
                                                       "switch",
                                                       "role" };
constexpr std::array<std::string_view, 5> kNoticeKinds{ "swap_retried",
                                                        "left_behind",
                                                        "out_of_rotation",
                                                        "back_in_rotation",
                                                        "settled" };

} // namespace

std::string_view
ToString(OrderKind aKind) noexcept
{
  return kOrderKinds.at(static_cast<std::size_t>(aKind));
}

std::string_view
ToString(RolloutNoticeKind aKind) noexcept
{
  return kNoticeKinds.at(static_cast<std::size_t>(aKind));
}

} // namespace marjoramtally
