#ifndef TESTS_NODE_ODD_ENTRIES_H_
#define TESTS_NODE_ODD_ENTRIES_H_

#include <string>
#include <utility>
#include <vector>

namespace fireflyslip {

/// \brief Spec of an object that another writer left among the upstreams.
struct odd_entry {
  std::string description;
  std::string spec;  // text as the store sends it
};

/// \brief Spec of a usable upstream in which the text of one field is replaced;
/// a field that is not part of it is added.
inline std::string UpstreamSpec(const std::string& field = "",
                                const std::string& value = "") {
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"service", R"("singer")"},
      {"address", R"("127.0.0.1:82")"},
      {"zone", R"("akl")"},
      {"version", R"("1")"},
      {"slots", "8"},
      {"state", R"("ready")"},
      {"coldRemainingMs", "0"},
      {"sequence", "1"},
      {"born", "1764000000000"},
      {"modelList", R"([{"name":"m","version":1}])"}};
  std::string text;
  bool replaced = field.empty();
  for (const auto& [name, usual] : fields) {
    text += (text.empty() ? "{\"" : ",\"") + name + "\":";
    text += name == field ? value : usual;
    replaced |= name == field;
  }
  if (!replaced) {
    text += ",\"" + field + "\":" + value;
  }
  return text + "}";
}

inline std::string NestedArrays(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

inline std::string NestedObjects(std::size_t levels) {
  std::string text;
  for (std::size_t i = 0; i < levels; ++i) {
    text += R"({"a":)";
  }
  return text + "1" + std::string(levels, '}');
}

/// \brief Entries that cannot be read.
inline std::vector<odd_entry> UnreadableEntries() {
  std::vector<odd_entry> entries;
  for (const char* field :
       {"slots", "sequence", "born", "coldRemainingMs", "other"}) {
    for (const char* number : {"1e400", "-1e400", "1e99999999999", "NaN"}) {
      entries.push_back(
          {std::string(field) + " " + number, UpstreamSpec(field, number)});
    }
  }
  entries.push_back(
      {"version of a model",
       UpstreamSpec("modelList", R"([{"name":"m","version":1e400}])")});
  entries.push_back({"lone surrogate", UpstreamSpec("zone", R"("\ud800")")});
  entries.push_back({"lone surrogate in a name", R"({"\udc00":1})"});
  return entries;
}

/// \brief Entries that are nested so deeply that recursion over them exhausts
/// the stack. An object of the store may have 1 MB.
inline std::vector<odd_entry> DeepEntries() {
  constexpr std::size_t kObjectLevels = 100'000;
  constexpr std::size_t kArrayLevels = 400'000;
  std::vector<odd_entry> entries;
  for (const char* field : {"other", "address", "slots", "modelList"}) {
    entries.push_back({std::string(field) + " with nested arrays",
                       UpstreamSpec(field, NestedArrays(kArrayLevels))});
    entries.push_back({std::string(field) + " with nested objects",
                       UpstreamSpec(field, NestedObjects(kObjectLevels))});
  }
  entries.push_back({"nested arrays only", NestedArrays(kArrayLevels)});
  entries.push_back({"nested objects only", NestedObjects(kObjectLevels)});
  return entries;
}

/// \brief Array of small objects.
inline std::string TableRows(std::size_t bytes) {
  std::string text = "[";
  for (std::size_t i = 0; text.size() < bytes; ++i) {
    text += (i > 0 ? "," : "") + (R"({"h":)" + std::to_string(i % 100)) + "}";
  }
  return text + "]";
}

/// \brief Entries about as long as an object of the store may be, which are no
/// upstreams, or state more than is read of one.
inline std::vector<odd_entry> LargeEntries() {
  constexpr std::size_t kBytes = 1'000'000;
  std::string members;
  for (std::size_t i = 0; members.size() < kBytes; ++i) {
    members += (i > 0 ? ",\"" : "{\"") + std::to_string(i) + "\":{}";
  }
  return {
      {"table of small rows", R"({"table":)" + TableRows(kBytes) + "}"},
      {"rows only", TableRows(kBytes)},
      {"many members", members + "}"},
      {"many models", UpstreamSpec("modelList", TableRows(kBytes))},
      {"long name", UpstreamSpec("zone", '"' + std::string(kBytes, 'z') + '"')},
      {"address of rows", UpstreamSpec("address", TableRows(kBytes))}};
}

}  // namespace fireflyslip

#endif  // TESTS_NODE_ODD_ENTRIES_H_
