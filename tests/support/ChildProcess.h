/// \file
/// A process under test: started, signalled, waited for.
#ifndef HAVENSTAIR_TESTS_SUPPORT_CHILDPROCESS_H
#define HAVENSTAIR_TESTS_SUPPORT_CHILDPROCESS_H

#include "wire/common/Json.h"
#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace havenstair {

/// Owns one child; kills and reaps it on destruction.
class ChildProcess {
public:
  struct Options {
    std::string m_Program;
    std::vector<std::string> m_Arguments;
    std::map<std::string, std::string> m_Environment;
    /// File for standard error; empty drops it.
    std::string m_ErrorFile;
    /// File for standard output, in place of readReady() and readAll(); empty
    /// keeps them.
    std::string m_OutputFile;
  };

  explicit ChildProcess(const Options &Opts);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Waits for the line of JSON with which a server says that it listens.
  /// \throws std::runtime_error when the child ends before.
  Json readReady();
  /// All of standard output until the child closes it.
  std::string readAll();
  void signal(int Number) const;
  /// Waits for the end. \returns the exit code, or 128 plus the signal.
  int wait();
  bool running();
  pid_t id() const { return m_Id; }

private:
  std::optional<std::string> readLine();

  pid_t m_Id = -1;
  int m_Output = -1;
  std::string m_Buffer;
  std::optional<int> m_Status;
};

} // namespace havenstair

#endif
