#include "fireflyslip/link/codec.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <type_traits>
#include <utility>
#include <vector>

#include "link/message_fields.h"

namespace fireflyslip {
namespace {

using json = nlohmann::json;

constexpr char kTypeField[] = "t";
constexpr char kPhysicalField[] = "p";
constexpr char kCounterField[] = "c";

/// \brief Writes the fields of a message to a CBOR map.
class field_writer {
 public:
  explicit field_writer(json& map) : map_(map) {}

  template <typename Tag>
  void operator()(const char* name, const text_id<Tag>& value) {
    map_[name] = value.value();
  }
  void operator()(const char* name, const attempt_id& value) {
    map_[name] =
        json::array({value.request.vm.value(), value.request.incarnation,
                     value.request.sequence, value.number});
  }
  template <typename T>
  void operator()(const char* name, const T& value) {
    if constexpr (std::is_enum_v<T>) {
      map_[name] = static_cast<int>(value);
    } else {
      map_[name] = value;
    }
  }

 private:
  json& map_;
};

/// \brief Number of enumerators, used to validate decoded values.
template <typename Enum>
constexpr int kEnumSize = 0;
template <>
constexpr int kEnumSize<request_rank> = static_cast<int>(kRankCount);
template <>
constexpr int kEnumSize<error_kind> =
    static_cast<int>(error_kind::kInternalError) + 1;
template <>
constexpr int kEnumSize<outcome> = static_cast<int>(outcome::kCompleted) + 1;
template <>
constexpr int kEnumSize<attempt_fate> =
    static_cast<int>(attempt_fate::kCompleted) + 1;

/// \brief Reads the fields of a message; records the first invalid one.
class field_reader {
 public:
  explicit field_reader(const json& map) : map_(map) {}

  const std::optional<std::string>& invalid_field() const {
    return invalid_field_;
  }

  template <typename Tag>
  void operator()(const char* name, text_id<Tag>& value) {
    std::string text;
    (*this)(name, text);
    value = text_id<Tag>(std::move(text));
  }

  void operator()(const char* name, std::string& value) {
    const json* field = Find(name);
    if (field != nullptr && field->is_string()) {
      value = field->get_ref<const std::string&>();
    } else {
      Fail(name);
    }
  }

  void operator()(const char* name, std::vector<std::string>& value) {
    const json* field = Find(name);
    const auto is_text = [](const json& entry) { return entry.is_string(); };
    if (field == nullptr || !field->is_array() ||
        !std::all_of(field->begin(), field->end(), is_text)) {
      Fail(name);
      return;
    }
    value = field->get<std::vector<std::string>>();
  }

  void operator()(const char* name, attempt_id& value) {
    const json* field = Find(name);
    if (field == nullptr || !field->is_array() || field->size() != 4 ||
        !(*field)[0].is_string() || !(*field)[1].is_number_unsigned() ||
        !(*field)[2].is_number_unsigned() ||
        !(*field)[3].is_number_unsigned()) {
      Fail(name);
      return;
    }
    value.request.vm = vm_id((*field)[0].get<std::string>());
    value.request.incarnation = (*field)[1].get<incarnation_number>();
    value.request.sequence = (*field)[2].get<std::uint64_t>();
    value.number = (*field)[3].get<std::uint32_t>();
  }

  void operator()(const char* name, bool& value) {
    const json* field = Find(name);
    if (field != nullptr && field->is_boolean()) {
      value = field->get<bool>();
    } else {
      Fail(name);
    }
  }

  void operator()(const char* name, double& value) {
    const json* field = Find(name);
    if (field != nullptr && field->is_number()) {
      value = field->get<double>();
    } else {
      Fail(name);
    }
  }

  void operator()(const char* name, std::uint64_t& value) {
    const json* field = Find(name);
    if (field != nullptr && field->is_number_unsigned()) {
      value = field->get<std::uint64_t>();
    } else {
      Fail(name);
    }
  }

  void operator()(const char* name, int& value) {
    std::uint64_t number = 0;
    (*this)(name, number);
    if (number > std::numeric_limits<int>::max()) {
      Fail(name);
      return;
    }
    value = static_cast<int>(number);
  }

  template <typename Enum>
  requires std::is_enum_v<Enum>
  void operator()(const char* name, Enum& value) {
    int number = 0;
    (*this)(name, number);
    if (number >= kEnumSize<Enum>) {
      Fail(name);
      return;
    }
    value = static_cast<Enum>(number);
  }

 private:
  const json* Find(const char* name) const {
    const auto found = map_.find(name);
    return found == map_.end() ? nullptr : &*found;
  }

  void Fail(const char* name) {
    if (!invalid_field_) {
      invalid_field_ = name;
    }
  }

  const json& map_;
  std::optional<std::string> invalid_field_;
};

error ProtocolError(std::string detail) {
  return {error_kind::kProtocolError, std::move(detail)};
}

template <typename Message>
result<link_message> ReadMessage(const json& map) {
  Message message;
  field_reader reader(map);
  internal::VisitFields(message, reader);
  if (reader.invalid_field()) {
    return ProtocolError(std::string(internal::message_name<Message>::kValue) +
                         ": missing or mistyped field " +
                         *reader.invalid_field());
  }
  return link_message(std::move(message));
}

template <std::size_t Index = 0>
result<link_message> ReadMessageOfType(const std::string& type,
                                       const json& map) {
  if constexpr (Index == std::variant_size_v<link_message>) {
    return ProtocolError("unknown message type");
  } else {
    using message = std::variant_alternative_t<Index, link_message>;
    if (type == internal::message_name<message>::kValue) {
      return ReadMessage<message>(map);
    }
    return ReadMessageOfType<Index + 1>(type, map);
  }
}

}  // namespace

std::string EncodeEnvelope(const link_envelope& envelope) {
  json map = json::object();
  map[kPhysicalField] = envelope.physical_ms;
  map[kCounterField] = envelope.counter;
  std::visit(
      [&map](const auto& message) {
        using type = std::decay_t<decltype(message)>;
        map[kTypeField] = internal::message_name<type>::kValue;
        internal::VisitFields(message, field_writer(map));
      },
      envelope.message);
  std::string bytes;
  json::to_cbor(map, bytes);
  return bytes;
}

result<link_envelope> DecodeEnvelope(std::string_view bytes) {
  constexpr bool kStrict = true;
  constexpr bool kAllowExceptions = false;
  const json map = json::from_cbor(bytes, kStrict, kAllowExceptions);
  if (!map.is_object()) {
    return ProtocolError("message is not a CBOR map");
  }
  std::string type;
  link_envelope envelope;
  field_reader reader(map);
  reader(kTypeField, type);
  reader(kPhysicalField, envelope.physical_ms);
  reader(kCounterField, envelope.counter);
  if (reader.invalid_field()) {
    return ProtocolError("missing or mistyped field " +
                         *reader.invalid_field());
  }
  result<link_message> message = ReadMessageOfType(type, map);
  if (!IsOk(message)) {
    return ErrorOf(message);
  }
  envelope.message = ValueOf(std::move(message));
  return envelope;
}

}  // namespace fireflyslip
