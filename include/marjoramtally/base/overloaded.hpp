/// One callable of several, for visiting variants.
#pragma once

namespace marjoramtally {

/// Turns a visitor's overloads into one callable.
/// @example `std::visit(Overloaded{ [](int) {}, [](double) {} }, value);`
template<typename... Functions>
struct Overloaded : Functions...
{
  using Functions::operator()...;
};
template<typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace marjoramtally
