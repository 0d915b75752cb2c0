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

/// Combines what is known of cold upstreams and of those that advertise a
/// limit.
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
    return limited(Id) || m_WarmUp.cold(Id, Now);
  }
  /// Whether \p Id advertises a limit.
  bool limited(const InstanceId &Id) const {
    return m_Signals.limit(Id) != nullptr;
  }
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

private:
  const WarmUpView &m_WarmUp;
  const UpstreamSignals &m_Signals;
  std::map<InstanceId, TimePoint> m_NextPermitAt;
};

} // namespace havenstair

#endif
