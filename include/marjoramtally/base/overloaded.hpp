/// Overload set of lambdas for `std::visit`.
#pragma once

namespace marjoramtally {

/// Combines several callables into one overloaded callable.
/// @example `std::visit(Overloaded{ [](int) {}, [](double) {} }, value);`
template<typename... Functions>
struct Overloaded : Functions...
{
  using Functions::operator()...;
};
template<typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace marjoramtally
