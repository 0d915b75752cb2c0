/// \file
/// Dispatches requests to upstreams: chooses one, forwards, and retries
/// elsewhere where that is safe.
#ifndef HAVENSTAIR_HAVENSTAIRD_REQUEST_DISPATCHER_H
#define HAVENSTAIR_HAVENSTAIRD_REQUEST_DISPATCHER_H

#include "decisions/process/Backoff.h"
#include "decisions/process/UpstreamDirectory.h"
#include "decisions/request/RequestAttempts.h"
#include "decisions/request/Router.h"
#include "havenstaird/request/AttemptRunner.h"
#include "wire/common/EventLoop.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace havenstair {

/// What a box knows of the places where requests can be sent.
struct DispatchView {
  const UpstreamDirectory *m_Directory = nullptr;
  /// Returns the box that admits to an upstream: its owner, or the stand-in
  /// while the owner is out of reach.
  std::function<std::optional<BoxName>(const UpstreamName &)> m_AdmitterOf;
  /// Returns a box of another data centre that can serve the request.
  std::function<std::optional<BoxName>(const ForwardedRequest &)> m_SpillTo;
};

/// Number of a dispatched request, for cancel().
using DispatchId = std::uint64_t;

/// Dispatches the requests of this box.
class Dispatcher {
public:
  struct Options {
    RoutingHook m_Routing;
    int m_MaxAttempts = 3;
    std::function<void()> m_OnRetry;
    /// An attempt was sent to a box; without an upstream if it was spilled.
    std::function<void(const RequestId &, const UpstreamName &,
                       const BoxName &)>
        m_OnAttempt;
    /// Time after the budget of an attempt at which it counts as lost.
    Duration m_Grace = 1s;
  };

  Dispatcher(EventLoop &Loop, AttemptRunner &Runner, DispatchView View,
             Options Opts);
  ~Dispatcher();

  /// Dispatches \p Request to an upstream. \p Sink gets the outcome once, never
  /// from within this call.
  DispatchId dispatch(ForwardedRequest Request, AnswerSinkPtr Sink);
  /// The caller has left: cancels the request.
  void cancel(DispatchId Id);
  std::size_t active() const { return m_Active.size(); }
  /// Returns a number for an attempt that was not used before.
  AttemptId nextAttempt() { return ++m_LastAttempt; }

private:
  struct Work;
  class AttemptSink;
  using WorkPtr = std::shared_ptr<Work>;

  void tryNext(const WorkPtr &Item);
  bool tryUpstream(const WorkPtr &Item, const UpstreamName &Upstream,
                   const BoxName &Admitter);
  bool trySpill(const WorkPtr &Item);
  bool startAttempt(const WorkPtr &Item, ForwardedRequest Attempt,
                    const BoxName &To);
  std::vector<Candidate> candidates(const Work &Item) const;
  void attemptFailed(const WorkPtr &Item, AttemptId Attempt,
                     const Failure &Reason);
  void watchAttempt(const WorkPtr &Item, AttemptId Attempt, Duration Limit);
  void giveUp(const WorkPtr &Item, const Failure &Reason);
  void finish(const WorkPtr &Item);

  EventLoop &m_Loop;
  AttemptRunner &m_Runner;
  DispatchView m_View;
  Options m_Opts;
  RetryBudget m_RetryBudget{RetryBudget::Options{}};
  std::map<DispatchId, WorkPtr> m_Active;
  DispatchId m_LastId = 0;
  AttemptId m_LastAttempt = 0;
};

} // namespace havenstair

#endif
