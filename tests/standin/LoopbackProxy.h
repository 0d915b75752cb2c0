/// \file
/// Stands between two processes on loopback and harms what passes.
#ifndef HAVENSTAIR_TESTS_STANDIN_LOOPBACKPROXY_H
#define HAVENSTAIR_TESTS_STANDIN_LOOPBACKPROXY_H

#include "wire/common/Endpoint.h"
#include "wire/common/EventLoop.h"
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace havenstair {

/// Passes connections on to one endpoint.
class LoopbackProxy {
public:
  enum class Direction { ToServer, ToClient };

  /// How a client is cut off from the server.
  enum class Partition {
    None,
    Hangs,     ///< No byte passes, either way, until it heals.
    Resets,    ///< Its open connections are reset, and new ones.
    RefusesNew ///< New connections are reset, and the open ones live on.
  };

  /// \throws std::runtime_error when \p Listen cannot be bound.
  LoopbackProxy(EventLoop &Loop, const Endpoint &Listen, const Endpoint &To);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy &) = delete;
  LoopbackProxy &operator=(const LoopbackProxy &) = delete;

  Endpoint endpoint() const { return m_Endpoint; }

  /// All bytes come later by \p Delay from now on.
  void setDelay(Duration Delay) { m_Delay = Delay; }
  /// Bytes of that direction wait while it is cut; nothing is lost, as a
  /// network sends again what did not arrive.
  void setCut(Direction Of, bool Cut);
  /// New connections are reset, and the open ones once.
  void setRefusing(bool Refusing);
  void resetOpen();
  /// Without, new connections are refused as by a machine on which nothing
  /// runs, and the open ones are reset once.
  void setListening(bool Listening);
  /// What is open now stays open and never carries a byte again.
  void silenceOpen();
  /// The same, of the connections on which the client last sent bytes of that
  /// kind.
  void silenceOpen(const std::function<bool(const std::string &)> &Which);
  /// Names the client of each new connection, for setPartition().
  void setNaming(std::function<std::string(const Endpoint &)> Naming) {
    m_Naming = std::move(Naming);
  }
  void setPartition(const std::string &Client, Partition Of);
  /// An end of one direction is passed on as such, and the other stays open.
  /// Without, it closes both.
  void setPassingHalfCloses(bool Passing) { m_PassingHalfCloses = Passing; }
  /// Bytes to the server of that kind are sent on a second connection too. The
  /// answer to it is dropped.
  void setDoubled(std::function<bool(const std::string &)> Doubled) {
    m_Doubled = std::move(Doubled);
  }

private:
  class Link;

  void reservePort();
  void listen();
  void accept(int Socket);
  std::string nameOf(int Socket) const;
  Partition partitionOf(const std::string &Client) const;
  void flushAll();
  void remove(const Link *Gone);
  void sendAgain(const std::string &Bytes);

  EventLoop &m_Loop;
  Endpoint m_To;
  Endpoint m_Endpoint;
  /// Bound to the port and never listening: while the proxy does not listen
  /// either, callers are turned away, and nobody else is given the port.
  int m_Reserved = -1;
  evconnlistener *m_Listener = nullptr;
  Duration m_Delay = 0us;
  bool m_CutToServer = false;
  bool m_CutToClient = false;
  bool m_Refusing = false;
  bool m_PassingHalfCloses = false;
  std::function<std::string(const Endpoint &)> m_Naming;
  std::map<std::string, Partition> m_Partitions; ///< By client.
  std::function<bool(const std::string &)> m_Doubled;
  std::list<std::shared_ptr<Link>> m_Links;
  std::list<bufferevent *> m_Repeats;
};

} // namespace havenstair

#endif
