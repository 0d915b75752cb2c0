#include "wire/common/TcpSocket.h"

#include <cstddef>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>

namespace havenstair {

namespace {

struct TcpInfo {
  tcp_info m_Fields{};
  socklen_t m_Length = sizeof(tcp_info); ///< Bytes that the system filled in.
};

std::optional<TcpInfo> tcpInfo(int Socket) {
  TcpInfo Result;
  if (getsockopt(Socket, IPPROTO_TCP, TCP_INFO, &Result.m_Fields,
                 &Result.m_Length) != 0)
    return std::nullopt;
  return Result;
}

} // namespace

Duration silenceOf(int Socket) {
  const auto Info = tcpInfo(Socket);
  return Info ? std::chrono::milliseconds(Info->m_Fields.tcpi_last_ack_recv)
              : LongestDuration;
}

SendProgress sendProgressOf(int Socket) {
  const auto Info = tcpInfo(Socket);
  if (!Info)
    return {};
  SendProgress Result{.m_Unacknowledged = Info->m_Fields.tcpi_unacked > 0,
                      .m_SinceAcknowledgement = std::chrono::milliseconds(
                          Info->m_Fields.tcpi_last_ack_recv)};
  // Older systems fill in fewer fields.
  if (Info->m_Length >= offsetof(tcp_info, tcpi_min_rtt)) {
    Result.m_Acknowledged = Info->m_Fields.tcpi_bytes_acked;
    Result.m_Unacknowledged =
        Result.m_Unacknowledged || Info->m_Fields.tcpi_notsent_bytes > 0;
  }
  return Result;
}

/// Of a socket that listens, Linux tells the length of its queue as that of
/// unacknowledged segments.
std::size_t waitingConnections(int Listening) {
  const auto Info = tcpInfo(Listening);
  return Info ? Info->m_Fields.tcpi_unacked : 0;
}

void setResetOnClose(int Socket, bool Reset) {
  const linger Choice{.l_onoff = Reset ? 1 : 0, .l_linger = 0};
  if (Socket >= 0)
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Choice, sizeof(Choice));
}

} // namespace havenstair
