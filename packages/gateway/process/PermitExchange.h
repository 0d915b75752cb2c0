/// \file
/// Enforces one bound across all boxes for each upstream that is cold, sets a
/// limit or bears few refusals. See docs/design/warm-up.md,
/// docs/design/server-words.md and docs/design/brittle.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_PERMITEXCHANGE_H
#define HAVENSTAIR_GATEWAY_PROCESS_PERMITEXCHANGE_H

#include "decisions/process/LoadTracker.h"
#include "decisions/process/PermitIssuer.h"
#include "decisions/process/SendBounds.h"
#include "decisions/process/ServingView.h"
#include "decisions/process/UpstreamSignals.h"
#include "decisions/process/WarmUpView.h"
#include "gateway/request/PermitService.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/PeerFrames.h"
#include <cstdint>
#include <functional>
#include <map>
#include <string_view>

namespace havenstair {

class DecisionLog;
class Fleet;

/// Grants permits to send to bounded upstreams. One relay of an upstream's data
/// centre, the issuer, grants the permits for it. Other boxes ask the issuer;
/// leaves ask through a relay. That an upstream has become cold is sent to all
/// boxes at once.
class PermitExchange : public PermitService {
public:
  struct Hooks {
    /// Called when a query of this box has ended. The permit was for an
    /// upstream in \p At. \p What is "granted", "refused" or "unanswered".
    std::function<void(const DataCentreName &At, BoundKind Kind,
                       std::string_view What)>
        m_PermitDecided;
    /// Called when \p Box asked for a permit for \p Upstream, for which this
    /// box knows no bound.
    std::function<void(const BoxName &Box, const InstanceId &Upstream)>
        m_UnknownBound;
  };

  /// The state of upstreams as this box knows it.
  struct Views {
    WarmUpView &m_WarmUp;
    const UpstreamSignals &m_Signals;
    SendBounds &m_Bounds;
    const ServingView &m_Upstreams;
    const LoadTracker &m_Loads;
  };

  PermitExchange(EventLoop &Loop, Fleet &Boxes, Views Sources, DecisionLog &Log,
                 const WarmUpTolerance &Tolerance, Hooks Callbacks);
  PermitExchange(const PermitExchange &) = delete;
  PermitExchange &operator=(const PermitExchange &) = delete;

  /// Sets by how much the rate of a cold upstream may be exceeded.
  void setTolerance(const WarmUpTolerance &Tolerance) {
    m_Permits.setTolerance(Tolerance);
  }
  /// Takes over the changed list of upstreams.
  void onListChanged(const InstanceList &List);
  /// Determines again for which upstreams this box issues permits. To be called
  /// when boxes, links or limits have changed.
  void refreshRole();

  void ask(const InstanceId &Upstream, Duration Patience,
           Done Callback) override;
  void reportCold(const InstanceId &Upstream, Duration ColdFor,
                  TimePoint AskedAt) override;
  void reportEnd(const InstanceId &Upstream, bool Refused) override;

  /// Handles the permit and warm-up frames among those that \p From sends.
  void onFrame(const BoxName &From, const PeerFrame &Frame);

private:
  /// A query of this box that has not been answered yet.
  struct Query {
    InstanceId m_Upstream;
    Done m_Done;
    TimePoint m_Since{};
    Timer m_Timer;
  };
  /// A query of a leaf that this relay has forwarded to the issuer.
  struct ForwardedQuery {
    BoxName m_From;
    std::uint64_t m_Id = 0; ///< The leaf's id of the query.
    TimePoint m_Since{};
  };

  std::optional<BoxName> issuer(const InstanceId &Upstream) const;
  bool isPrimaryIssuer(const InstanceId &Upstream) const;
  std::map<InstanceId, IssuerAssignment> ownUpstreams() const;
  IssuerAssignment assignment(const UpstreamIncarnation &Upstream,
                              const AdvertisedLimit &RefusalLimit) const;
  /// Whether \p Box may issue permits for \p Upstream.
  bool canIssue(const BoxName &Box, const InstanceId &Upstream) const;
  bool maySendUnasked(const InstanceId &Upstream, TimePoint Now) const;
  BoxName nextBox(const InstanceId &Upstream) const;
  PermitVerdict decide(const BoxName &For, const InstanceId &Upstream,
                       Duration Patience);
  void finish(const Query &Pending,
              const std::optional<PermitVerdict> &Verdict);
  void onTimeout(std::uint64_t Id);
  void receive(const BoxName &From, const PermitAskFrame &Frame);
  void receive(const BoxName &From, const PermitAnswerFrame &Frame);
  void receive(const BoxName &From, const ColdUpdateFrame &Frame);
  void receive(const BoxName &From, const SendEndedFrame &Frame);

  EventLoop &m_Loop;
  Fleet &m_Fleet;
  WarmUpView &m_WarmUp;
  const UpstreamSignals &m_Signals;
  SendBounds &m_Bounds;
  const ServingView &m_Upstreams;
  const LoadTracker &m_Loads;
  DecisionLog &m_Log;
  Hooks m_Hooks;
  PermitIssuer m_Permits;
  std::uint64_t m_LastId = 0;
  std::map<std::uint64_t, Query> m_Queries;
  std::map<std::uint64_t, ForwardedQuery> m_ForwardedQueries;
  Timer m_TickTimer;
};

} // namespace havenstair

#endif
