#ifndef FIREFLYSLIP_CONTRACT_JSON_READER_H_
#define FIREFLYSLIP_CONTRACT_JSON_READER_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/contract/finding.h"

namespace fireflyslip::internal {

/// \brief Largest number accepted in a document; keeps sums and conversions
/// exact.
inline constexpr double kMaxNumber = 1e12;

/// \brief Interval of accepted numbers; each bound is inclusive or exclusive.
struct number_range {
  double low = 0;
  bool low_included = false;
  double high = kMaxNumber;
  bool high_included = true;
};

/// \brief Parses JSON; reports syntax errors and duplicate fields.
std::optional<nlohmann::json> ParseDocument(std::string_view json,
                                            std::vector<finding>& findings);

/// \brief JSON path of a field of the object at `path`.
std::string ChildPath(const std::string& path, std::string_view name);

/// \brief Whether the text has 1 to 128 of the characters `A-Za-z0-9._-`.
///
/// Names become parts of object keys and URLs, so a slash is not allowed.
bool IsName(std::string_view text);

/// \brief Reads the fields of one JSON object and collects the findings.
///
/// An absent or invalid field yields no value. `ReportUnknownFields()`
/// reports the fields that were not read.
class object_reader {
 public:
  object_reader(const nlohmann::json& value,
                std::string path,
                std::vector<finding>& findings);

  const std::string& path() const { return path_; }
  bool Has(std::string_view name) const;
  std::vector<std::string> Names() const;

  /// \brief Returns the value of a field, or null; reports a missing required
  /// field.
  const nlohmann::json* Field(std::string_view name, bool required);

  std::optional<double> Number(std::string_view name,
                               bool required,
                               number_range range);
  std::optional<std::uint32_t> Integer(
      std::string_view name,
      bool required,
      std::uint32_t low,
      std::uint32_t high = std::numeric_limits<std::uint32_t>::max());
  std::optional<bool> Boolean(std::string_view name, bool required);
  std::optional<std::string> Text(std::string_view name, bool required);
  std::optional<std::string> Name(std::string_view name, bool required);

  /// \brief Returns a reader for a field that is an object.
  std::optional<object_reader> Object(std::string_view name, bool required);

  void Report(finding_kind kind, std::string_view name, std::string reason);

  /// \brief Reports all fields that were not read.
  void ReportUnknownFields();

 private:
  const nlohmann::json* value_;
  std::string path_;
  std::vector<finding>* findings_;
  std::set<std::string, std::less<>> read_;
};

}  // namespace fireflyslip::internal

#endif  // FIREFLYSLIP_CONTRACT_JSON_READER_H_
