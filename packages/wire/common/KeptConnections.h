/// \file
/// Idle HTTP connections that are kept for later calls.
#ifndef HAVENSTAIR_WIRE_COMMON_KEPTCONNECTIONS_H
#define HAVENSTAIR_WIRE_COMMON_KEPTCONNECTIONS_H

#include "decisions/common/Time.h"
#include "wire/common/Endpoint.h"
#include <map>
#include <vector>

struct evhttp_connection;

namespace havenstair {

class EventLoop;

/// Keeps idle connections by address and hands out the most recently used one
/// first. A connection that the other side closes is dropped at once.
class KeptConnections {
public:
  explicit KeptConnections(EventLoop &Loop) : m_Loop(Loop) {}
  ~KeptConnections();
  KeptConnections(const KeptConnections &) = delete;
  KeptConnections &operator=(const KeptConnections &) = delete;

  /// Takes over \p Connection, which no call uses, and keeps it until \p Until.
  void put(const Endpoint &To, evhttp_connection *Connection, TimePoint Until);
  /// Returns a connection that is kept at \p Now, and gives up its ownership;
  /// null when there is none.
  evhttp_connection *take(const Endpoint &To, TimePoint Now);
  /// Closes all connections to \p To.
  void drop(const Endpoint &To);
  /// Number of idle connections to all addresses.
  std::size_t size() const;

private:
  struct Idle {
    evhttp_connection *m_Connection;
    TimePoint m_Until;
  };

  static void onClosed(evhttp_connection *Connection, void *Arg);
  void closeLater(evhttp_connection *Connection);

  EventLoop &m_Loop;
  std::map<Endpoint, std::vector<Idle>> m_Idle;
};

} // namespace havenstair

#endif
