/// \file
/// Which process has the other end of a connection on this machine.
#ifndef HAVENSTAIR_TESTS_SUPPORT_SOCKETOWNER_H
#define HAVENSTAIR_TESTS_SUPPORT_SOCKETOWNER_H

#include "wire/common/Endpoint.h"
#include <cstdint>
#include <sys/types.h>

namespace havenstair {

/// Inode of the socket at \p Local of the TCP connection to \p Remote, both of
/// IPv4; zero when there is none.
std::uint32_t socketInode(const Endpoint &Local, const Endpoint &Remote);

/// Whether \p Process holds that socket.
bool holdsSocket(pid_t Process, std::uint32_t Inode);

} // namespace havenstair

#endif
