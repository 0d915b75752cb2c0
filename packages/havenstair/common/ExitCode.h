/// \file
/// Exit codes of `havenstair`, as docs/operators/command-line.md lists them.
#ifndef HAVENSTAIR_HAVENSTAIR_COMMON_EXITCODE_H
#define HAVENSTAIR_HAVENSTAIR_COMMON_EXITCODE_H

#include <stdexcept>
#include <string>

namespace havenstair {

enum class ExitCode {
  Done = 0,
  Failed = 1,
  BadUsage = 2,
  Conflict = 3,    ///< Somebody else changed the row.
  Refused = 4,     ///< A cell is wrong, or the table would not fit.
  Unreachable = 5, ///< No box answered.
  MissedTarget = 6 ///< `load`: fewer answers met their targets than asked.
};

/// Ends a command with a code and a sentence for the operator.
class CommandError : public std::runtime_error {
public:
  CommandError(ExitCode Code, const std::string &Sentence)
      : std::runtime_error(Sentence), m_Code(Code) {}

  ExitCode code() const { return m_Code; }

private:
  ExitCode m_Code;
};

} // namespace havenstair

#endif
