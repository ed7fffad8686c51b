#include "program/fleet_snapshot.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace fireflyslip {
namespace {

std::string StringField(const nlohmann::json& entry, const char* name) {
  const auto found = entry.find(name);
  return found != entry.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

std::optional<fleet_member> ParseMember(const nlohmann::json& entry) {
  if (!entry.is_object()) {
    return std::nullopt;
  }
  fleet_member member;
  member.vm = vm_id(StringField(entry, "vm"));
  member.data_centre = data_centre_id(StringField(entry, "data_centre"));
  member.region = region_id(StringField(entry, "region"));
  member.leaving = StringField(entry, "state") == "leaving";
  const std::string role = StringField(entry, "role");
  const auto link = ParseHttpEndpoint(StringField(entry, "link"));
  const auto admin = ParseHttpEndpoint(StringField(entry, "admin"));
  if (member.vm.empty() || !link || !admin ||
      (role != "entry" && role != "agent")) {
    return std::nullopt;
  }
  member.role = role == "entry" ? process_role::kEntry : process_role::kAgent;
  member.link = *link;
  member.admin = *admin;
  return member;
}

}  // namespace

result<fleet_members> ParseVmList(std::string_view json) {
  const auto list = nlohmann::json::parse(json, nullptr, false);
  if (!list.is_array()) {
    return error{error_kind::kProtocolError, "the VM list is not a JSON array"};
  }
  fleet_members members;
  for (const nlohmann::json& entry : list) {
    if (std::optional<fleet_member> member = ParseMember(entry)) {
      members.emplace(member->vm, *member);
    }
  }
  return members;
}

}  // namespace fireflyslip
