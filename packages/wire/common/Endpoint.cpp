#include "wire/common/Endpoint.h"

#include <cstdint>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace havenstair {

std::string Endpoint::str() const {
  const bool IsV6 = m_Address.find(':') != std::string::npos;
  const std::string Host = IsV6 ? "[" + m_Address + "]" : m_Address;
  return Host + ":" + std::to_string(m_Port);
}

std::optional<Endpoint> Endpoint::parse(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon + 1 == Text.size())
    return std::nullopt;
  const std::string Digits = Text.substr(Colon + 1);
  const bool IsNumber =
      Digits.size() <= 5 &&
      Digits.find_first_not_of("0123456789") == std::string::npos;
  if (!IsNumber)
    return std::nullopt;
  std::string Address = Text.substr(0, Colon);
  if (Address.size() > 2 && Address.front() == '[' && Address.back() == ']')
    Address = Address.substr(1, Address.size() - 2);
  Endpoint Result{.m_Address = Address, .m_Port = std::stoi(Digits)};
  sockaddr_storage Ignored;
  if (Result.m_Port > 65535 || toSockaddr(Result, Ignored) == 0)
    return std::nullopt;
  return Result;
}

int toSockaddr(const Endpoint &Of, sockaddr_storage &Out) {
  int Length = sizeof(Out);
  auto *Address = reinterpret_cast<sockaddr *>(&Out);
  // libevent rejects port 0, which stands for any free port here, so the
  // address is parsed without its port.
  const int Failed =
      evutil_parse_sockaddr_port(Of.m_Address.c_str(), Address, &Length);
  if (Failed != 0)
    return 0;
  const auto Port = htons(static_cast<std::uint16_t>(Of.m_Port));
  if (Address->sa_family == AF_INET6)
    reinterpret_cast<sockaddr_in6 *>(Address)->sin6_port = Port;
  else
    reinterpret_cast<sockaddr_in *>(Address)->sin_port = Port;
  return Length;
}

void sendWithoutDelay(int Socket) {
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

} // namespace havenstair
