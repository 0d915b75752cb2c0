/// \file
/// Concurrency limits: before a request starts, asks the box that counts the
/// requests of its group.
#ifndef HAVENSTAIR_HAVENSTAIRD_REQUEST_CONCURRENCYGATE_H
#define HAVENSTAIR_HAVENSTAIRD_REQUEST_CONCURRENCYGATE_H

#include "decisions/process/ConcurrencyHome.h"
#include "decisions/process/GroupLimiter.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/PeerFrames.h"
#include <functional>
#include <map>

namespace havenstair {

/// Asks the home of a group for each of its requests, and counts the requests
/// of all boxes for the groups whose home this box is.
class ConcurrencyGate {
public:
  using Answer = std::function<void(bool Allowed)>;

  struct Options {
    BoxName m_Self;
    /// Returns the box that counts for a group; this box when it reaches no
    /// other.
    std::function<BoxName(const GroupName &)> m_HomeOf;
    /// Sends a frame; false when nothing was sent.
    std::function<bool(const BoxName &, const PeerFrame &)> m_Send;
    /// Returns this data centre's share of a limit.
    std::function<int(int Limit)> m_ShareOf;
    /// Returns the number of requests of a group that run through this box.
    std::function<int(const GroupName &)> m_Running;
    /// Time without an answer of the home after which this box decides by its
    /// even share of the limit.
    Duration m_AnswerTimeout = 300ms;
  };

  ConcurrencyGate(EventLoop &Loop, const GroupLimiter &Limiter, Options Opts);

  /// Asks whether one more request of \p Row, already counted by m_Running,
  /// may run. \p Done runs at once for a group without a limit.
  void enter(const GroupRow &Row, Answer Done);
  /// A request of \p Group has ended.
  void left(const GroupName &Group);
  /// Sends counts to homes that have changed; to be called regularly.
  void tick();

  /// Handles a frame about concurrency limits. \returns false for frames of
  /// other kinds.
  bool onFrame(const BoxName &From, const PeerFrame &Frame);
  void peerDown(const BoxName &Box) { m_Home.forget(Box); }

private:
  struct Waiting {
    GroupRow m_Row;
    Answer m_Done;
    Timer m_Timer;
  };

  void answer(std::uint64_t Id, bool Allowed);
  void decideByOwnShare(std::uint64_t Id);
  void sendCount(const GroupName &Group, const BoxName &Home);

  EventLoop &m_Loop;
  const GroupLimiter &m_Limiter;
  Options m_Opts;
  ConcurrencyHome m_Home;
  std::map<std::uint64_t, Waiting> m_Waiting;
  std::uint64_t m_LastId = 0;
  /// Home to which the count of each limited group that runs here was last
  /// sent.
  std::map<GroupName, BoxName> m_SentTo;
};

} // namespace havenstair

#endif
