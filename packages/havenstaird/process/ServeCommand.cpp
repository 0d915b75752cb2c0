#include "havenstaird/process/ServeCommand.h"

#include "gateway/process/Gateway.h"
#include "platform/Binding.h"

#include <csignal>
#include <docopt/docopt.h>
#include <iostream>

namespace havenstair {

namespace {

constexpr const char *VersionText = "havenstaird 0.2.0";

constexpr const char *Usage =
    R"(havenstaird serve: the gateway before an operators' platform.

Usage:
  havenstaird serve [options]

Options:
  --node-file FILE        Settings file of the platform; also by the variable
                          HAVENSTAIR_NODE_FILE. Read again on SIGHUP, and
                          every two seconds.
  --check-settings        Check the settings and end.
  --help                  Show this page.
  --version               Show the version.
)";

std::string nodeFile(std::map<std::string, docopt::value> &Flags,
                     const EnvironmentLookup &Environment) {
  const docopt::value &Flag = Flags["--node-file"];
  std::string Path = Flag.isString()
                         ? Flag.asString()
                         : Environment("HAVENSTAIR_NODE_FILE").value_or("");
  if (Path.empty())
    throw SettingError("--node-file", "", "the path of a file");
  return Path;
}

} // namespace

int runServe(const std::vector<std::string> &Arguments,
             const EnvironmentLookup &Environment) {
  auto Flags = docopt::docopt(Usage, Arguments, true, VersionText);
  PlatformBinding Binding = platform::makeBinding(nodeFile(Flags, Environment));
  GatewayOptions Options = Binding.m_ReadOptions();
  if (Flags["--check-settings"].asBool()) {
    std::cout << "settings are good\n";
    return 0;
  }
  EventLoop Loop;
  Gateway Running(Loop, std::move(Binding), std::move(Options),
                  [&] { Loop.stop(); });
  const Timer Term = Loop.onSignal(SIGTERM, [&] { Running.stop(); });
  const Timer Interrupt = Loop.onSignal(SIGINT, [&] { Running.stop(); });
  const Timer Hangup = Loop.onSignal(SIGHUP, [&] { Running.reload(); });
  Loop.run();
  return 0;
}

} // namespace havenstair
