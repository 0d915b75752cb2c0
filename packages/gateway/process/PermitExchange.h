/// \file
/// How boxes keep one rate together for each server that is cold or names a
/// limit. See docs/design/warm-up.md and docs/design/server-words.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_PERMITEXCHANGE_H
#define HAVENSTAIR_GATEWAY_PROCESS_PERMITEXCHANGE_H

#include "decisions/process/PermitIssuer.h"
#include "decisions/process/SendBounds.h"
#include "decisions/process/UpstreamSignals.h"
#include "decisions/process/WarmUpView.h"
#include "gateway/request/PermitDesk.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/PeerFrames.h"
#include <cstdint>
#include <functional>
#include <map>
#include <string_view>

namespace havenstair {

class DecisionLog;
class Fleet;

/// One relay of the server's data centre gives out permits for it. Other
/// boxes ask it, leaves by way of a relay. News that a server is cold go to all
/// boxes at once.
class PermitExchange : public PermitDesk {
public:
  struct Hooks {
    /// A permit for a server in \p At was asked for, as it names a limit, or is
    /// cold; \p What became of it, one of "granted", "refused" and
    /// "unanswered".
    std::function<void(const DataCentreName &At, bool Limited,
                       std::string_view What)>
        m_Asked;
    /// \p Box asked for a permit for \p Server, of which this box knows no
    /// bound.
    std::function<void(const BoxName &Box, const InstanceId &Server)>
        m_Needless;
  };

  /// What a box knows of the servers.
  struct Views {
    WarmUpView &m_WarmUp;
    const UpstreamSignals &m_Words;
    SendBounds &m_Bounds;
  };

  PermitExchange(EventLoop &Loop, Fleet &Boxes, Views Known, DecisionLog &Log,
                 const WarmUpTolerance &Tolerance, Hooks Callbacks);
  PermitExchange(const PermitExchange &) = delete;
  PermitExchange &operator=(const PermitExchange &) = delete;

  void setTolerance(const WarmUpTolerance &Tolerance) {
    m_Permits.setTolerance(Tolerance);
  }
  /// The list of servers has changed.
  void listed(const InstanceList &List);
  /// Boxes, links or limits have changed.
  void refreshRole();

  void ask(const InstanceId &Server, Duration Patience, Done Callback) override;
  void heard(const InstanceId &Server, Duration ColdFor,
             TimePoint AskedAt) override;

  void onFrame(const BoxName &From, const PeerFrame &Frame);

private:
  /// A question of this box that has not been answered yet.
  struct Asked {
    InstanceId m_Server;
    Done m_Done;
    TimePoint m_Since{};
    Timer m_Timer;
  };
  /// A question of a leaf that was passed on.
  struct PassedOn {
    BoxName m_From;
    std::uint64_t m_Id = 0;
    TimePoint m_Since{};
  };

  std::optional<BoxName> admitter(const InstanceId &Server) const;
  bool firstAdmitter(const InstanceId &Server) const;
  std::map<InstanceId, AdmittedUpstream> ownServers() const;
  BoxName nextBox(const InstanceId &Server) const;
  PermitVerdict decide(const BoxName &For, const InstanceId &Server,
                       Duration Patience);
  void finish(const Asked &Of, const std::optional<PermitVerdict> &Verdict);
  void unanswered(std::uint64_t Id);
  void take(const BoxName &From, const PermitAskFrame &Frame);
  void take(const BoxName &From, const PermitAnswerFrame &Frame);
  void take(const BoxName &From, const WarmUpNewsFrame &Frame);

  EventLoop &m_Loop;
  Fleet &m_Fleet;
  WarmUpView &m_View;
  const UpstreamSignals &m_Words;
  SendBounds &m_Bounds;
  DecisionLog &m_Log;
  Hooks m_Hooks;
  PermitIssuer m_Permits;
  std::uint64_t m_LastId = 0;
  std::map<std::uint64_t, Asked> m_Asked;
  std::map<std::uint64_t, PassedOn> m_PassedOn;
  Timer m_TickTimer;
};

} // namespace havenstair

#endif
