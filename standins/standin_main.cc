#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdint>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "standins/http_server.h"
#include "standins/platform_standin.h"

namespace fireflyslip::standins {
namespace {

struct listen_options {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  return {std::istreambuf_iterator<char>(file), {}};
}

// Runs until SIGTERM or SIGINT.
void Run(boost::asio::io_context& context) {
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) { context.stop(); });
  context.run();
}

void Serve(http_handler& handler, const listen_options& options) {
  boost::asio::io_context context(1);
  http_server server(context, handler, options.address, options.port);
  std::cout << "listening port=" << server.port() << std::endl;
  Run(context);
}

CLI::App* AddSubcommand(CLI::App& app,
                        const std::string& name,
                        const std::string& description,
                        listen_options& options) {
  CLI::App* command = app.add_subcommand(name, description);
  command->add_option("--address", options.address, "Address to listen on");
  command->add_option("--port", options.port, "Port, 0 picks a free one");
  return command;
}

struct platform_options {
  listen_options listen;
  std::string vms;
  std::string configuration;
};

void AddPlatform(CLI::App& app, platform_options& options) {
  CLI::App* command =
      AddSubcommand(app, "platform", "Object API and VM list", options.listen);
  command->add_option("--vms", options.vms, "File with the initial VM list");
  command->add_option("--configuration", options.configuration,
                      "File with the initial object `configuration`");
  command->callback([&options] {
    platform_standin platform;
    if (!options.vms.empty()) {
      platform.SetVms(nlohmann::json::parse(ReadFile(options.vms)));
    }
    if (!options.configuration.empty()) {
      platform.PutObject("configuration", ReadFile(options.configuration));
    }
    Serve(platform, options.listen);
  });
}

}  // namespace
}  // namespace fireflyslip::standins

int main(int argc, char** argv) {
  namespace standins = fireflyslip::standins;
  CLI::App app("Substitutes for the systems around fireflyslip", "standin");
  app.require_subcommand(1);
  standins::platform_options platform;
  standins::AddPlatform(app, platform);
  try {
    CLI11_PARSE(app, argc, argv);
  } catch (const std::exception& caught) {
    std::cerr << "error: " << caught.what() << std::endl;
    return 1;
  }
  return 0;
}
