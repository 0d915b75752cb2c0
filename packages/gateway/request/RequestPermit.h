/// \file
/// Permits of one request to be sent to upstreams that accept a limited rate.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_REQUESTPERMIT_H
#define HAVENSTAIR_GATEWAY_REQUEST_REQUESTPERMIT_H

#include "decisions/process/SendBounds.h"
#include "gateway/request/PermitService.h"
#include "gateway/request/RequestDialect.h"
#include "wire/common/EventLoop.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace havenstair {

/// Asks for a permit right before each send to an upstream that is cold or sets
/// a rate limit, and binds the request to that upstream until the permit is
/// used or has expired. An upstream for which a permit was refused is excluded
/// from the choice until one may be available.
class RequestPermit {
public:
  /// \p Resume is called when the request should choose an upstream again. It
  /// is not called from within a member of this class, nor after this object is
  /// destroyed. \p Service may be destroyed before the request ends.
  RequestPermit(EventLoop &Loop, std::weak_ptr<PermitService> Service,
                const SendBounds &Bounds, std::function<void()> Resume);
  RequestPermit(const RequestPermit &) = delete;
  RequestPermit &operator=(const RequestPermit &) = delete;

  /// \returns whether \p Upstream must not be chosen now.
  bool excludes(const InstanceId &Upstream, TimePoint Now) const;
  /// \returns whether the request may be sent to \p Upstream now. If not, the
  /// request is resumed later. \p Patience is how long it can wait for a
  /// permit to begin.
  bool ready(const InstanceId &Upstream, Duration Patience, TimePoint Now);
  /// \returns whether the request has a permit that is valid now, so that
  /// nothing else should delay it.
  bool hasValidPermit(TimePoint Now) const;
  /// Gives up the permit because its upstream cannot take the request.
  /// \returns whether there was one.
  bool drop();
  /// Records that the permit is used.
  void noteSent() { drop(); }
  /// Passes on how long \p Upstream stays cold if \p Answer, the head of its
  /// answer to what was sent at \p SentAt, states that.
  void reportCold(const AnswerFacts &Answer, const InstanceId &Upstream,
                  TimePoint SentAt);
  /// Passes on that the request has ended at \p Upstream. \p Refused: for lack
  /// of room.
  void reportEnd(const InstanceId &Upstream, bool Refused);
  /// How long to wait for an upstream for which a permit was refused.
  struct Deferral {
    /// Time until a permit may be available, or the upstream needs none.
    Duration m_After = 0us;
    BoundKind m_Kind = BoundKind::Cold; ///< Why it needs permits.
  };
  /// \returns the shortest deferral; empty if no upstream is deferred.
  std::optional<Deferral> deferral(TimePoint Now) const;

private:
  /// A permit and the upstream that it is for.
  struct Held {
    InstanceId m_Upstream;
    SendPermit m_Permit;
  };

  void resumeAfter(Duration Wait);
  void onAnswer(const InstanceId &Upstream, const PermitAnswer &Answer);

  EventLoop &m_Loop;
  std::weak_ptr<PermitService> m_Service;
  const SendBounds &m_Bounds;
  std::function<void()> m_Resume;
  std::optional<Held> m_Held;
  std::map<InstanceId, TimePoint> m_RefusedUntil;
  /// Upstream for which a permit was asked and not answered yet; empty if none.
  InstanceId m_PendingUpstream;
  Timer m_Timer;
  /// Expires with this object, so that later callbacks can tell.
  std::shared_ptr<RequestPermit *> m_Self;
};

} // namespace havenstair

#endif
