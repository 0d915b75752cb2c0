/// \file
/// Exit codes of `havenstair`, as docs/operators/command-line.md lists them.
#ifndef HAVENSTAIR_HAVENSTAIR_COMMON_EXITCODE_H
#define HAVENSTAIR_HAVENSTAIR_COMMON_EXITCODE_H

#include <stdexcept>
#include <string>

namespace havenstair {

/// The exit code of the process.
enum class ExitCode {
  Done = 0,
  Failed = 1,      ///< Any other error.
  BadUsage = 2,    ///< An argument is missing or invalid.
  Conflict = 3,    ///< The row was changed by someone else meanwhile.
  Refused = 4,     ///< A value is invalid, or the table would not fit.
  Unreachable = 5, ///< The box did not answer.
  MissedTarget = 6 ///< `load`: too few answers met their targets.
};

/// Ends the command with an exit code and a message for the operator.
class CommandError : public std::runtime_error {
public:
  CommandError(ExitCode Code, const std::string &Message)
      : std::runtime_error(Message), m_Code(Code) {}

  ExitCode code() const { return m_Code; }

private:
  ExitCode m_Code;
};

} // namespace havenstair

#endif
