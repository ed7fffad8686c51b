#include "program/timeline_command.h"

#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "program/operator_client.h"

namespace fireflyslip {
namespace {

struct timeline_options {
  std::string platform;
  std::string request;
  std::string workspace;
  std::string vm;
  std::string kind;
  bool json = false;
};

// Fills in the filter; returns false after a message if an option is invalid.
bool MakeFilter(const timeline_options& options, event_filter& filter) {
  if (!options.request.empty()) {
    filter.request = ParseRequestId(options.request);
    if (!filter.request) {
      std::cerr << "--request must be VM.INCARNATION.SEQUENCE\n";
      return false;
    }
  }
  if (!options.kind.empty()) {
    filter.kind = ParseEventKind(options.kind);
    if (!filter.kind) {
      std::cerr << "--kind does not name a kind of event\n";
      return false;
    }
  }
  if (!options.workspace.empty()) {
    filter.workspace = workspace_id(options.workspace);
  }
  if (!options.vm.empty()) {
    filter.vm = vm_id(options.vm);
  }
  return true;
}

int PrintTimeline(const timeline_options& options) {
  const auto platform = ParseHttpEndpoint(options.platform);
  event_filter filter;
  if (!platform) {
    std::cerr << "--platform must be IP:PORT\n";
    return kExitInvalid;
  }
  if (!MakeFilter(options, filter)) {
    return kExitInvalid;
  }
  operator_client client(*platform);
  const result<fleet_members> members = client.ListMembers();
  if (!IsOk(members)) {
    return ReportFailure(ErrorOf(members));
  }
  bool all_reached = true;
  std::vector<std::vector<event_record>> timelines;
  for (auto& [vm, answer] : client.ReadEvents(ValueOf(members))) {
    if (IsOk(answer)) {
      timelines.push_back(ValueOf(answer));
    } else {
      std::cerr << vm.value() << ": out of reach: " << ErrorOf(answer).detail
                << "\n";
      all_reached = false;
    }
  }
  std::vector<event_record> records = MergeTimelines(timelines, filter);
  if (options.json) {
    const event_page page{records.size(), 0, std::move(records)};
    std::cout << nlohmann::json::parse(ToJson(page))["records"].dump(2) << "\n";
  } else {
    for (const event_record& record : records) {
      std::cout << ToLine(record) << "\n";
    }
  }
  return all_reached ? kExitOk : kExitFailed;
}

}  // namespace

void AddTimelineCommand(CLI::App& app, int& exit_code) {
  auto options = std::make_shared<timeline_options>();
  CLI::App* command = app.add_subcommand(
      "timeline", "Print the events of all processes in one order");
  command
      ->add_option("--platform", options->platform, "IP:PORT of the platform")
      ->required();
  command->add_option("--request", options->request,
                      "Only this request, VM.INCARNATION.SEQUENCE");
  command->add_option("--workspace", options->workspace, "Only this workspace");
  command->add_option("--vm", options->vm, "Only this VM");
  command->add_option("--kind", options->kind, "Only this kind of event");
  command->add_flag("--json", options->json, "Print a JSON list");
  command->footer(
      "Exit code: 0 complete, 1 some processes are out of reach, 2 invalid "
      "option, 4 platform out of reach.\n"
      "Example: fireflyslip timeline --platform 127.0.0.1:7000 "
      "--kind link_closed");
  command->callback(
      [options, &exit_code] { exit_code = PrintTimeline(*options); });
}

}  // namespace fireflyslip
