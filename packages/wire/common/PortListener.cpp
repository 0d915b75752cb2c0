#include "wire/common/PortListener.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <system_error>
#include <utility>

namespace havenstair {

namespace {

constexpr unsigned ListenFlags =
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC;

/// Connections that may wait while the process is not run for a moment.
constexpr int Backlog = 512;

constexpr Duration RetryInterval = 50ms;
constexpr Duration ReportInterval = 5s;

/// Errors that pass without a change of the settings.
constexpr std::array PassingErrors{EADDRINUSE, EADDRNOTAVAIL, EMFILE,
                                   ENFILE,     ENOBUFS,       ENOMEM};

bool mayPass(int Error) {
  return std::find(PassingErrors.begin(), PassingErrors.end(), Error) !=
         PassingErrors.end();
}

std::string textOf(int Error) { return std::generic_category().message(Error); }

int boundPort(int Socket) {
  sockaddr_storage Address{};
  socklen_t Length = sizeof(Address);
  if (getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length) != 0)
    return 0;
  if (Address.ss_family == AF_INET6)
    return ntohs(reinterpret_cast<sockaddr_in6 *>(&Address)->sin6_port);
  return ntohs(reinterpret_cast<sockaddr_in *>(&Address)->sin_port);
}

} // namespace

PortListener::PortListener(EventLoop &Loop, Endpoint Address, Opened OnOpened,
                           Reporter OnReport)
    : m_Loop(Loop), m_Endpoint(std::move(Address)),
      m_OnOpened(std::move(OnOpened)), m_OnReport(std::move(OnReport)),
      m_Began(EventLoop::now()) {
  const int Error = tryOnce();
  if (Error != 0 && !mayPass(Error))
    throw std::runtime_error("cannot listen on " + m_Endpoint.str() + ": " +
                             textOf(Error));
  report(Error);
  if (!m_Listening)
    m_Retry = m_Loop.every(RetryInterval, [this] { retry(); });
}

int PortListener::tryOnce() {
  ++m_Tries;
  sockaddr_storage Address{};
  const int Length = toSockaddr(m_Endpoint, Address);
  errno = 0;
  evconnlistener *Listener = evconnlistener_new_bind(
      m_Loop.base(), nullptr, nullptr, ListenFlags, Backlog,
      reinterpret_cast<sockaddr *>(&Address), Length);
  if (Listener == nullptr)
    return errno != 0 ? errno : EINVAL;
  m_Listening = true;
  m_Endpoint.m_Port = boundPort(evconnlistener_get_fd(Listener));
  m_OnOpened(Listener);
  return 0;
}

void PortListener::retry() {
  const int Error = tryOnce();
  if (m_Listening || EventLoop::now() - m_ReportedAt >= ReportInterval)
    report(Error);
  if (m_Listening)
    giveUp();
}

void PortListener::report(int Error) {
  const TimePoint Now = EventLoop::now();
  m_ReportedAt = Now;
  if (m_OnReport)
    m_OnReport({.m_Address = m_Endpoint,
                .m_Tries = m_Tries,
                .m_Waited = Now - m_Began,
                .m_Obstacle = Error == 0 ? "" : textOf(Error)});
}

} // namespace havenstair
