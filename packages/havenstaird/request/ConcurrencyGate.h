/// \file
/// The entry's side of concurrency limits: asks the box that counts for the
/// group before a request starts.
#ifndef HAVENSTAIR_HAVENSTAIRD_REQUEST_CONCURRENCYGATE_H
#define HAVENSTAIR_HAVENSTAIRD_REQUEST_CONCURRENCYGATE_H

#include "decisions/process/ConcurrencyHome.h"
#include "decisions/process/GroupLimiter.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/PeerFrames.h"
#include <functional>
#include <map>

namespace havenstair {

/// Both sides: asks for this box, and counts for all boxes where this box is
/// the group's home.
class ConcurrencyGate {
public:
  using Answer = std::function<void(bool Allowed)>;

  struct Options {
    BoxName m_Self;
    /// The box that counts for a group; itself when no other is in reach.
    std::function<BoxName(const GroupName &)> m_HomeOf;
    /// Sends a frame; false when nothing was sent.
    std::function<bool(const BoxName &, const PeerFrame &)> m_Send;
    /// This data centre's part of a limit.
    std::function<int(int Limit)> m_PartOf;
    /// Requests of a group that run through this box.
    std::function<int(const GroupName &)> m_Running;
    /// Silence of the home after which this box goes by its even part.
    Duration m_Patience = 300ms;
  };

  ConcurrencyGate(EventLoop &Loop, const GroupLimiter &Limiter, Options Opts);

  /// Asks whether one more request of \p Row, already counted by m_Running,
  /// may run. \p Done runs at once for a group without a limit.
  void enter(const GroupRow &Row, Answer Done);
  /// A request of \p Group ended.
  void left(const GroupName &Group);
  /// Tells counts to homes that are new. For a regular call.
  void tick();

  /// \returns whether the frame was one of the gate's.
  bool onFrame(const BoxName &From, const PeerFrame &Frame);
  void peerDown(const BoxName &Box) { m_Home.forget(Box); }

private:
  struct Waiting {
    GroupRow m_Row;
    Answer m_Done;
    Timer m_Timer;
  };

  void answer(std::uint64_t Id, bool Allowed);
  void goByOwnPart(std::uint64_t Id);
  void tell(const GroupName &Group, const BoxName &Home);

  EventLoop &m_Loop;
  const GroupLimiter &m_Limiter;
  Options m_Opts;
  ConcurrencyHome m_Home;
  std::map<std::uint64_t, Waiting> m_Waiting;
  std::uint64_t m_LastId = 0;
  /// Home of each limited group that runs here, as it was told last.
  std::map<GroupName, BoxName> m_ToldTo;
};

} // namespace havenstair

#endif
