#include "contract/json_reader.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

#include "core/json_observer.h"

namespace fireflyslip::internal {
namespace {

using enum finding_kind;
using nlohmann::json;

// The platform stores values of up to 1 MB.
constexpr std::size_t kMaxDocumentBytes = 1U << 20;
// The formats nest five levels; the limit bounds the cost of malicious input.
constexpr int kMaxNestingDepth = 16;
constexpr std::size_t kMaxNameLength = 128;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

std::string Format(double value) {
  return json(value).dump();
}

/// \brief Collects the names that an object has twice.
class name_checker : public nesting_checker {
 public:
  name_checker() : nesting_checker(kMaxNestingDepth) {}

  const std::vector<std::string>& duplicates() const { return duplicates_; }

  bool start_object(std::size_t elements) override {
    names_.emplace_back();
    return nesting_checker::start_object(elements);
  }
  bool end_object() override {
    names_.pop_back();
    return nesting_checker::end_object();
  }
  bool key(string_t& name) override {
    if (!names_.back().insert(name).second) {
      duplicates_.push_back(name);
    }
    return true;
  }

 private:
  std::vector<std::set<std::string>> names_;  // of each enclosing object
  std::vector<std::string> duplicates_;
};

}  // namespace

std::optional<json> ParseDocument(std::string_view text,
                                  std::vector<finding>& findings) {
  if (text.size() > kMaxDocumentBytes) {
    findings.push_back({kSyntax, "$", "larger than 1 MB"});
    return std::nullopt;
  }
  name_checker names;
  const bool valid = json::sax_parse(text, &names);
  if (names.too_deep()) {
    findings.push_back({kSyntax, "$", "nested too deeply"});
    return std::nullopt;
  }
  if (!valid) {
    findings.push_back({kSyntax, "$", "not valid JSON"});
    return std::nullopt;
  }
  for (const std::string& name : names.duplicates()) {
    findings.push_back({kSyntax, "$", "duplicate field \"" + name + "\""});
  }
  json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object()) {
    findings.push_back({kWrongType, "$", "must be an object"});
    return std::nullopt;
  }
  return document;
}

std::string ChildPath(const std::string& path, std::string_view name) {
  const bool plain =
      !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
        return IsNameCharacter(c) && c != '.';
      });
  if (plain) {
    return path + "." + std::string(name);
  }
  return path + "[" +
         json(name).dump(-1, ' ', true, json::error_handler_t::replace) + "]";
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength && text != "." &&
         text != ".." && std::all_of(text.begin(), text.end(), IsNameCharacter);
}

object_reader::object_reader(const json& value,
                             std::string path,
                             std::vector<finding>& findings)
    : value_(&value), path_(std::move(path)), findings_(&findings) {}

bool object_reader::Has(std::string_view name) const {
  return value_->contains(name);
}

std::vector<std::string> object_reader::Names() const {
  std::vector<std::string> names;
  for (const auto& item : value_->items()) {
    names.push_back(item.key());
  }
  return names;
}

const json* object_reader::Field(std::string_view name, bool required) {
  read_.emplace(name);
  const auto found = value_->find(name);
  if (found == value_->end()) {
    if (required) {
      Report(kMissingField, name, "is missing");
    }
    return nullptr;
  }
  return &*found;
}

std::optional<double> object_reader::Number(std::string_view name,
                                            bool required,
                                            number_range range) {
  const json* field = Field(name, required);
  if (field == nullptr) {
    return std::nullopt;
  }
  if (!field->is_number()) {
    Report(kWrongType, name, "must be a number");
    return std::nullopt;
  }
  const auto number = field->get<double>();
  const bool above =
      range.low_included ? number >= range.low : number > range.low;
  const bool below =
      range.high_included ? number <= range.high : number < range.high;
  if (!std::isfinite(number) || !above || !below) {
    Report(kInvalidValue, name,
           std::string("must be ") +
               (range.low_included ? "at least " : "above ") +
               Format(range.low) + " and " +
               (range.high_included ? "at most " : "below ") +
               Format(range.high));
    return std::nullopt;
  }
  return number;
}

std::optional<std::uint32_t> object_reader::Integer(std::string_view name,
                                                    bool required,
                                                    std::uint32_t low,
                                                    std::uint32_t high) {
  const json* field = Field(name, required);
  if (field == nullptr) {
    return std::nullopt;
  }
  if (!field->is_number_integer()) {
    Report(kWrongType, name, "must be an integer");
    return std::nullopt;
  }
  // nlohmann::json stores only negative integers as signed.
  const bool in_range =
      field->is_number_unsigned()
          ? field->get<std::uint64_t>() >= low &&
                field->get<std::uint64_t>() <= high
          : field->get<std::int64_t>() >= static_cast<std::int64_t>(low) &&
                field->get<std::int64_t>() <= static_cast<std::int64_t>(high);
  if (!in_range) {
    Report(kInvalidValue, name,
           "must be an integer from " + std::to_string(low) + " to " +
               std::to_string(high));
    return std::nullopt;
  }
  return field->get<std::uint32_t>();
}

std::optional<bool> object_reader::Boolean(std::string_view name,
                                           bool required) {
  const json* field = Field(name, required);
  if (field == nullptr) {
    return std::nullopt;
  }
  if (!field->is_boolean()) {
    Report(kWrongType, name, "must be true or false");
    return std::nullopt;
  }
  return field->get<bool>();
}

std::optional<std::string> object_reader::Text(std::string_view name,
                                               bool required) {
  const json* field = Field(name, required);
  if (field == nullptr) {
    return std::nullopt;
  }
  if (!field->is_string()) {
    Report(kWrongType, name, "must be a string");
    return std::nullopt;
  }
  auto text = field->get<std::string>();
  if (text.empty()) {
    Report(kInvalidValue, name, "must not be empty");
    return std::nullopt;
  }
  return text;
}

std::optional<std::string> object_reader::Name(std::string_view name,
                                               bool required) {
  std::optional<std::string> text = Text(name, required);
  if (text.has_value() && !IsName(*text)) {
    Report(kInvalidValue, name,
           "must be a name of at most 128 letters, digits, '.', '_' or '-'");
    return std::nullopt;
  }
  return text;
}

std::optional<object_reader> object_reader::Object(std::string_view name,
                                                   bool required) {
  const json* field = Field(name, required);
  if (field == nullptr) {
    return std::nullopt;
  }
  if (!field->is_object()) {
    Report(kWrongType, name, "must be an object");
    return std::nullopt;
  }
  return object_reader(*field, ChildPath(path_, name), *findings_);
}

void object_reader::Report(finding_kind kind,
                           std::string_view name,
                           std::string reason) {
  findings_->push_back(
      {kind, name.empty() ? path_ : ChildPath(path_, name), std::move(reason)});
}

void object_reader::ReportUnknownFields() {
  for (const std::string& name : Names()) {
    if (!read_.contains(name)) {
      Report(kUnknownField, name, "is not a known field");
    }
  }
}

}  // namespace fireflyslip::internal
