/// \file
/// Interface through which requests report upstreams that may have crashed.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_CRASHSERVICE_H
#define HAVENSTAIR_GATEWAY_REQUEST_CRASHSERVICE_H

#include "decisions/common/Time.h"
#include "decisions/process/CrashSuspect.h"
#include "decisions/process/UpstreamIncarnation.h"
#include <optional>
#include <vector>

namespace havenstair {

/// Collects what requests observe about upstreams that may have crashed, to
/// find the requests that crash them.
class CrashService {
public:
  CrashService() = default;
  CrashService(const CrashService &) = delete;
  CrashService &operator=(const CrashService &) = delete;
  virtual ~CrashService() = default;

  /// Reports that the connection to \p Upstream broke while \p Request was on
  /// it. \p Request is empty if that request cannot have caused a crash.
  virtual void
  onConnectionBroken(const UpstreamIncarnation &Upstream,
                     const std::optional<RequestSuspects> &Request) = 0;
  /// Reports that no connection to \p Upstream could be established.
  virtual void onConnectFailed(const UpstreamIncarnation &Upstream) = 0;
  /// Reports that \p Upstream ran \p Request completely and answered; it began
  /// to answer at \p Began.
  virtual void onCompleted(const UpstreamIncarnation &Upstream,
                           const RequestSuspects &Request, TimePoint Began) = 0;
  /// Reports that an upstream has long been writing an answer to a prompt that
  /// holds \p Parts; it began at \p Began.
  virtual void onHarmless(const std::vector<CrashSuspect> &Parts,
                          TimePoint Began) = 0;
  /// \returns whether \p Request may be sent although it is quarantined, to
  /// find out about its suspects.
  virtual bool mayProbe(const RequestSuspects &Request,
                        TimePoint Now) const = 0;
  /// Reports that \p Request is sent for that.
  virtual void onProbe(const RequestSuspects &Request, TimePoint Now) = 0;
  /// Reports that what was sent for that at \p SentAt reached no upstream.
  virtual void onProbeNotSent(const RequestSuspects &Request,
                              TimePoint SentAt) = 0;
  /// \returns how long requests that hold \p Suspect have to wait before they
  /// are sent because it may be quarantined by then; empty if they need not
  /// wait. The wait ends earlier when the crash state changes.
  virtual std::optional<Duration> holdTime(const CrashSuspect &Suspect,
                                           TimePoint Now) const = 0;
};

} // namespace havenstair

#endif
