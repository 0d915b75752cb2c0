#include "support/SocketOwner.h"

#include <arpa/inet.h>
#include <filesystem>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace havenstair {

namespace {

struct Question {
  nlmsghdr m_Head{};
  inet_diag_req_v2 m_Asked{};
};

struct Reply {
  nlmsghdr m_Head{};
  inet_diag_msg m_Socket{};
  char m_More[2048]; ///< Attributes, which are not looked at.
};

Question question(const Endpoint &Local, const Endpoint &Remote) {
  constexpr std::uint32_t AllStates = ~0U;
  Question Result;
  Result.m_Head.nlmsg_len = sizeof(Result);
  Result.m_Head.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  Result.m_Head.nlmsg_flags = NLM_F_REQUEST;
  Result.m_Asked.sdiag_family = AF_INET;
  Result.m_Asked.sdiag_protocol = IPPROTO_TCP;
  Result.m_Asked.idiag_states = AllStates;
  inet_diag_sockid &Id = Result.m_Asked.id;
  Id.idiag_sport = htons(static_cast<std::uint16_t>(Local.m_Port));
  Id.idiag_dport = htons(static_cast<std::uint16_t>(Remote.m_Port));
  inet_pton(AF_INET, Local.m_Address.c_str(), Id.idiag_src);
  inet_pton(AF_INET, Remote.m_Address.c_str(), Id.idiag_dst);
  Id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  Id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  return Result;
}

} // namespace

std::uint32_t socketInode(const Endpoint &Local, const Endpoint &Remote) {
  const Question Asked = question(Local, Remote);
  const int Socket =
      socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  Reply Got;
  ssize_t Size = -1;
  if (send(Socket, &Asked, sizeof(Asked), 0) == sizeof(Asked))
    Size = recv(Socket, &Got, sizeof(Got), 0);
  close(Socket);
  const bool Found =
      Size >= static_cast<ssize_t>(sizeof(nlmsghdr) + sizeof(inet_diag_msg)) &&
      Got.m_Head.nlmsg_type == SOCK_DIAG_BY_FAMILY;
  return Found ? Got.m_Socket.idiag_inode : 0;
}

bool holdsSocket(pid_t Process, std::uint32_t Inode) {
  namespace fs = std::filesystem;
  const std::string Wanted = "socket:[" + std::to_string(Inode) + "]";
  std::error_code Error;
  // Files may be closed, or the process end, meanwhile.
  fs::directory_iterator Files("/proc/" + std::to_string(Process) + "/fd",
                               Error);
  while (!Error && Files != fs::directory_iterator()) {
    std::error_code Gone;
    if (fs::read_symlink(Files->path(), Gone) == Wanted)
      return true;
    Files.increment(Error);
  }
  return false;
}

} // namespace havenstair
