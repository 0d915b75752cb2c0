/// \file
/// Tells which upstreams may be sent to with permits only, and why.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_SENDBOUNDS_H
#define HAVENSTAIR_DECISIONS_PROCESS_SENDBOUNDS_H

#include "decisions/process/PermitIssuer.h"
#include "decisions/process/UpstreamSignals.h"
#include "decisions/process/WarmUpView.h"
#include <map>
#include <optional>

namespace havenstair {

/// Why an upstream may be sent to with permits only.
enum class BoundKind { Cold, Limit, Room };

/// \returns the name of \p Kind, for logs and metrics.
const char *toString(BoundKind Kind);

/// Combines what is known of cold upstreams and of those that advertise a rate
/// limit or a refusal limit.
class SendBounds {
public:
  /// Both arguments must outlive this object.
  SendBounds(const WarmUpView &WarmUp, const UpstreamSignals &Signals)
      : m_WarmUp(WarmUp), m_Signals(Signals) {}
  SendBounds(const SendBounds &) = delete;
  SendBounds &operator=(const SendBounds &) = delete;

  /// The bound of \p Id; empty when it may be sent to without a permit.
  std::optional<SendBound> of(const InstanceId &Id, TimePoint Now) const;
  /// Whether a request to \p Id needs a permit.
  bool needsPermit(const InstanceId &Id, TimePoint Now) const {
    return limited(Id) || refusalLimited(Id) || m_WarmUp.cold(Id, Now);
  }
  /// Whether \p Id advertises a rate limit.
  bool limited(const InstanceId &Id) const {
    return m_Signals.limit(Id) != nullptr;
  }
  /// Whether \p Id advertises a refusal limit.
  bool refusalLimited(const InstanceId &Id) const {
    return m_Signals.refusalLimit(Id) != nullptr;
  }
  /// Why \p Id needs permits, if it does.
  BoundKind kind(const InstanceId &Id) const;
  /// When \p Id is warm and needs no permits any more; empty when it is not
  /// cold, or advertises a limit, whose end is not known.
  std::optional<TimePoint> boundEndsAt(const InstanceId &Id,
                                       TimePoint Now) const;

  /// Records that no permit for \p Id is available before \p NextPermitAt.
  void recordNextPermit(const InstanceId &Id, TimePoint NextPermitAt,
                        TimePoint Now);
  /// Shortest time that a request to \p Id waits for its permit, as far as this
  /// box knows; zero when it needs none.
  Duration permitWait(const InstanceId &Id, TimePoint Now) const;

  /// Records that \p Id rejected a request of this box for lack of room.
  void recordNoRoom(const InstanceId &Id, TimePoint Now) {
    m_NoRoomAt[Id] = Now;
  }
  /// Whether a request may be sent to \p Id, which advertises a refusal limit,
  /// without a permit as no box can issue one. \p Running requests of all boxes
  /// are in its \p Slots.
  bool maySendUnasked(const InstanceId &Id, int Running, int Slots,
                      TimePoint Now) const;

private:
  const WarmUpView &m_WarmUp;
  const UpstreamSignals &m_Signals;
  std::map<InstanceId, TimePoint> m_NextPermitAt;
  /// When upstreams last rejected a request for lack of room.
  std::map<InstanceId, TimePoint> m_NoRoomAt;
};

} // namespace havenstair

#endif
