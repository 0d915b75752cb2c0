/// \file
/// `havenstair trace`: prints the log lines of one request from the logs of
/// several boxes, in order of time.
#ifndef HAVENSTAIR_HAVENSTAIR_REQUEST_TRACECOMMAND_H
#define HAVENSTAIR_HAVENSTAIR_REQUEST_TRACECOMMAND_H

#include <iosfwd>
#include <string>
#include <vector>

namespace havenstair {

/// One log line of the request.
struct TraceLine {
  long long m_Time = 0; ///< Milliseconds since the Unix epoch.
  std::string m_Source; ///< Name of the log that the line is from.
  std::string m_Text;   ///< Event and fields, formatted for people.

  auto operator<=>(const TraceLine &) const = default;
};

/// Returns the lines of \p Log whose request is \p Id. Text before the JSON
/// object of a line is ignored, and lines without valid JSON are skipped.
std::vector<TraceLine> traceLines(std::istream &Log, const std::string &Source,
                                  const std::string &Id);

/// Prints the lines of all \p Files in order of time.
/// \throws CommandError when a file cannot be read or no line belongs to \p Id.
void printTrace(const std::string &Id, const std::vector<std::string> &Files);

} // namespace havenstair

#endif
