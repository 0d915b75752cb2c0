/// \file
/// `havenstair trace`: the story of one request from the logs of several boxes.
#ifndef HAVENSTAIR_HAVENSTAIR_REQUEST_TRACECOMMAND_H
#define HAVENSTAIR_HAVENSTAIR_REQUEST_TRACECOMMAND_H

#include <iosfwd>
#include <string>
#include <vector>

namespace havenstair {

/// One log line that names the request.
struct TraceLine {
  long long m_Time = 0; ///< Milliseconds since the Unix epoch.
  std::string m_Source; ///< Where the line was read.
  std::string m_Text;   ///< Event and fields, for a person.

  auto operator<=>(const TraceLine &) const = default;
};

/// The lines of \p Log that name the request \p Id. Lines that are no JSON, or
/// that something else has put words before, are borne.
std::vector<TraceLine> traceLines(std::istream &Log, const std::string &Source,
                                  const std::string &Id);

/// Prints the lines of all \p Files in order of time.
/// \throws CommandError when a file cannot be read or no line names \p Id.
void printTrace(const std::string &Id, const std::vector<std::string> &Files);

} // namespace havenstair

#endif
