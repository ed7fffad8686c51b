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

}  // namespace fireflyslip

#endif  // TESTS_NODE_ODD_ENTRIES_H_
