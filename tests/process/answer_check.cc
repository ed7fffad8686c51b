#include "process/answer_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "standins/engine_standin.h"

namespace fireflyslip::testing {
namespace {

using nlohmann::json;

constexpr char kEndOfStream[] = "[DONE]";
constexpr char kErrorEvent[] = "event: error\n";

struct parsed_answer {
  std::string text;
  std::set<std::string> versions;
  bool is_ended = false;
};

std::vector<std::string> ParseEvents(const std::string& body) {
  constexpr std::string_view kPrefix = "data: ";
  std::vector<std::string> events;
  std::size_t begin = 0;
  while ((begin = body.find(kPrefix, begin)) != std::string::npos) {
    begin += kPrefix.size();
    const std::size_t end = body.find("\n\n", begin);
    if (end == std::string::npos) {
      break;
    }
    events.push_back(body.substr(begin, end - begin));
    begin = end;
  }
  return events;
}

void AddPart(const json& part, const char* field, parsed_answer& parsed) {
  if (!part.is_object()) {
    return;
  }
  parsed.versions.insert(part.value("system_fingerprint", ""));
  const json::json_pointer content("/choices/0/" + std::string(field) +
                                   "/content");
  if (part.contains(content)) {
    parsed.text += part[content].get<std::string>();
  }
}

parsed_answer Parse(const http_answer& answer) {
  parsed_answer parsed;
  const json document = json::parse(answer.body, nullptr, false);
  if (!document.is_discarded()) {
    AddPart(document, "message", parsed);
    parsed.is_ended = true;
    return parsed;
  }
  for (const std::string& event : ParseEvents(answer.body)) {
    if (event == kEndOfStream) {
      parsed.is_ended = true;
    } else {
      AddPart(json::parse(event, nullptr, false), "delta", parsed);
    }
  }
  return parsed;
}

// Returns the end of a body, which shows how an answer failed.
std::string EndOf(const std::string& body) {
  constexpr std::size_t kShownBytes = 300;
  return body.substr(body.size() - std::min(body.size(), kShownBytes));
}

}  // namespace

std::string FindFault(const http_answer& answer,
                      const std::string& prompt,
                      int tokens) {
  if (answer.status != 200) {
    return "status " + std::to_string(answer.status) + ": " +
           EndOf(answer.body);
  }
  const parsed_answer parsed = Parse(answer);
  if (!answer.is_complete || !parsed.is_ended) {
    return "not ended: " + EndOf(answer.body);
  }
  std::string expected;
  for (int i = 0; i < tokens; ++i) {
    expected += standins::engine_standin::Token(prompt + "\n", i);
  }
  if (parsed.text != expected) {
    return "wrong text: " + EndOf(parsed.text);
  }
  return parsed.versions.size() == 1 ? ""
                                     : "mixed versions: " + EndOf(answer.body);
}

bool IsClearError(const http_answer& answer) {
  if (answer.status != 200) {
    return answer.body.find("\"error_kind\"") != std::string::npos;
  }
  return answer.body.find(kErrorEvent) != std::string::npos &&
         !Parse(answer).is_ended;
}

std::string VersionOf(const http_answer& answer) {
  const parsed_answer parsed = Parse(answer);
  return parsed.versions.empty() ? "" : *parsed.versions.begin();
}

}  // namespace fireflyslip::testing
