#ifndef FIREFLYSLIP_NODE_ARRAY_READER_H_
#define FIREFLYSLIP_NODE_ARRAY_READER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Reads the elements of an array in order; every getter fails for good
/// once an element is missing or of another type.
class array_reader {
 public:
  explicit array_reader(const nlohmann::json& list) : list_(list) {
    ok_ = list.is_array();
  }

  bool ok() const { return ok_; }
  bool AtEnd() const { return !ok_ || next_ >= list_.size(); }

  const nlohmann::json& Next() {
    static const nlohmann::json null;
    if (AtEnd()) {
      ok_ = false;
      return null;
    }
    return list_[next_++];
  }
  std::uint64_t Unsigned() {
    const nlohmann::json& item = Next();
    ok_ &= item.is_number_unsigned();
    return ok_ ? item.get<std::uint64_t>() : 0;
  }
  duration Duration() {
    const nlohmann::json& item = Next();
    ok_ &= item.is_number_integer();
    return duration(ok_ ? item.get<std::int64_t>() : 0);
  }
  /// \brief An element that older processes do not send; 0 if it is missing.
  std::uint64_t OptionalUnsigned() { return AtEnd() ? 0 : Unsigned(); }
  bool Bool() {
    const nlohmann::json& item = Next();
    ok_ &= item.is_boolean();
    return ok_ && item.get<bool>();
  }
  std::string Text() {
    const nlohmann::json& item = Next();
    ok_ &= item.is_string();
    return ok_ ? item.get<std::string>() : std::string();
  }
  std::map<model_name, std::uint64_t> Versions() {
    std::map<model_name, std::uint64_t> versions;
    array_reader list(Next());
    while (!list.AtEnd()) {
      model_name model(list.Text());
      versions[std::move(model)] = list.Unsigned();
    }
    ok_ &= list.ok();
    return versions;
  }

 private:
  const nlohmann::json& list_;
  std::size_t next_ = 0;
  bool ok_ = false;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_NODE_ARRAY_READER_H_
