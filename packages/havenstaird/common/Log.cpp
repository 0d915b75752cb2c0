#include "havenstaird/common/Log.h"

#include <array>
#include <easylogging++.h>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace havenstair {

namespace {

constexpr std::array<std::string_view, 8> Prefixes{
    "[box] ",  "[lease] ", "[owner] ",   "[entry] ",
    "[keys] ", "[table] ", "[planner] ", "[peers] "};

LogLevel MinShownLevel = LogLevel::Info;

bool shown(LogLevel Level) { return Level <= MinShownLevel; }

/// easylogging++ can write only to standard output, which is reserved for the
/// line that announces that the process is ready.
class ToStandardError : public el::LogDispatchCallback {
protected:
  void handle(const el::LogDispatchData *Data) override {
    const el::LogMessage *Message = Data->logMessage();
    std::cerr << Message->logger()->logBuilder()->build(Message, true);
  }
};

std::string line(LogPart Part, std::string_view Sentence) {
  std::string Text(Prefixes.at(static_cast<std::size_t>(Part)));
  Text.append(Sentence);
  return Text;
}

} // namespace

void startLogging(LogLevel MinLevel, const std::string &File) {
  MinShownLevel = MinLevel;
  el::Configurations Conf;
  Conf.setToDefault();
  Conf.setGlobally(el::ConfigurationType::Format,
                   "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  Conf.setGlobally(el::ConfigurationType::ToFile,
                   File.empty() ? "false" : "true");
  Conf.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  if (!File.empty())
    Conf.setGlobally(el::ConfigurationType::Filename, File);
  el::Loggers::reconfigureLogger("default", Conf);
  el::Helpers::installLogDispatchCallback<ToStandardError>("standard-error");
}

void logError(LogPart Part, std::string_view Sentence) {
  LOG(ERROR) << line(Part, Sentence);
}

void logWarning(LogPart Part, std::string_view Sentence) {
  if (shown(LogLevel::Warning))
    LOG(WARNING) << line(Part, Sentence);
}

void logInfo(LogPart Part, std::string_view Sentence) {
  if (shown(LogLevel::Info))
    LOG(INFO) << line(Part, Sentence);
}

void logDebug(LogPart Part, std::string_view Sentence) {
  if (shown(LogLevel::Debug))
    LOG(DEBUG) << line(Part, Sentence);
}

} // namespace havenstair
