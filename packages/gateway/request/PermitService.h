/// \file
/// Interface through which requests ask for permits to be sent to upstreams
/// that accept only a limited rate.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_PERMITSERVICE_H
#define HAVENSTAIR_GATEWAY_REQUEST_PERMITSERVICE_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamIncarnation.h"
#include <functional>
#include <optional>

namespace havenstair {

/// Allows one request to be sent between two points in time.
struct SendPermit {
  TimePoint m_From{};
  TimePoint m_Until{};

  bool operator==(const SendPermit &) const = default;
};

/// The reply to a request for a permit.
struct PermitAnswer {
  std::optional<SendPermit> m_Permit; ///< Empty when refused.
  /// When to ask again after a refusal: a permit becomes available then, or the
  /// upstream is warm and needs none.
  TimePoint m_RetryAt{};
};

/// Grants permits for upstreams that are cold, or set a rate limit or a refusal
/// limit.
class PermitService {
public:
  using Done = std::function<void(const PermitAnswer &)>;

  PermitService() = default;
  PermitService(const PermitService &) = delete;
  PermitService &operator=(const PermitService &) = delete;
  virtual ~PermitService() = default;

  /// Asks for a permit to send one request to \p Upstream. \p Patience is how
  /// long the request can wait for the permit to begin. Calls \p Callback once,
  /// before this function returns or within some tens of milliseconds.
  virtual void ask(const InstanceId &Upstream, Duration Patience,
                   Done Callback) = 0;
  /// Records that \p Upstream stays cold for \p ColdFor, as it reported in
  /// answer to what was sent at \p AskedAt.
  virtual void reportCold(const InstanceId &Upstream, Duration ColdFor,
                          TimePoint AskedAt) = 0;
  /// Records that a request to \p Upstream has ended. \p Refused: the upstream
  /// rejected it for lack of room.
  virtual void reportEnd(const InstanceId &Upstream, bool Refused) = 0;
};

} // namespace havenstair

#endif
