#include "program/apply_command.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>
#include <vector>

#include "fireflyslip/contract.h"

namespace fireflyslip {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPollInterval{500};
// Limits the reads that resolve an update with a lost response to some seconds;
// after them the outcome is reported as unknown.
constexpr int kMaxAttempts = 6;

struct apply_options {
  std::string platform;
  std::string file;
  std::optional<std::uint64_t> expected;
  std::uint32_t wait_seconds = 0;
  bool json = false;
};

// Returns a random id by which an update is recognised when it is read back.
std::string GenerateChangeId() {
  std::random_device random;
  std::array<char, 17> text{};
  std::string id;
  for (int i = 0; i < 2; ++i) {
    std::snprintf(text.data(), text.size(), "%08x%08x", random(), random());
    id += text.data();
  }
  return id;
}

std::string ChangeIdOf(const std::string& body) {
  const auto document = nlohmann::json::parse(body, nullptr, false);
  if (!document.is_object() || !document.contains("change_id") ||
      !document["change_id"].is_string()) {
    return "";
  }
  return document["change_id"].get<std::string>();
}

/// Members of one data centre by whether a revision is in force on them.
struct data_centre_state {
  std::uint32_t members = 0;
  std::uint32_t in_force = 0;
  std::vector<std::string> behind;
  std::vector<std::string> out_of_reach;
};

using fleet_state = std::map<std::string, data_centre_state>;

fleet_state ReadFleetState(operator_client& client,
                           const fleet_members& members,
                           std::uint64_t revision) {
  fleet_state state;
  for (const auto& [vm, answer] : client.GetFromAll(members, "/status")) {
    data_centre_state& centre = state[members.at(vm).data_centre.value()];
    ++centre.members;
    const auto document =
        IsOk(answer) ? nlohmann::json::parse(ValueOf(answer), nullptr, false)
                     : nlohmann::json();
    if (!document.is_object() || !document.contains("revision") ||
        !document["revision"].is_number_unsigned()) {
      centre.out_of_reach.push_back(vm.value());
    } else if (document["revision"].get<std::uint64_t>() < revision) {
      centre.behind.push_back(vm.value());
    } else {
      ++centre.in_force;
    }
  }
  return state;
}

bool IsInForce(const fleet_state& state) {
  return std::all_of(state.begin(), state.end(), [](const auto& item) {
    return item.second.in_force == item.second.members;
  });
}

std::string Join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

void PrintFleetState(const fleet_state& state) {
  for (const auto& [centre, state_of_centre] : state) {
    std::cout << centre << ": in force on " << state_of_centre.in_force
              << " of " << state_of_centre.members;
    if (!state_of_centre.behind.empty()) {
      std::cout << "; behind: " << Join(state_of_centre.behind);
    }
    if (!state_of_centre.out_of_reach.empty()) {
      std::cout << "; out of reach: " << Join(state_of_centre.out_of_reach);
    }
    std::cout << "\n";
  }
}

nlohmann::json ToJsonValue(const fleet_state& state) {
  nlohmann::json value = nlohmann::json::object();
  for (const auto& [centre, state_of_centre] : state) {
    value[centre] = {{"members", state_of_centre.members},
                     {"in_force", state_of_centre.in_force},
                     {"behind", state_of_centre.behind},
                     {"out_of_reach", state_of_centre.out_of_reach}};
  }
  return value;
}

// Polls until the revision is in force on all members or the wait time has
// passed.
result<fleet_state> WaitUntilInForce(operator_client& client,
                                     std::uint64_t revision,
                                     std::chrono::seconds wait) {
  const auto deadline = steady_clock::now() + wait;
  while (true) {
    const result<fleet_members> members = client.ListMembers();
    const bool timed_out = steady_clock::now() >= deadline;
    if (IsOk(members)) {
      fleet_state state = ReadFleetState(client, ValueOf(members), revision);
      if (timed_out || IsInForce(state)) {
        return state;
      }
    } else if (timed_out) {
      return ErrorOf(members);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

// Reads a configuration file and sets its change id. Prints the faults and
// returns nothing if the file is invalid.
std::optional<std::string> ReadUpdate(const std::string& file,
                                      const std::string& change_id) {
  const std::optional<std::string> text = ReadFile(file);
  if (!text) {
    std::cerr << file << ": cannot be read\n";
    return std::nullopt;
  }
  std::vector<finding> findings = CheckConfiguration(*text);
  std::erase_if(findings, [](const finding& problem) {
    return problem.path == "$.change_id";  // The change id is replaced below.
  });
  for (const finding& problem : findings) {
    std::cerr << file << ": " << problem.path << ": " << problem.reason << "\n";
  }
  auto document = nlohmann::json::parse(*text, nullptr, false);
  if (!findings.empty() || !document.is_object()) {
    return std::nullopt;
  }
  document["change_id"] = change_id;
  return document.dump();
}

int Apply(const apply_options& options) {
  const auto platform = ParseHttpEndpoint(options.platform);
  if (!platform) {
    std::cerr << "--platform must be IP:PORT\n";
    return kExitInvalid;
  }
  const std::string change_id = GenerateChangeId();
  const std::optional<std::string> body = ReadUpdate(options.file, change_id);
  if (!body) {
    return kExitInvalid;
  }
  operator_client client(*platform);
  auto written = WriteUpdate(client, *body, change_id, options.expected);
  if (!IsOk(written)) {
    return ReportFailure(ErrorOf(written));
  }
  const std::uint64_t revision = ValueOf(written);
  nlohmann::json report = {{"revision", revision}, {"change_id", change_id}};
  if (!options.json) {
    std::cout << "accepted as revision " << revision << "\n";
  }
  int exit_code = kExitOk;
  if (options.wait_seconds > 0) {
    const auto fleet = WaitUntilInForce(
        client, revision, std::chrono::seconds(options.wait_seconds));
    if (IsOk(fleet)) {
      report["data_centres"] = ToJsonValue(ValueOf(fleet));
      exit_code = IsInForce(ValueOf(fleet)) ? kExitOk : kExitNotInForce;
      if (!options.json) {
        PrintFleetState(ValueOf(fleet));
      }
    } else {
      // The update was accepted, so the exit code does not report a failure of
      // the update.
      ReportFailure(ErrorOf(fleet));
      exit_code = kExitNotInForce;
    }
  }
  if (options.json) {
    std::cout << report.dump(2) << "\n";
  }
  return exit_code;
}

}  // namespace

result<std::uint64_t> WriteUpdate(operator_client& client,
                                  const std::string& body,
                                  const std::string& change_id,
                                  std::optional<std::uint64_t> expected) {
  if (!expected) {
    const auto read = client.ReadConfiguration();
    if (!IsOk(read)) {
      return ErrorOf(read);
    }
    expected = ValueOf(read) ? ValueOf(read)->version : 0;
  }
  bool may_have_run = false;  // The response to an earlier write was lost.
  for (int i = 0; i < kMaxAttempts; ++i) {
    auto written = client.WriteConfiguration(*expected, body);
    if (IsOk(written)) {
      return written;
    }
    const error_kind kind = ErrorOf(written).kind;
    if (!may_have_run && kind != error_kind::kOutcomeUnknown) {
      return written;
    }
    may_have_run = true;
    const auto read = client.ReadConfiguration();
    if (IsOk(read)) {
      const std::optional<platform_object>& object = ValueOf(read);
      if (object && ChangeIdOf(object->body) == change_id) {
        return object->version;
      }
      if (object && object->version == *expected + 1) {
        return error{error_kind::kConflict,
                     "another update became revision " +
                         std::to_string(object->version)};
      }
      if (object && object->version > *expected + 1) {
        break;  // Later updates overwrote the result of this one.
      }
      // The revision is still the expected one. The write can be repeated,
      // because a conditional update takes effect only once.
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return error{error_kind::kOutcomeUnknown,
               "the update " + change_id +
                   " may have taken effect; compare with `fireflyslip get`"};
}

void AddApplyCommand(CLI::App& app, int& exit_code) {
  auto options = std::make_shared<apply_options>();
  CLI::App* command = app.add_subcommand("apply", "Replace the configuration");
  command
      ->add_option("--platform", options->platform, "IP:PORT of the platform")
      ->required();
  command
      ->add_option("--configuration", options->file,
                   "Configuration file (JSON); its change id is replaced")
      ->required();
  command->add_option("--expect", options->expected,
                      "Replace only this revision; 0 if there must be none");
  command->add_option("--wait", options->wait_seconds,
                      "Wait up to SECONDS until it is in force everywhere");
  command->add_flag("--json", options->json, "Print a JSON report");
  command->footer(
      "Exit code: 0 accepted, 1 outcome unknown, 2 invalid, 3 another update "
      "came first, 4 platform out of reach, 5 accepted but not in force in "
      "time.\n"
      "Example: fireflyslip apply --platform 127.0.0.1:7000 "
      "--configuration fleet.json --expect 7 --wait 20");
  command->callback([options, &exit_code] { exit_code = Apply(*options); });
}

}  // namespace fireflyslip
