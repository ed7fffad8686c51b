#include <CLI/CLI.hpp>

int main(int argc, char** argv) {
  CLI::App app("Weight distribution and request routing for model VMs",
               "fireflyslip");
  app.set_version_flag("--version", "0.1.0");
  app.require_subcommand(0, 1);
  CLI11_PARSE(app, argc, argv);
  return 0;
}
