/// \file
/// How boxes tell each other what servers say of themselves in their answers.
/// See docs/design/server-words.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_SERVERWORDEXCHANGE_H
#define HAVENSTAIR_GATEWAY_PROCESS_SERVERWORDEXCHANGE_H

#include "decisions/process/ServingView.h"
#include "decisions/process/UpstreamSignals.h"
#include "gateway/request/ServerWordDesk.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/PeerFrames.h"
#include <functional>
#include <optional>
#include <set>

namespace havenstair {

class DecisionLog;
class Fleet;

/// Takes in the words of servers that this box hears, and tells all boxes what
/// they change. A box that is linked anew is told of all that hold.
class ServerWordExchange : public ServerWordDesk {
public:
  struct Hooks {
    /// Limits have begun, ended or changed.
    std::function<void()> m_LimitsChanged;
    /// A server that was believed to stay leaves.
    std::function<void()> m_Leaves;
  };

  ServerWordExchange(EventLoop &Loop, Fleet &Boxes, ServingView &View,
                     UpstreamSignals &Words, DecisionLog &Log, Hooks Callbacks);

  void heard(const UpstreamIncarnation &Server, const AnswerFacts &Words,
             TimePoint SentAt) override;

  /// \p Server said so in another answer than one to a request.
  void recordLeaving(const UpstreamIncarnation &Server);
  void linkUp(const BoxName &Box);
  /// Tells \p Box, which believes otherwise, that \p Server names no limit.
  void tellNoLimit(const BoxName &Box, const UpstreamIncarnation &Server);
  void onFrame(const BoxName &From, const PeerFrame &Frame);

private:
  bool noteLeaving(const UpstreamIncarnation &Server, const BoxName &By);
  void recordRetryAfter(const UpstreamIncarnation &Server,
                        const AnswerFacts &Words);
  void recordLimit(const UpstreamIncarnation &Server, const AnswerFacts &Words,
                   TimePoint SentAt);
  void noteLimit(const UpstreamIncarnation &Server, LimitChange Change,
                 const std::optional<AdvertisedLimit> &Before,
                 const BoxName &By);
  ServerWordFrame wordOf(const UpstreamIncarnation &Server) const;
  void tellLater(const UpstreamIncarnation &Server);
  void tellAltered();

  EventLoop &m_Loop;
  Fleet &m_Fleet;
  ServingView &m_View;
  UpstreamSignals &m_Words;
  DecisionLog &m_Log;
  Hooks m_Hooks;
  /// Limits whose values have changed since the other boxes were told.
  std::set<UpstreamIncarnation> m_Altered;
  Timer m_TellTimer;
};

} // namespace havenstair

#endif
