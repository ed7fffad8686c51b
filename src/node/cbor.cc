#include "node/cbor.h"

#include "core/json_observer.h"

namespace fireflyslip {
namespace {

using nlohmann::json;

/// Levels of arrays and maps; the parser is recursive.
constexpr int kMaxNestingDepth = 16;

/// \brief Stops at input whose nesting would exhaust the stack, or that
/// declares more elements than it has bytes: for these, the parser throws even
/// if exceptions are not allowed.
class bounds_checker : public nesting_checker {
 public:
  explicit bounds_checker(std::size_t input_bytes)
      : nesting_checker(kMaxNestingDepth), input_bytes_(input_bytes) {}

  bool start_object(std::size_t elements) override {
    return IsPossible(elements) && nesting_checker::start_object(elements);
  }
  bool start_array(std::size_t elements) override {
    return IsPossible(elements) && nesting_checker::start_array(elements);
  }

 private:
  bool IsPossible(std::size_t elements) const {
    constexpr auto kUnknown = static_cast<std::size_t>(-1);
    return elements == kUnknown || elements <= input_bytes_;
  }

  std::size_t input_bytes_;
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
