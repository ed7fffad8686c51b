#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "fireflyslip/core/digest.h"
#include "standins/engine_standin.h"
#include "standins/http_server.h"
#include "standins/origin_standin.h"
#include "standins/platform_standin.h"
#include "standins/relay_standin.h"
#include "standins/service_standin.h"
#include "standins/synthetic_model.h"

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
  command->add_option("--port", options.port, "Port, 0 selects a free one");
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

struct engine_command_options {
  listen_options listen;
  engine_options engine;
};

void AddEngine(CLI::App& app, engine_command_options& options) {
  CLI::App* command = AddSubcommand(
      app, "engine", "Model engine with continuous batching", options.listen);
  engine_options& engine = options.engine;
  command
      ->add_option("--slots", engine.slots, "Requests generated concurrently")
      ->check(CLI::PositiveNumber);
  command
      ->add_option("--token-ms", engine.token_ms,
                   "Generation time per token in ms")
      ->check(CLI::NonNegativeNumber);
  command->add_option("--load-ms", engine.load_ms,
                      "Time to load a version in ms");
  command->add_option("--load-lag-ms", engine.load_lag_ms,
                      "Delay of the load values of /state in ms");
  command->add_flag("--check-fencing", engine.check_fencing,
                    "Reject stale fencing tokens");
  command->add_option("--refuse-version", engine.refused_version,
                      "Version whose load is rejected");
  CLI::Option* model =
      command->add_option("--model", engine.model, "Model loaded at the start");
  CLI::Option* version = command->add_option("--version", engine.version,
                                             "Version loaded at the start");
  model->needs(version);
  version->needs(model);
  command->callback([&options] {
    engine_standin engine(options.engine);
    Serve(engine, options.listen);
  });
}

struct origin_options {
  listen_options listen;
  std::vector<std::string> models;
  double shared_fraction = 0;
  std::uint64_t bytes_per_second = 0;
  std::string printed_model;
};

void AddOrigin(CLI::App& app, origin_options& options) {
  CLI::App* command =
      AddSubcommand(app, "origin", "Manifests and chunks of synthetic models",
                    options.listen);
  command->add_option("--model", options.models,
                      "NAME=VERSION:SIZE_BYTES:CHUNK_BYTES, repeatable");
  command->add_option("--shared-fraction", options.shared_fraction,
                      "Fraction of chunks that all versions share");
  command->add_option("--bytes-per-second", options.bytes_per_second,
                      "Rate limit for all connections together, 0 for none");
  command->add_option("--print-manifest-digest", options.printed_model,
                      "Print the SHA-256 of a manifest and exit");
  command->callback([&options] {
    if (!options.printed_model.empty()) {
      const synthetic_model model(ParseModelDescription(
          options.printed_model, options.shared_fraction));
      std::cout << digest::Of(model.manifest()).ToHex() << std::endl;
      return;
    }
    origin_standin origin(options.bytes_per_second);
    for (const std::string& model : options.models) {
      origin.AddModel(ParseModelDescription(model, options.shared_fraction));
    }
    Serve(origin, options.listen);
  });
}

struct service_options {
  listen_options listen;
  std::uint64_t work_ms = 0;
};

void AddService(CLI::App& app, service_options& options) {
  CLI::App* command = AddSubcommand(
      app, "service", "Plain service that counts executions", options.listen);
  command->add_option("--work-ms", options.work_ms,
                      "Execution time of a call in ms");
  command->callback([&options] {
    service_standin service{std::chrono::milliseconds(options.work_ms)};
    Serve(service, options.listen);
  });
}

struct relay_options {
  listen_options listen;
  listen_options target;
  std::uint16_t admin_port = 0;
};

void AddRelay(CLI::App& app, relay_options& options) {
  CLI::App* command = AddSubcommand(
      app, "relay", "TCP relay with fault injection", options.listen);
  command->add_option("--target-address", options.target.address,
                      "Address to relay to");
  command->add_option("--target-port", options.target.port, "Port to relay to")
      ->required();
  command->add_option("--admin-port", options.admin_port,
                      "Port of POST /control, 0 selects a free one");
  command->callback([&options] {
    using boost::asio::ip::make_address;
    using boost::asio::ip::tcp;
    boost::asio::io_context context(1);
    relay_standin relay(context,
                        tcp::endpoint(make_address(options.listen.address),
                                      options.listen.port),
                        tcp::endpoint(make_address(options.target.address),
                                      options.target.port));
    http_server admin(context, relay, options.listen.address,
                      options.admin_port);
    std::cout << "listening port=" << relay.port()
              << " admin_port=" << admin.port() << std::endl;
    Run(context);
  });
}

}  // namespace
}  // namespace fireflyslip::standins

int main(int argc, char** argv) {
  namespace standins = fireflyslip::standins;
  CLI::App app("Test doubles for the systems around fireflyslip", "standin");
  app.require_subcommand(1);
  standins::platform_options platform;
  standins::AddPlatform(app, platform);
  standins::engine_command_options engine;
  standins::AddEngine(app, engine);
  standins::origin_options origin;
  standins::AddOrigin(app, origin);
  standins::service_options service;
  standins::AddService(app, service);
  standins::relay_options relay;
  standins::AddRelay(app, relay);
  try {
    CLI11_PARSE(app, argc, argv);
  } catch (const std::exception& caught) {
    std::cerr << "error: " << caught.what() << std::endl;
    return 1;
  }
  return 0;
}
