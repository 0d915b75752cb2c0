/// \file
/// Queue for requests that arrive before the process knows its configuration.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_STARTUPQUEUE_H
#define HAVENSTAIR_GATEWAY_REQUEST_STARTUPQUEUE_H

#include "decisions/request/RequestDescriptor.h"
#include "wire/common/HttpServer.h"
#include <cstddef>
#include <memory>
#include <vector>

namespace havenstair {

/// Holds requests while the box reads its configuration and lists, which takes
/// a second or less after the start. A caller that is refused meanwhile goes to
/// another box, which may have started at the same moment, and its only retry
/// is used up; so its request is kept as long as the lists can be expected.
class StartupQueue {
public:
  struct Options {
    /// Time since the start of the process during which requests are kept. When
    /// all boxes restarted at once after a loss of power, boxes with an eighth
    /// of a core had their state after 0.5 s in a fleet of 88, and after 1.0 s
    /// in one of 60 that had keys to read.
    Duration m_MaxWait = 1500ms;
    /// Fraction of a request's remaining time for which it is kept: the rest is
    /// enough to serve it, here or by another box.
    double m_DeadlineFraction = 0.33;
    /// Number of requests kept; further ones are refused, as each holds its
    /// body in memory.
    std::size_t m_MaxRequests = 500;
  };
  /// A request that waits.
  struct Item {
    HttpExchangePtr m_Exchange;
    RequestDescriptor m_Request;
    TimePoint m_Arrived{};
    /// Set if another box passed the request on.
    std::shared_ptr<void> m_Passed;
  };

  StartupQueue(TimePoint StartedAt, Options Opts)
      : m_Opts(Opts), m_StartedAt(StartedAt) {}

  /// Adds \p Request to the queue. \returns false if it may not wait.
  bool keep(Item Request, TimePoint Now);
  /// Removes and returns all requests.
  std::vector<Item> takeAll();
  /// Removes and returns the requests that may wait no longer.
  std::vector<Item> takeExpired(TimePoint Now);
  /// \returns the number of requests in the queue.
  std::size_t size() const { return m_Items.size(); }

private:
  TimePoint keptUntil(const Item &Request) const;

  Options m_Opts;
  TimePoint m_StartedAt; ///< Start of the process.
  std::vector<Item> m_Items;
};

} // namespace havenstair

#endif
