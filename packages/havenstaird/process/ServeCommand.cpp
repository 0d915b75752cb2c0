#include "havenstaird/process/ServeCommand.h"

#include "gateway/process/Gateway.h"
#include "havenstaird/process/PolicySettings.h"
#include "platform/Binding.h"
#include "wire/common/Build.h"
#include "wire/connection/PeerFrames.h"

#include <charconv>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <malloc.h>
#include <thread>
#include <unistd.h>

namespace havenstair {

namespace {

constexpr const char *Usage =
    R"(havenstaird serve: the gateway before an operators' platform.

Usage:
  havenstaird serve [options]

Options:
  --node-file FILE        Settings file of the platform; can also be set by the
                          variable HAVENSTAIR_NODE_FILE. Read again on SIGHUP,
                          and every two seconds.
  --metrics-port PORT     Port of the metrics page at this box's address; by
                          default the second of the platform's internal ports.
  --check-settings        Check the settings and exit.
  --help                  Show this page.
  --version               Show the version.

Each policy option also has a variable: --few-moves is HAVENSTAIR_FEW_MOVES.

Policy options:
)";

/// Allocations of this many bytes or more go back to the system when they are
/// freed.
constexpr int MapThreshold = 256 << 10;

/// Free bytes at the top of the heap that are kept.
constexpr int TrimThreshold = 2 << 20;

constexpr Duration SettingsReadInterval = 200ms;
constexpr int ReadsPerNotice = 25;

/// Memory counts as used until the system has it back. The library would raise
/// its thresholds after the first large body.
void giveMemoryBack() {
  mallopt(M_MMAP_THRESHOLD, MapThreshold);
  mallopt(M_TRIM_THRESHOLD, TrimThreshold);
}

/// The platform may not have written the settings yet, or not all of them.
GatewayOptions awaitOptions(const PlatformBinding &Binding) {
  for (int Try = 0;; ++Try) {
    try {
      return Binding.m_ReadOptions();
    } catch (const SettingsUnavailable &Error) {
      if (Try % ReadsPerNotice == 0)
        std::cerr << "havenstaird: waits for its settings: " << Error.what()
                  << std::endl;
    }
    std::this_thread::sleep_for(SettingsReadInterval);
  }
}

int readPort(const std::string &Flag, const std::string &Text) {
  constexpr int MaxPort = 65535;
  int Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Port);
  if (Read.ec != std::errc() || Read.ptr != End || Port < 1 || Port > MaxPort)
    throw SettingError(Flag, Text, "a number from 1 to 65535");
  return Port;
}

std::string variableOf(const std::string &Flag) {
  std::string Name = "HAVENSTAIR_";
  for (char Letter : Flag.substr(2))
    Name += Letter == '-' ? '_' : static_cast<char>(std::toupper(Letter));
  return Name;
}

} // namespace

int runServe(const std::vector<std::string> &Arguments,
             const EnvironmentLookup &Environment) {
  auto Flags = docopt::docopt(Usage + policyUsage(), Arguments, true,
                              "havenstaird " + buildName() + ", protocol " +
                                  std::to_string(OwnProtocol));
  const SettingLookup Find =
      [&](const std::string &Flag) -> std::optional<std::string> {
    const docopt::value &Given = Flags[Flag];
    return Given.isString() ? Given.asString() : Environment(variableOf(Flag));
  };
  const std::string NodeFile = Find("--node-file").value_or("");
  if (NodeFile.empty())
    throw SettingError("--node-file", "", "the path of a file");
  const GatewayPolicy Policy = readPolicy(Find);
  PlatformBinding Binding = platform::makeBinding(NodeFile);
  const bool OnlyCheck = Flags["--check-settings"].asBool();
  GatewayOptions Options =
      OnlyCheck ? Binding.m_ReadOptions() : awaitOptions(Binding);
  if (const auto Port = Find("--metrics-port"))
    Options.m_Metrics.m_Port = readPort("--metrics-port", *Port);
  if (OnlyCheck) {
    std::cout << "settings are good\n";
    return 0;
  }
  giveMemoryBack();
  EventLoop Loop;
  Gateway Running(Loop, std::move(Binding), std::move(Options), Policy,
                  STDOUT_FILENO, [&] { Loop.stop(); });
  const Timer Term = Loop.onSignal(SIGTERM, [&] { Running.stop(); });
  const Timer Interrupt = Loop.onSignal(SIGINT, [&] { Running.stop(); });
  const Timer Hangup = Loop.onSignal(SIGHUP, [&] { Running.reload(); });
  Loop.run();
  return 0;
}

} // namespace havenstair
