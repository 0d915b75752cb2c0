/// \file
/// An IP address with a port.
#ifndef HAVENSTAIR_WIRE_COMMON_ENDPOINT_H
#define HAVENSTAIR_WIRE_COMMON_ENDPOINT_H

#include <compare>
#include <optional>
#include <string>

struct sockaddr_storage;

namespace havenstair {

/// Where a process listens or is reached. m_Address is an IP address, never a
/// host name.
struct Endpoint {
  std::string m_Address;
  int m_Port = 0;

  auto operator<=>(const Endpoint &) const = default;

  /// Returns "address:port", with brackets around an IPv6 address.
  std::string str() const;
  /// Parses what str() returns; empty when \p Text is not an IP address with a
  /// port from 0 to 65535.
  static std::optional<Endpoint> parse(const std::string &Text);
};

/// Converts \p Of to a socket address. \returns its length in bytes, 0 when \p
/// Of has no valid IP address.
int toSockaddr(const Endpoint &Of, sockaddr_storage &Out);

/// Makes \p Socket send small writes at once. Otherwise a token or a short
/// message waits for the delayed acknowledgement of the other side.
void sendWithoutDelay(int Socket);

} // namespace havenstair

#endif
