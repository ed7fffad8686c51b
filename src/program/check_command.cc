#include "program/check_command.h"

#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "fireflyslip/contract.h"
#include "program/operator_client.h"

namespace fireflyslip {
namespace {

using check_function = std::function<std::vector<finding>(const std::string&)>;

bool CheckFile(const std::string& file, const check_function& check) {
  const std::optional<std::string> text = ReadFile(file);
  if (!text) {
    std::cerr << file << ": cannot be read\n";
    return false;
  }
  const std::vector<finding> findings = check(*text);
  for (const finding& problem : findings) {
    std::cout << file << ": " << problem.path << ": " << problem.reason << "\n";
  }
  return findings.empty();
}

struct check_options {
  std::vector<std::string> settings;
  std::vector<std::string> configurations;
};

int Check(const check_options& options) {
  if (options.settings.empty() && options.configurations.empty()) {
    std::cerr << "give --settings or --configuration\n";
    return kExitInvalid;
  }
  bool valid = true;
  for (const std::string& file : options.settings) {
    valid &= CheckFile(
        file, [](const std::string& text) { return CheckSettings(text); });
  }
  for (const std::string& file : options.configurations) {
    valid &= CheckFile(
        file, [](const std::string& text) { return CheckConfiguration(text); });
  }
  return valid ? kExitOk : kExitInvalid;
}

}  // namespace

void AddCheckCommand(CLI::App& app, int& exit_code) {
  auto options = std::make_shared<check_options>();
  CLI::App* command = app.add_subcommand(
      "check", "Validate settings and configuration; print each fault");
  command->add_option("--settings", options->settings, "Settings files (JSON)");
  command->add_option("--configuration", options->configurations,
                      "Configuration files (JSON)");
  command->footer(
      "Exit code: 0 valid, 2 faults.\n"
      "Example: fireflyslip check --settings entry.json "
      "--configuration fleet.json");
  command->callback([options, &exit_code] { exit_code = Check(*options); });
}

}  // namespace fireflyslip
