#include "program/status_command.h"

#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "program/operator_client.h"

namespace fireflyslip {
namespace {

struct status_options {
  std::string platform;
  bool json = false;
};

int PrintStatus(const status_options& options) {
  const auto platform = ParseHttpEndpoint(options.platform);
  if (!platform) {
    std::cerr << "--platform must be IP:PORT\n";
    return kExitInvalid;
  }
  operator_client client(*platform);
  const result<fleet_members> members = client.ListMembers();
  if (!IsOk(members)) {
    return ReportFailure(ErrorOf(members));
  }
  bool all_reached = true;
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [vm, answer] :
       client.GetFromAll(ValueOf(members), "/status")) {
    const fleet_member& member = ValueOf(members).at(vm);
    nlohmann::json state =
        IsOk(answer) ? nlohmann::json::parse(ValueOf(answer), nullptr, false)
                     : nlohmann::json();
    const bool reached = state.is_object();
    if (!reached) {
      state = {{"vm", vm.value()},
               {"data_centre", member.data_centre.value()},
               {"role", ToString(member.role)}};
    }
    state["reached"] = reached;
    state["listed_as_leaving"] = member.leaving;
    all_reached = all_reached && reached;
    list.push_back(std::move(state));
  }
  if (options.json) {
    std::cout << list.dump(2) << "\n";
  } else {
    for (const nlohmann::json& state : list) {
      for (const auto& [name, value] : state.items()) {
        std::cout << name << "="
                  << (value.is_string() ? value.get<std::string>()
                                        : value.dump())
                  << " ";
      }
      std::cout << "\n";
    }
  }
  return all_reached ? kExitOk : kExitFailed;
}

}  // namespace

void AddStatusCommand(CLI::App& app, int& exit_code) {
  auto options = std::make_shared<status_options>();
  CLI::App* command =
      app.add_subcommand("status", "Print the state of each process");
  command
      ->add_option("--platform", options->platform, "IP:PORT of the platform")
      ->required();
  command->add_flag("--json", options->json, "Print a JSON list");
  command->footer(
      "Exit code: 0 all processes answered, 1 some are out of reach, "
      "4 platform out of reach.\n"
      "Example: fireflyslip status --platform 127.0.0.1:7000 --json");
  command->callback(
      [options, &exit_code] { exit_code = PrintStatus(*options); });
}

}  // namespace fireflyslip
