#include "support/HeldPort.h"

#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace havenstair {

namespace {

void setReuse(int Socket, int Allowed) {
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Allowed, sizeof(Allowed));
}

} // namespace

HeldPort::HeldPort(const Endpoint &At)
    : m_Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), m_Endpoint(At) {
  sockaddr_storage Address{};
  const int Length = toSockaddr(At, Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  sockaddr_in Bound{};
  socklen_t BoundLength = sizeof(Bound);
  // Connections of who had the port before are no obstacle.
  setReuse(m_Socket, 1);
  if (m_Socket < 0 ||
      bind(m_Socket, Generic, static_cast<socklen_t>(Length)) != 0 ||
      getsockname(m_Socket, reinterpret_cast<sockaddr *>(&Bound),
                  &BoundLength) != 0) {
    release();
    throw std::runtime_error("cannot hold " + At.str());
  }
  setReuse(m_Socket, 0);
  m_Endpoint.m_Port = ntohs(Bound.sin_port);
}

void HeldPort::release() {
  if (m_Socket >= 0)
    close(std::exchange(m_Socket, -1));
}

} // namespace havenstair
