/// \file
/// Brings one request to an upstream: chooses, forwards, and tries elsewhere
/// where that is safe.
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

/// Where requests can go; answered by the box from what it knows now.
struct DispatchView {
  const UpstreamDirectory *m_Directory = nullptr;
  /// Box that admits for an upstream: its owner, or its stand-in while the
  /// owner is out of reach.
  std::function<std::optional<BoxName>(const UpstreamName &)> m_AdmitterOf;
  /// A box of another data centre that can serve the request.
  std::function<std::optional<BoxName>(const ForwardedRequest &)> m_SpillTo;
};

/// Number of a dispatched request; names it for cancel().
using DispatchId = std::uint64_t;

/// All requests that this box is bringing to upstreams.
class Dispatcher {
public:
  struct Options {
    RoutingHook m_Routing;
    int m_MaxAttempts = 3;
    std::function<void()> m_OnRetry;
    /// An attempt went to a box, for an upstream unless it spilled.
    std::function<void(const RequestId &, const UpstreamName &,
                       const BoxName &)>
        m_OnAttempt;
    /// Added to the budget of an attempt before it counts as lost.
    Duration m_Grace = 1s;
  };

  Dispatcher(EventLoop &Loop, AttemptRunner &Runner, DispatchView View,
             Options Opts);
  ~Dispatcher();

  /// Brings \p Request to an upstream. \p Sink hears the outcome once, later.
  DispatchId dispatch(ForwardedRequest Request, AnswerSinkPtr Sink);
  /// The caller left: the work is given up.
  void cancel(DispatchId Id);
  std::size_t active() const { return m_Active.size(); }
  /// A number for an attempt that was never used before.
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
