/// \file
/// `havenstair-standin`: plays the platform, a model engine or a plain service
/// for tests and the demo. Not installed.
#include "standin/StandinEngine.h"
#include "standin/StandinPlatform.h"
#include "standin/StandinService.h"

#include <csignal>
#include <docopt/docopt.h>
#include <iostream>

namespace {

using namespace havenstair;

constexpr const char *Usage =
    R"(havenstair-standin: stands in for other systems.

Usage:
  havenstair-standin platform [--listen ADDRESS]
  havenstair-standin engine [--listen ADDRESS] [--memory MIB] [--kv MIB]
                            [--unchecked] [--load-ms MS] [--token-ms MS]
  havenstair-standin service [--listen ADDRESS] [--work-ms MS]

Options:
  --listen ADDRESS  IP number and port [default: 127.0.0.1:0].
  --memory MIB      Accelerator memory [default: 16000].
  --kv MIB          Reserve for the KV cache [default: 2000].
  --unchecked       Take orders without looking at their tokens.
  --load-ms MS      Time of a load [default: 50].
  --token-ms MS     Time of a token [default: 10].
  --work-ms MS      Time of a call to the service [default: 5].
)";

template <typename Standin> void serve(EventLoop &Loop, const Standin &Made) {
  const Timer Term = Loop.onSignal(SIGTERM, [&Loop] { Loop.stop(); });
  std::cout << dumpJson({{"ready", Made.endpoint().str()}}) << std::endl;
  Loop.run();
}

} // namespace

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  auto Flags = docopt::docopt(Usage, {Values + 1, Values + Count}, true);
  const Endpoint Listen = *Endpoint::parse(Flags["--listen"].asString());
  const auto Millis = [&](const char *Flag) {
    return std::chrono::milliseconds(Flags[Flag].asLong());
  };
  EventLoop Loop;
  if (Flags["platform"].asBool())
    serve(Loop, StandinPlatform(Loop, Listen));
  else if (Flags["engine"].asBool())
    serve(Loop,
          StandinEngine(Loop, {.m_Listen = Listen,
                               .m_Capacity = Flags["--memory"].asLong(),
                               .m_KvReserve = Flags["--kv"].asLong(),
                               .m_ChecksTokens = !Flags["--unchecked"].asBool(),
                               .m_LoadTime = Millis("--load-ms"),
                               .m_TokenTime = Millis("--token-ms")}));
  else
    serve(Loop, StandinService(Loop, Listen, Millis("--work-ms")));
  return 0;
}
