/// \file
/// Interface through which requests report upstreams that may have crashed.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_CRASHSERVICE_H
#define HAVENSTAIR_GATEWAY_REQUEST_CRASHSERVICE_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/UpstreamIncarnation.h"
#include <optional>

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
                     const std::optional<RequestDigest> &Request) = 0;
  /// Reports that no connection to \p Upstream could be established.
  virtual void onConnectFailed(const UpstreamIncarnation &Upstream) = 0;
  /// Reports that \p Upstream ran \p Request completely and answered with
  /// success.
  virtual void onCompleted(const UpstreamIncarnation &Upstream,
                           const RequestDigest &Request) = 0;
  /// \returns how long \p Request has to wait before it is sent because it may
  /// be quarantined by then; empty if it need not wait. The wait ends earlier
  /// when the crash state changes.
  virtual std::optional<Duration> holdTime(const RequestDigest &Request,
                                           TimePoint Now) const = 0;
};

} // namespace havenstair

#endif
