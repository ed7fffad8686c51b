#ifndef FIREFLYSLIP_CORE_RESULT_H_
#define FIREFLYSLIP_CORE_RESULT_H_

#include <cassert>
#include <utility>
#include <variant>

#include "fireflyslip/core/error.h"

namespace fireflyslip {

/// \brief Either a value or an error.
template <typename T>
using result = std::variant<T, error>;

/// \brief Result of an operation without a return value.
using status = result<std::monostate>;

/// \brief Whether the result holds a value.
template <typename T>
bool IsOk(const std::variant<T, error>& value) {
  return value.index() == 0;
}

/// \brief Returns the value. The result must hold one.
template <typename T>
const T& ValueOf(const std::variant<T, error>& value) {
  assert(IsOk(value));
  return *std::get_if<0>(&value);
}

template <typename T>
T&& ValueOf(std::variant<T, error>&& value) {
  assert(IsOk(value));
  return std::move(*std::get_if<0>(&value));
}

/// \brief Returns the error. The result must hold one.
template <typename T>
const error& ErrorOf(const std::variant<T, error>& value) {
  assert(!IsOk(value));
  return *std::get_if<1>(&value);
}

/// \brief Overload set of lambdas, used as a visitor for `std::visit`.
template <typename... Functions>
struct overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CORE_RESULT_H_
