/// \file
/// What Linux tells of a TCP socket, and how one is ended.
#ifndef HAVENSTAIR_WIRE_COMMON_TCPSOCKET_H
#define HAVENSTAIR_WIRE_COMMON_TCPSOCKET_H

#include "decisions/common/Time.h"
#include "decisions/connection/ConnectionTimeout.h"
#include <cstddef>

namespace havenstair {

/// \returns how long the system at the other end of \p Socket has acknowledged
/// nothing; LongestDuration if that is not known. One whose program reads
/// slowly, or not at all, still does that.
Duration silenceOf(int Socket);

/// \returns what is known of the bytes that the system holds for \p Socket.
/// Those that wait in the process are not its concern.
SendProgress sendProgressOf(int Socket);

/// \returns the connections that wait to be accepted from \p Listening.
std::size_t waitingConnections(int Listening);

/// Decides whether closing \p Socket, also by the end of the process, is a
/// reset. What the system still holds for the other side is then not sent.
void setResetOnClose(int Socket, bool Reset);

} // namespace havenstair

#endif
