#include "node/cbor.h"

namespace fireflyslip {
namespace {

using nlohmann::json;

/// Levels of arrays and maps; the parser is recursive.
constexpr int kMaxNestingDepth = 16;

/// \brief Stops at input whose nesting would exhaust the stack, or that
/// declares more elements than it has bytes: for these, the parser throws even
/// if exceptions are not allowed.
class bounds_checker : public json::json_sax_t {
 public:
  explicit bounds_checker(std::size_t input_bytes)
      : input_bytes_(input_bytes) {}

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t elements) override { return Begin(elements); }
  bool end_object() override { return End(); }
  bool start_array(std::size_t elements) override { return Begin(elements); }
  bool end_array() override { return End(); }
  bool parse_error(std::size_t,
                   const std::string&,
                   const json::exception&) override {
    return false;
  }

 private:
  bool Begin(std::size_t elements) {
    constexpr auto kUnknown = static_cast<std::size_t>(-1);
    return ++depth_ <= kMaxNestingDepth &&
           (elements == kUnknown || elements <= input_bytes_);
  }
  bool End() {
    --depth_;
    return true;
  }

  std::size_t input_bytes_;
  int depth_ = 0;
};

}  // namespace

json ParseCbor(std::string_view bytes) {
  bounds_checker checker(bytes.size());
  if (!json::sax_parse(bytes, &checker, json::input_format_t::cbor)) {
    return json(json::value_t::discarded);
  }
  return json::from_cbor(bytes, true, false);
}

}  // namespace fireflyslip
