#include "support/ChildProcess.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace havenstair {

namespace {

int exitCode(int Status) {
  return WIFSIGNALED(Status) ? 128 + WTERMSIG(Status) : WEXITSTATUS(Status);
}

void runChild(const ChildProcess::Options &Opts, int Output) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (!Opts.m_OutputFile.empty())
    Output =
        open(Opts.m_OutputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(Output, STDOUT_FILENO);
  const std::string &Errors =
      Opts.m_ErrorFile.empty() ? "/dev/null" : Opts.m_ErrorFile;
  const int Error = open(Errors.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(Error, STDERR_FILENO);
  for (const auto &[Name, Value] : Opts.m_Environment)
    setenv(Name.c_str(), Value.c_str(), 1);
  // A copy of a socket would keep its connection open after the parent's close.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  std::vector<char *> Arguments;
  Arguments.push_back(const_cast<char *>(Opts.m_Program.c_str()));
  for (const std::string &Argument : Opts.m_Arguments)
    Arguments.push_back(const_cast<char *>(Argument.c_str()));
  Arguments.push_back(nullptr);
  execv(Opts.m_Program.c_str(), Arguments.data());
  _exit(127);
}

} // namespace

ChildProcess::ChildProcess(const Options &Opts) {
  int Pipe[2];
  if (pipe2(Pipe, O_CLOEXEC) != 0)
    throw std::runtime_error("no pipe could be made");
  m_Id = fork();
  if (m_Id == 0)
    runChild(Opts, Pipe[1]);
  close(Pipe[1]);
  m_Output = Pipe[0];
  if (m_Id < 0)
    throw std::runtime_error("no process could be made");
}

ChildProcess::~ChildProcess() {
  if (!m_Status) {
    kill(m_Id, SIGKILL);
    wait();
  }
  close(m_Output);
}

std::optional<std::string> ChildProcess::readLine() {
  while (true) {
    const std::size_t End = m_Buffer.find('\n');
    if (End != std::string::npos) {
      std::string Line = m_Buffer.substr(0, End);
      m_Buffer.erase(0, End + 1);
      return Line;
    }
    char Bytes[4096];
    const ssize_t Count = read(m_Output, Bytes, sizeof(Bytes));
    if (Count <= 0)
      return std::nullopt;
    m_Buffer.append(Bytes, static_cast<std::size_t>(Count));
  }
}

Json ChildProcess::readReady() {
  while (const std::optional<std::string> Line = readLine())
    if (Line->starts_with("{\""))
      return parseJson(*Line);
  throw std::runtime_error("the process ended before it was ready");
}

std::string ChildProcess::readAll() {
  std::string All;
  while (const std::optional<std::string> Line = readLine())
    All += *Line + "\n";
  return All + m_Buffer;
}

void ChildProcess::signal(int Number) const { kill(m_Id, Number); }

int ChildProcess::wait() {
  if (m_Status)
    return *m_Status;
  int Status = 0;
  waitpid(m_Id, &Status, 0);
  m_Status = exitCode(Status);
  return *m_Status;
}

bool ChildProcess::running() {
  if (m_Status)
    return false;
  int Status = 0;
  if (waitpid(m_Id, &Status, WNOHANG) != m_Id)
    return true;
  m_Status = exitCode(Status);
  return false;
}

} // namespace havenstair
