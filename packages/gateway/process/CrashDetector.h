/// \file
/// Detects whether an upstream whose connection broke has crashed.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_CRASHDETECTOR_H
#define HAVENSTAIR_GATEWAY_PROCESS_CRASHDETECTOR_H

#include "decisions/process/CrashSuspect.h"
#include "decisions/process/ServingView.h"
#include "decisions/process/UpstreamReach.h"
#include "gateway/request/RequestDialect.h"
#include "wire/common/HttpClient.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace havenstair {

/// Probes an upstream as soon as a connection to it breaks. A broken connection
/// alone is no proof of a crash: links are reset, and answers are cut off. The
/// upstream has ended if it refuses connections, unless another one did and
/// this box has reached none since; if another instance answers in its place,
/// if it is listed with a later start time, or if another box has detected its
/// end. One that does not answer may only be unreachable; it has ended if its
/// entry also disappears from the list.
class CrashDetector {
public:
  struct Hooks {
    /// \returns the call that probes an upstream.
    std::function<HttpCall(const UpstreamInstance &At)> m_Probe;
    /// Reads the head of the answer to a probe.
    std::function<AnswerFacts(int Status, const HttpHeaders &)> m_ReadAnswer;
    /// Called when the probe \p Probe was refused, which may be due to a
    /// partition of this box. Once it is known whether the box reaches any
    /// upstream, onReachable() has to be called.
    std::function<void(const UpstreamReach::Call &Probe)> m_Refused;
    /// Called when \p Upstream has ended while it ran the requests \p Running.
    std::function<void(const UpstreamIncarnation &Upstream,
                       const std::set<RequestSuspects> &Running)>
        m_Ended;
    /// Called when a probe that was sent at \p ProbedAt did not show that
    /// \p Upstream has ended. \p Answer is empty if it did not answer.
    std::function<void(const UpstreamIncarnation &Upstream,
                       const AnswerFacts &Answer, TimePoint ProbedAt)>
        m_NotEnded;
  };

  CrashDetector(HttpClient &Client, const ServingView &View, Hooks Callbacks);
  CrashDetector(const CrashDetector &) = delete;
  CrashDetector &operator=(const CrashDetector &) = delete;

  /// Records that the connection to \p Upstream broke while \p Request was on
  /// it, and probes the upstream if needed. \p Request is empty if that request
  /// cannot have caused a crash.
  void onConnectionBroken(const UpstreamIncarnation &Upstream,
                          const std::optional<RequestSuspects> &Request,
                          TimePoint Now);
  /// Records that another box has detected the end of \p Upstream.
  void onEndReported(const UpstreamIncarnation &Upstream);
  /// Records that this box reached an upstream by a call that it started at \p
  /// StartedAt.
  void onReached(TimePoint StartedAt);
  /// Records that this box reaches upstreams, after some refused connections.
  /// \p WasPartitioned: it did not until now, so what refused has to be probed
  /// again.
  void onReachable(bool WasPartitioned);
  /// \returns whether an upstream that ran \p Suspect is being probed.
  bool probing(const CrashSuspect &Suspect) const;
  /// Looks for suspects that have ended according to the changed list of
  /// upstreams.
  void onListChanged(TimePoint Now);
  /// \returns whether a connection to \p Upstream broke recently and it has
  /// not answered a probe since.
  bool mayHaveEnded(const UpstreamIncarnation &Upstream) const;
  /// Forgets connections that broke long ago.
  void prune(TimePoint Now);

private:
  enum class State {
    Probing, ///< The answer to a probe is outstanding.
    Alive,   ///< It answered.
    Silent,  ///< It did not answer.
    Refused, ///< It refused, and this box may reach no upstream.
    Ended    ///< It has crashed or was replaced.
  };

  /// An upstream whose connections broke.
  struct Suspect {
    State m_State = State::Probing;
    TimePoint m_At{};                    ///< When a connection last broke.
    std::set<RequestSuspects> m_Running; ///< Requests on broken connections.
    std::shared_ptr<void> m_Probe;       ///< Keeps the probe's call alive.
  };

  void probe(const UpstreamIncarnation &Upstream, const UpstreamInstance &At);
  void onProbeAnswer(const UpstreamIncarnation &Upstream,
                     const HttpAnswer &Answer, TimePoint ProbedAt, bool InTime);
  void markEnded(const UpstreamIncarnation &Upstream);

  HttpClient &m_Client;
  const ServingView &m_View;
  Hooks m_Hooks;
  std::map<UpstreamIncarnation, Suspect> m_Suspects;
  /// The first upstream that refused a probe since this box reached one.
  InstanceId m_FirstRefused;
  TimePoint m_FirstRefusedAt{};
};

} // namespace havenstair

#endif
