/// \file
/// Shares between boxes what upstreams report about themselves in answers.
/// See docs/design/server-words.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_UPSTREAMSIGNALEXCHANGE_H
#define HAVENSTAIR_GATEWAY_PROCESS_UPSTREAMSIGNALEXCHANGE_H

#include "decisions/process/ServingView.h"
#include "decisions/process/UpstreamSignals.h"
#include "gateway/request/UpstreamSignalService.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/PeerFrames.h"
#include <functional>
#include <optional>
#include <set>
#include <string_view>

namespace havenstair {

class DecisionLog;
class Fleet;

/// Records the signals that this box receives from upstreams, and sends the
/// changes to all boxes. A box that has just been linked is sent all signals
/// that are in force.
class UpstreamSignalExchange : public UpstreamSignalService {
public:
  struct Hooks {
    /// Called when rate limits or refusal limits have begun, ended or changed.
    std::function<void()> m_LimitsChanged;
    /// Called when an upstream has rejected a request for lack of room.
    std::function<void()> m_NoRoom;
    /// Called when an upstream has newly reported that it leaves.
    std::function<void()> m_UpstreamLeaving;
  };

  UpstreamSignalExchange(EventLoop &Loop, Fleet &Boxes, ServingView &View,
                         UpstreamSignals &Signals, DecisionLog &Log,
                         Hooks Callbacks);

  void recordSignals(const UpstreamIncarnation &Upstream,
                     const AnswerFacts &Answer, TimePoint SentAt) override;

  /// Records that \p Upstream leaves, as it reported in an answer to something
  /// else than a request.
  void recordLeaving(const UpstreamIncarnation &Upstream);
  /// Sends all signals that are in force to \p Box, which has just been linked.
  void linkUp(const BoxName &Box);
  /// Tells \p Box, which assumes a limit, which limits \p Upstream sets.
  void sendLimits(const BoxName &Box, const UpstreamIncarnation &Upstream);
  /// Handles the signal frames among those that \p From sends.
  void onFrame(const BoxName &From, const PeerFrame &Frame);

private:
  bool noteLeaving(const UpstreamIncarnation &Upstream, const BoxName &By);
  void recordRetryAfter(const UpstreamIncarnation &Upstream,
                        const AnswerFacts &Answer);
  void recordLimit(const UpstreamIncarnation &Upstream,
                   const AnswerFacts &Answer, TimePoint SentAt);
  void recordRefusalLimit(const UpstreamIncarnation &Upstream,
                          const AnswerFacts &Answer, TimePoint SentAt);
  /// Sends a change that this box has recorded.
  void sendChange(const UpstreamIncarnation &Upstream, LimitChange Change,
                  bool UpstreamSignalFrame::*Ended);
  LimitChange mergeLimit(const UpstreamSignalFrame &Signal,
                         const BoxName &From);
  LimitChange mergeRefusalLimit(const UpstreamSignalFrame &Signal,
                                const BoxName &From);
  /// Logs the change \p Change of a limit as \p Event.
  void noteLimit(std::string_view Event, const UpstreamIncarnation &Upstream,
                 LimitChange Change,
                 const std::optional<AdvertisedLimit> &Before,
                 const std::optional<AdvertisedLimit> &After,
                 const BoxName &By);
  UpstreamSignalFrame signalFrame(const UpstreamIncarnation &Upstream) const;
  void sendLater(const UpstreamIncarnation &Upstream);
  void sendAltered();

  EventLoop &m_Loop;
  Fleet &m_Fleet;
  ServingView &m_View;
  UpstreamSignals &m_Signals;
  DecisionLog &m_Log;
  Hooks m_Hooks;
  /// Upstreams whose limits have changed in value since the last send.
  std::set<UpstreamIncarnation> m_Altered;
  Timer m_SendTimer;
};

} // namespace havenstair

#endif
