#include "program/get_command.h"

#include <iostream>
#include <memory>
#include <string>

#include "program/operator_client.h"

namespace fireflyslip {
namespace {

int GetConfiguration(const std::string& address) {
  const auto platform = ParseHttpEndpoint(address);
  if (!platform) {
    std::cerr << "--platform must be IP:PORT\n";
    return kExitInvalid;
  }
  operator_client client(*platform);
  const auto read = client.ReadConfiguration();
  if (!IsOk(read)) {
    return ReportFailure(ErrorOf(read));
  }
  const std::optional<platform_object>& object = ValueOf(read);
  if (!object) {
    std::cerr << "there is no configuration\n";
    return kExitFailed;
  }
  std::cerr << "revision " << object->version << "\n";
  std::cout << object->body << "\n";
  return kExitOk;
}

}  // namespace

void AddGetCommand(CLI::App& app, int& exit_code) {
  auto platform = std::make_shared<std::string>();
  CLI::App* command = app.add_subcommand(
      "get", "Print the configuration; its revision goes to standard error");
  command->add_option("--platform", *platform, "IP:PORT of the platform")
      ->required();
  command->footer(
      "Exit code: 0 printed, 1 no configuration, 4 platform out of reach.\n"
      "Example: fireflyslip get --platform 127.0.0.1:7000 >fleet.json");
  command->callback(
      [platform, &exit_code] { exit_code = GetConfiguration(*platform); });
}

}  // namespace fireflyslip
