#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include "fireflyslip/contract.h"
#include "fireflyslip/runtime.h"
#include "gateway/gateway_daemon.h"
#include "node/node_settings.h"
#include "platform/wire_names.h"
#include "program/apply_command.h"
#include "program/check_command.h"
#include "program/daemon.h"
#include "program/get_command.h"
#include "program/operator_client.h"
#include "program/status_command.h"
#include "program/timeline_command.h"
#include "stager/stager_daemon.h"

namespace fireflyslip {
namespace {

/// \brief Reads the settings of a role. Writes each fault to standard error.
std::optional<process_settings> ReadSettings(const std::string& file,
                                             process_role role) {
  const std::optional<std::string> text = ReadFile(file);
  if (!text) {
    std::cerr << "cannot read " << file << "\n";
    return std::nullopt;
  }
  const std::vector<finding> findings = CheckSettings(*text, role);
  for (const finding& problem : findings) {
    std::cerr << file << ": " << problem.path << ": " << problem.reason << "\n";
  }
  result<process_settings> settings = ParseSettings(*text, role);
  if (!IsOk(settings)) {
    return std::nullopt;
  }
  return ValueOf(std::move(settings));
}

int RunDaemon(const std::string& file, process_role role) {
  std::optional<process_settings> settings = ReadSettings(file, role);
  if (!settings) {
    return kExitInvalid;
  }
  StartLogging();
  return role == process_role::kEntry ? RunEntry(*std::move(settings))
                                      : RunAgent(*std::move(settings));
}

/// \brief Runs a gateway or a stager. If `file` is empty, the settings file is
/// named by the environment variable of the platform.
int RunNode(std::string file, node_role role) {
  if (file.empty()) {
    const char* variable = std::getenv(platform::kSettingsVariable);
    file = variable == nullptr ? "" : variable;
  }
  const std::optional<std::string> text = ReadFile(file);
  if (!text) {
    std::cerr << "cannot read settings file '" << file << "'\n";
    return kExitInvalid;
  }
  std::vector<finding> findings;
  const result<node_settings> settings =
      ParseNodeSettings(*text, role, findings);
  for (const finding& problem : findings) {
    std::cerr << file << ": " << problem.path << ": " << problem.reason << "\n";
  }
  if (!IsOk(settings)) {
    return kExitInvalid;
  }
  StartLogging();
  return role == node_role::kGateway ? RunGateway(ValueOf(settings))
                                     : RunStager(ValueOf(settings));
}

int Main(int argc, char** argv) {
  CLI::App app("Weight distribution and request routing for model VMs",
               "fireflyslip");
  app.set_version_flag("--version", "0.1.0");
  app.require_subcommand(1);

  std::string settings_file;
  CLI::App* entry = app.add_subcommand("entry", "Run an entry");
  entry->add_option("--settings", settings_file, "Settings file (JSON)")
      ->required();
  CLI::App* agent = app.add_subcommand("agent", "Run an agent");
  agent->add_option("--settings", settings_file, "Settings file (JSON)")
      ->required();

  std::string node_file;
  CLI::App* gateway = app.add_subcommand(
      "gateway", "Run an entry on the platform, without agents between");
  gateway->add_option("--settings", node_file, "Settings file (JSON)");
  CLI::App* stager = app.add_subcommand(
      "stager", "Run the agent beside a model replica on the platform");
  stager->add_option("--settings", node_file, "Settings file (JSON)");

  int exit_code = 0;
  AddCheckCommand(app, exit_code);
  AddApplyCommand(app, exit_code);
  AddGetCommand(app, exit_code);
  AddStatusCommand(app, exit_code);
  AddTimelineCommand(app, exit_code);

  CLI11_PARSE(app, argc, argv);
  if (entry->parsed()) {
    return RunDaemon(settings_file, process_role::kEntry);
  }
  if (agent->parsed()) {
    return RunDaemon(settings_file, process_role::kAgent);
  }
  if (gateway->parsed()) {
    return RunNode(node_file, node_role::kGateway);
  }
  if (stager->parsed()) {
    return RunNode(node_file, node_role::kStager);
  }
  return exit_code;
}

}  // namespace
}  // namespace fireflyslip

int main(int argc, char** argv) {
  return fireflyslip::Main(argc, argv);
}
