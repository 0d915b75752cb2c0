/// \file
/// Which servers are sent to with permits only, and what for.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_SENDBOUNDS_H
#define HAVENSTAIR_DECISIONS_PROCESS_SENDBOUNDS_H

#include "decisions/process/SendPermits.h"
#include "decisions/process/ServerWords.h"
#include "decisions/process/WarmUpView.h"
#include <map>
#include <optional>

namespace havenstair {

/// Puts together what is known of cold servers and of those that name a limit.
class SendBounds {
public:
  /// Both outlive this object.
  SendBounds(const WarmUpView &WarmUp, const ServerWords &Words)
      : m_WarmUp(WarmUp), m_Words(Words) {}
  SendBounds(const SendBounds &) = delete;
  SendBounds &operator=(const SendBounds &) = delete;

  /// Empty for a server that may be sent to without a permit.
  std::optional<SendBound> of(const InstanceId &Id, TimePoint Now) const;
  bool bound(const InstanceId &Id, TimePoint Now) const {
    return limited(Id) || m_WarmUp.cold(Id, Now);
  }
  /// Whether \p Id names a limit.
  bool limited(const InstanceId &Id) const {
    return m_Words.limit(Id) != nullptr;
  }
  /// When \p Id is warm, if that is all that bounds it.
  std::optional<TimePoint> endsAt(const InstanceId &Id, TimePoint Now) const;

  /// A permit to send to \p Id will not be had before \p Free.
  void noteBusy(const InstanceId &Id, TimePoint Free, TimePoint Now);
  /// How long a request to \p Id waits for its permit at least, as far as this
  /// box was told; zero for one that needs none.
  Duration permitWait(const InstanceId &Id, TimePoint Now) const;

private:
  const WarmUpView &m_WarmUp;
  const ServerWords &m_Words;
  std::map<InstanceId, TimePoint> m_Free; ///< A permit is to be had.
};

} // namespace havenstair

#endif
