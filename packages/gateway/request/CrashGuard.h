/// \file
/// One request's part in the ends of servers.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_CRASHGUARD_H
#define HAVENSTAIR_GATEWAY_REQUEST_CRASHGUARD_H

#include "decisions/process/CrashTracker.h"
#include "decisions/process/UpstreamInstance.h"
#include "gateway/request/CrashDesk.h"
#include <memory>
#include <optional>
#include <vector>

namespace havenstair {

/// Knows the request by its content, which stays the same from try to try.
class CrashGuard {
public:
  /// A server that lives on for as long after it began to answer a request, or
  /// has run it, did not end by it. It may end by one that it has answered:
  /// what it still does for it, such as keeping its prompt, takes milliseconds.
  static constexpr Duration LivesOnFor = 1s;

  /// The desk may end before the request does.
  CrashGuard(RequestDigest Request, const CrashTracker &Book,
             std::weak_ptr<CrashDesk> Desk)
      : m_Request(std::move(Request)), m_Book(Book), m_Desk(std::move(Desk)) {}

  const RequestDigest &digest() const { return m_Request; }
  /// Null while it may be sent.
  const RequestQuarantine *bar(TimePoint Now) const {
    return m_Book.findQuarantine(m_Request, Now);
  }
  /// How long it waits before it is sent; none when it need not.
  std::optional<Duration> hold(TimePoint Now) const;
  /// Leaves some of \p Candidates when a server has ended under the request, or
  /// broke its connection (\p Broke), and one when several have. Requests that
  /// were on the same server are then on others, so that the next end tells
  /// them apart and takes fewer of them along.
  void keepApart(std::vector<const UpstreamInstance *> &Candidates, bool Broke,
                 TimePoint Now) const;
  /// How long to wait before the next send when servers have ended under the
  /// request twice. \p Random is from 0 to 1. Of many tries one goes first, and
  /// the others are spared if it ends one more.
  std::optional<Duration> pause(double Random, Duration TimeLeft,
                                TimePoint Now);
  /// Its connection to \p Server broke, which had begun to answer it at
  /// \p Started.
  void broke(const UpstreamIncarnation &Server,
             std::optional<TimePoint> Started, TimePoint Now) const;
  void unreachable(const UpstreamIncarnation &Server) const;
  void ranWell(const UpstreamIncarnation &Server) const;

private:
  RequestDigest m_Request;
  const CrashTracker &m_Book;
  std::weak_ptr<CrashDesk> m_Desk;
  std::optional<TimePoint> m_PausedUntil;
};

} // namespace havenstair

#endif
