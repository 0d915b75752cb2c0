#include "havenstair/request/TraceCommand.h"

#include "havenstair/common/ExitCode.h"
#include "wire/common/Json.h"
#include <algorithm>
#include <fstream>
#include <iostream>

namespace havenstair {

namespace {

std::string describe(const Json &Line) {
  std::string Text = fieldOr<std::string>(Line, "event", "?");
  for (const auto &[Name, Value] : Line.items()) {
    const bool Omitted = Name == "event" || Name == "request" ||
                         Name == "time" || Name == "up_ms";
    const bool Blank =
        Value.is_string() && Value.get_ref<const std::string &>().empty();
    if (Omitted || Blank)
      continue;
    Text += "  " + Name + "=" +
            (Value.is_string() ? Value.get<std::string>() : dumpJson(Value));
  }
  return Text;
}

} // namespace

std::vector<TraceLine> traceLines(std::istream &Log, const std::string &Source,
                                  const std::string &Id) {
  std::vector<TraceLine> Result;
  std::string Text;
  while (std::getline(Log, Text)) {
    const std::size_t Start = Text.find('{');
    if (Start == std::string::npos || Text.find(Id) == std::string::npos)
      continue;
    try {
      const Json Line = parseJson(Text.substr(Start));
      if (fieldOr<std::string>(Line, "request", "") != Id)
        continue;
      Result.push_back({.m_Time = fieldOr<long long>(Line, "time", 0),
                        .m_Source = Source,
                        .m_Text = describe(Line)});
    } catch (const DecodeError &) {
      // Not JSON: written by another program.
    }
  }
  return Result;
}

void printTrace(const std::string &Id, const std::vector<std::string> &Files) {
  std::vector<TraceLine> All;
  for (const std::string &Name : Files) {
    std::ifstream File(Name);
    if (!File)
      throw CommandError(ExitCode::BadUsage, "cannot read " + Name);
    const auto Lines = traceLines(File, Name, Id);
    All.insert(All.end(), Lines.begin(), Lines.end());
  }
  if (All.empty())
    throw CommandError(ExitCode::Failed,
                       "no log line belongs to request " + Id);
  std::stable_sort(All.begin(), All.end(),
                   [](const TraceLine &A, const TraceLine &B) {
                     return A.m_Time < B.m_Time;
                   });
  const long long First = All.front().m_Time;
  for (const TraceLine &Line : All)
    std::cout << "+" << Line.m_Time - First << " ms  " << Line.m_Source << "  "
              << Line.m_Text << "\n";
}

} // namespace havenstair
