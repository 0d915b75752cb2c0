/// \file
/// Shares between boxes what was running on crashed upstreams.
/// See docs/design/crashing-requests.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_CRASHEXCHANGE_H
#define HAVENSTAIR_GATEWAY_PROCESS_CRASHEXCHANGE_H

#include "gateway/process/CrashDetector.h"
#include "gateway/process/QuarantineStore.h"
#include "gateway/request/CrashService.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/PeerFrames.h"
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace havenstair {

class DecisionLog;
class Fleet;

/// Finds the requests and parts of prompts that crash upstreams, together with
/// the other boxes, and quarantines them. All relays receive what was running
/// on a crashed upstream, and each evaluates that for itself. Quarantines, and
/// that a suspect ran without harm, are sent to all boxes.
/// Quarantines are also kept in the store, to survive a restart of all boxes.
class CrashExchange : public CrashService {
public:
  struct Hooks {
    CrashDetector::Hooks m_Detector; ///< m_Ended is set by the exchange.
    /// Called when \p Upstream has ended, as this box or another has found.
    std::function<void(const UpstreamIncarnation &Upstream)> m_UpstreamEnded;
    /// Called when waiting requests may continue and quarantined ones have to
    /// end.
    std::function<void()> m_Changed;
    /// Called after an upstream whose connection broke has been probed. \p What
    /// is the result: "ended" or "lives".
    std::function<void(std::string_view What)> m_ProbeEnded;
    /// \returns whether this box writes the quarantines to the store.
    std::function<bool()> m_IsWriter;
  };

  CrashExchange(EventLoop &Loop, HttpClient &Client, CoordinationStore &Store,
                Fleet &Boxes, const ServingView &View, CrashTracker &Tracker,
                DecisionLog &Log, const std::string &Prefix, Hooks Callbacks);

  void
  onConnectionBroken(const UpstreamIncarnation &Upstream,
                     const std::optional<RequestSuspects> &Request) override;
  void onConnectFailed(const UpstreamIncarnation &Upstream) override;
  void onCompleted(const UpstreamIncarnation &Upstream,
                   const RequestSuspects &Request, TimePoint Began) override;
  void onHarmless(const std::vector<CrashSuspect> &Parts,
                  TimePoint Began) override;
  bool mayProbe(const RequestSuspects &Request, TimePoint Now) const override;
  void onProbe(const RequestSuspects &Request, TimePoint Now) override;
  void onProbeNotSent(const RequestSuspects &Request,
                      TimePoint SentAt) override;
  std::optional<Duration> holdTime(const CrashSuspect &Suspect,
                                   TimePoint Now) const override;

  /// Called when the list of upstreams has changed.
  void onListChanged() { m_Detector.onListChanged(EventLoop::now()); }
  /// Called when an upstream has answered a call that was started at \p
  /// StartedAt on a new connection.
  void onReached(TimePoint StartedAt) { m_Detector.onReached(StartedAt); }
  /// Called when this box reaches upstreams again, after it was in doubt or
  /// (\p WasPartitioned) reached none.
  void onReachable(bool WasPartitioned) {
    m_Detector.onReachable(WasPartitioned);
  }
  /// Called when the store's keys have changed. \p Items are all keys
  /// under the gateway's prefix.
  void entriesChanged(const std::map<std::string, StoreItem> &Items,
                      const StoreRevision &At);
  /// Sends all quarantines to \p Box, which has just been linked and may know
  /// none.
  void linkUp(const BoxName &Box);
  /// Handles the crash frames among those that \p From sends.
  void onFrame(const BoxName &From, const PeerFrame &Frame);

private:
  CrashDetector::Hooks detectorHooks(CrashDetector::Hooks Outer);
  /// A completed request whose upstream may still crash because of it.
  struct Run {
    UpstreamIncarnation m_Upstream;
    RequestSuspects m_Request;
    TimePoint m_Began{};   ///< When the upstream began to answer.
    TimePoint m_At{};      ///< When the request completed.
    bool m_Probed = false; ///< The upstream has been probed since.
  };

  void tick();
  void probeAfterRuns(TimePoint Now);
  void confirmRuns(TimePoint Now);
  void clear(const CrashSuspect &Suspect, TimePoint At);
  void sendCleared(const CrashSuspect &Suspect);
  void reportEnd(const UpstreamIncarnation &Upstream,
                 const std::set<RequestSuspects> &Running);
  bool recordEnd(const CrashFrame &Frame);
  void sendSuspects(const std::vector<RequestSuspects> &Among);
  void scheduleEvaluation();
  void evaluateSoon();
  void evaluate();
  void logQuarantined(const CrashSuspect &Suspect, std::string_view How);
  std::vector<ReportedQuarantine>
  quarantineEntries(const std::vector<CrashSuspect> &Suspects) const;

  void receive(const BoxName &From, const CrashFrame &Frame);
  void receive(const BoxName &From, const CrashSuspectsFrame &Frame);
  void receive(const BoxName &From, const RequestClearedFrame &Frame);
  void receive(const BoxName &From, const QuarantinesFrame &Frame);

  EventLoop &m_Loop;
  Fleet &m_Fleet;
  CrashTracker &m_Tracker;
  DecisionLog &m_Log;
  Hooks m_Hooks;
  CrashDetector m_Detector;
  QuarantineStore m_Quarantine;
  std::deque<Run> m_Runs; ///< From the oldest to the newest.
  Timer m_EvaluationTimer;
  Timer m_SoonTimer;
  bool m_EvaluatesSoon = false; ///< m_SoonTimer is set.
  Timer m_TickTimer;
};

} // namespace havenstair

#endif
