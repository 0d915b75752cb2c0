/// \file
/// `havenstaird`: the process of a box.
#include "havenstaird/common/Log.h"
#include "havenstaird/process/Box.h"
#include "havenstaird/process/ServeCommand.h"
#include "havenstaird/process/Settings.h"
#include "wire/common/Json.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace havenstair;

constexpr int BadSetting = 2;
constexpr int StoppedAtOnce = 3;

std::optional<std::string> environment(const std::string &Name) {
  const char *Value = std::getenv(Name.c_str());
  if (Value == nullptr)
    return std::nullopt;
  return std::string(Value);
}

/// Announces on standard output, to the program that started this process, that
/// it is ready.
void announce(const Box &Started) {
  const Json Line{{"ready", Started.name().str()},
                  {"callers", Started.callers().str()},
                  {"operators", Started.operators().str()},
                  {"peers", Started.peers().str()}};
  std::cout << dumpJson(Line) << std::endl;
}

int serve(const Settings &Given) {
  EventLoop Loop;
  Box Running(Loop, Given, [&] { Loop.stop(); });
  bool Stopping = false;
  int Status = 0;
  const auto OnSignal = [&] {
    if (std::exchange(Stopping, true)) {
      Status = StoppedAtOnce;
      return Loop.stop();
    }
    Running.stop();
  };
  const Timer Term = Loop.onSignal(SIGTERM, OnSignal);
  const Timer Interrupt = Loop.onSignal(SIGINT, OnSignal);
  announce(Running);
  logInfo(LogPart::Box, "Runs as " + Running.name().str() + ".");
  Loop.run();
  return Status;
}

} // namespace

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const std::vector<std::string> Arguments(Values + 1, Values + Count);
    if (!Arguments.empty() && Arguments.front() == "serve")
      return runServe(Arguments, environment);
    const Settings Given = readSettings(Arguments, environment);
    if (Given.m_CheckOnly) {
      std::cout << "settings are good\n";
      return 0;
    }
    startLogging(Given.m_LogLevel, Given.m_LogFile);
    return serve(Given);
  } catch (const SettingError &Error) {
    std::cerr << "havenstaird: " << Error.what() << "\n";
    return BadSetting;
  } catch (const std::exception &Error) {
    std::cerr << "havenstaird: " << Error.what() << "\n";
    return 1;
  }
}
