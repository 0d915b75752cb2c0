/// \file
/// An IP number with a port.
#ifndef HAVENSTAIR_WIRE_COMMON_ENDPOINT_H
#define HAVENSTAIR_WIRE_COMMON_ENDPOINT_H

#include <compare>
#include <optional>
#include <string>

struct sockaddr_storage;

namespace havenstair {

/// Where a process listens or is reached. Never a host name.
struct Endpoint {
  std::string m_Address;
  int m_Port = 0;

  auto operator<=>(const Endpoint &) const = default;

  /// "address:port", with brackets around an IPv6 number.
  std::string str() const;
  /// Reads what str() writes; empty when \p Text is not an IP number with a
  /// port from 0 to 65535.
  static std::optional<Endpoint> parse(const std::string &Text);
};

/// Binary form of \p Of. \returns its length, 0 when it is not an IP number.
int toSockaddr(const Endpoint &Of, sockaddr_storage &Out);

/// Sends small writes at once. Without it a token or a short message waits for
/// the other side's delayed acknowledgement.
void sendWithoutDelay(int Socket);

} // namespace havenstair

#endif
