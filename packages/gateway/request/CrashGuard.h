/// \file
/// Protects upstreams from one request that may crash them, by its content or
/// by a part of its prompt.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_CRASHGUARD_H
#define HAVENSTAIR_GATEWAY_REQUEST_CRASHGUARD_H

#include "decisions/process/CrashSuspect.h"
#include "decisions/process/CrashTracker.h"
#include "decisions/process/UpstreamInstance.h"
#include "gateway/request/CrashService.h"
#include <memory>
#include <optional>
#include <vector>

namespace havenstair {

/// Reports the crashes that one request is involved in, and limits where and
/// when it is sent. Its content stays the same when the caller retries; other
/// requests share the parts of its prompt.
class CrashGuard {
public:
  /// An upstream that is still up this long after it began to answer a request,
  /// or completed it, was not crashed by it. A crash shortly after the answer
  /// may still be due to the request: what the upstream does for it afterwards,
  /// such as caching its prompt, takes milliseconds.
  static constexpr Duration BlameWindow = 1s;

  /// \p Service may be destroyed before the request ends.
  CrashGuard(RequestSuspects Suspects, const CrashTracker &Tracker,
             std::weak_ptr<CrashService> Service)
      : m_Suspects(std::move(Suspects)), m_All(m_Suspects.all()),
        m_Tracker(Tracker), m_Service(std::move(Service)) {}

  /// \returns the digest of the request's content.
  const RequestDigest &digest() const { return m_Suspects.m_Digest; }
  /// \returns the content and the parts of the prompt.
  const RequestSuspects &suspects() const { return m_Suspects; }
  /// \returns what the request is quarantined for; empty if it may be sent.
  std::optional<CrashSuspect> quarantinedFor(TimePoint Now) const {
    return m_Tracker.quarantinedIn(m_Suspects, Now);
  }
  /// \returns whether chance does not explain that it is quarantined.
  bool certainlyQuarantined(TimePoint Now) const {
    return m_Tracker.certainlyQuarantined(m_Suspects, Now);
  }
  /// \returns whether the request may be sent although it is quarantined.
  bool mayProbe(TimePoint Now) const;
  /// Must be called when the request is sent.
  void onSent(TimePoint Now) const;
  /// Must be called when what was sent at \p SentAt reached no upstream.
  void onNotSent(TimePoint SentAt) const;
  /// \returns how long it takes until a quarantine that is not certain may have
  /// been lifted.
  Duration timeToProbeResult(TimePoint Now) const {
    return m_Tracker.timeToProbeResult(m_Suspects, Now);
  }
  /// \returns how long the request has to wait before it is sent; empty if it
  /// need not wait.
  std::optional<Duration> holdTime(TimePoint Now) const;
  /// \returns whether upstreams are known to have crashed under the request.
  bool blamed(TimePoint Now) const;
  /// Reduces \p Candidates to a subset if an upstream has crashed under the
  /// request or its last connection broke (\p ConnectionBroke), and to one
  /// candidate if several upstreams have crashed. Requests that shared a
  /// crashed upstream are thereby sent to different ones, so that the next
  /// crash tells them apart and affects fewer of them.
  void narrowCandidates(std::vector<const UpstreamInstance *> &Candidates,
                        bool ConnectionBroke, TimePoint Now) const;
  /// \returns how long to wait before the next send if two upstreams or more
  /// have crashed under the request; empty if there is no need to wait. The
  /// delay is random, so that one of many concurrent tries goes first and the
  /// others are held back if it causes one more crash. \p Random is from 0 to
  /// 1.
  std::optional<Duration> retryDelay(double Random, Duration TimeLeft,
                                     TimePoint Now);
  /// Reports that the request's connection to \p Upstream broke. \p Started is
  /// when the upstream began to answer; empty if it had not.
  void onConnectionBroken(const UpstreamIncarnation &Upstream,
                          std::optional<TimePoint> Started,
                          TimePoint Now) const;
  /// Reports that no connection to \p Upstream could be established.
  void onConnectFailed(const UpstreamIncarnation &Upstream) const;
  /// Reports that \p Upstream ran the request completely and answered; it began
  /// to answer at \p Started.
  void onCompleted(const UpstreamIncarnation &Upstream,
                   TimePoint Started) const;
  /// Reports that the upstream still writes the answer that it began at \p
  /// Started.
  void onWriting(TimePoint Started, TimePoint Now);

private:
  bool anySuspect(TimePoint Now) const;

  RequestSuspects m_Suspects;
  std::vector<CrashSuspect> m_All; ///< Content and parts.
  const CrashTracker &m_Tracker;
  std::weak_ptr<CrashService> m_Service;
  std::optional<TimePoint> m_DelayedUntil; ///< End of the current retry delay.
  bool m_PartsHarmless = false;            ///< onWriting() has reported it.
};

} // namespace havenstair

#endif
