#ifndef FIREFLYSLIP_CORE_JSON_OBSERVER_H_
#define FIREFLYSLIP_CORE_JSON_OBSERVER_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace fireflyslip {

/// \brief Base of checks that run over JSON or CBOR before its values are
/// built.
///
/// The callback of `json::parse` is no substitute: with one, the parser
/// searches the enclosing array or object at the end of each element, so that
/// its time grows with the square of their number.
class json_observer : public nlohmann::json::json_sax_t {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t) override { return true; }
  bool end_object() override { return true; }
  bool start_array(std::size_t) override { return true; }
  bool end_array() override { return true; }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::json::exception&) override {
    return false;
  }
};

/// \brief Stops at values that are nested more deeply than a number of levels
/// of arrays and objects; recursion over those may exhaust the stack.
class nesting_checker : public json_observer {
 public:
  explicit nesting_checker(int max_depth) : max_depth_(max_depth) {}

  bool too_deep() const { return too_deep_; }

  bool start_object(std::size_t) override { return Begin(); }
  bool end_object() override { return End(); }
  bool start_array(std::size_t) override { return Begin(); }
  bool end_array() override { return End(); }

 private:
  bool Begin() {
    too_deep_ |= ++depth_ > max_depth_;
    return !too_deep_;
  }
  bool End() {
    --depth_;
    return true;
  }

  int max_depth_;
  int depth_ = 0;
  bool too_deep_ = false;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CORE_JSON_OBSERVER_H_
