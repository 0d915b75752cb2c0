/// \file
/// What one send to an upstream adds to the statistics of the process.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_SENDSTATISTICS_H
#define HAVENSTAIR_GATEWAY_REQUEST_SENDSTATISTICS_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamIncarnation.h"
#include "decisions/request/ForwardingPolicy.h"
#include <string>

namespace havenstair {

struct ServingState;

/// Counts one send as load of its upstream while it runs, and records what its
/// answer shows of that upstream. Once the upstream has restarted nothing more
/// is recorded: what an earlier incarnation did does not count for the present
/// one.
class SendStatistics {
public:
  /// The send, and the figures that its upstream was chosen by.
  struct Facts {
    UpstreamIncarnation m_Upstream;
    std::string m_Model; ///< Empty for a plain service.
    TimePoint m_SentAt{};
    double m_PendingMs = 0; ///< Work ahead of the request at the upstream.
    double m_WorkMs = 0;    ///< The request's own work.
    double m_Tokens = 0;    ///< Tokens that the request occupies.
  };

  /// Counts the send. \p State must outlive this object.
  SendStatistics(ServingState &State, Facts Of);

  /// \returns whether the send counts as load.
  bool running() const { return m_Running; }
  /// \returns whether the upstream has restarted since the send.
  bool upstreamRestarted() const;
  /// Records that the answer of a running send has begun. To be called once.
  void onStarted(TimePoint Now);
  /// Records that a running send has ended, in whatever way.
  void onEnded();
  /// Records whether the upstream served the request. \p Whole says that a
  /// broken answer may be whole, but could not be passed on as such.
  void recordOutcome(SendOutcome Outcome, bool Whole, TimePoint Now);

private:
  ServingState &m_State;
  Facts m_Facts;
  bool m_Started = false;
  bool m_Running = true;
};

} // namespace havenstair

#endif
