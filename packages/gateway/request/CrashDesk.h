/// \file
/// Where requests tell that a server may have ended under them.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_CRASHDESK_H
#define HAVENSTAIR_GATEWAY_REQUEST_CRASHDESK_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/UpstreamIncarnation.h"
#include <optional>

namespace havenstair {

class CrashDesk {
public:
  CrashDesk() = default;
  CrashDesk(const CrashDesk &) = delete;
  CrashDesk &operator=(const CrashDesk &) = delete;
  virtual ~CrashDesk() = default;

  /// The connection to \p Server broke while \p Request was there; none where
  /// it is known not to be to blame.
  virtual void broke(const UpstreamIncarnation &Server,
                     const std::optional<RequestDigest> &Request) = 0;
  /// No connection to \p Server came up.
  virtual void unreachable(const UpstreamIncarnation &Server) = 0;
  /// \p Server ran all of it and answered well.
  virtual void ranWell(const UpstreamIncarnation &Server,
                       const RequestDigest &Request) = 0;
  /// How long \p Request waits before it is sent, as it may be barred by then;
  /// none when it need not. News end the wait.
  virtual std::optional<Duration> hold(const RequestDigest &Request,
                                       TimePoint Now) const = 0;
};

} // namespace havenstair

#endif
