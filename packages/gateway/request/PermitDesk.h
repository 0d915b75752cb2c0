/// \file
/// Where requests ask whether they may be sent to a cold server.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_PERMITDESK_H
#define HAVENSTAIR_GATEWAY_REQUEST_PERMITDESK_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamIncarnation.h"
#include <functional>
#include <optional>

namespace havenstair {

/// One request may be sent in this time.
struct SendPermit {
  TimePoint m_From{};
  TimePoint m_Until{};

  bool operator==(const SendPermit &) const = default;
};

struct PermitAnswer {
  std::optional<SendPermit> m_Permit; ///< None when refused.
  /// Of a refusal: a permit is to be had, or the server is warm.
  TimePoint m_Free{};
};

class PermitDesk {
public:
  using Done = std::function<void(const PermitAnswer &)>;

  PermitDesk() = default;
  PermitDesk(const PermitDesk &) = delete;
  PermitDesk &operator=(const PermitDesk &) = delete;
  virtual ~PermitDesk() = default;

  /// Calls \p Callback once, before it returns or within some tens of
  /// milliseconds.
  virtual void ask(const InstanceId &Server, Duration Patience,
                   Done Callback) = 0;
  /// \p Server said it in answer to what was sent at \p AskedAt.
  virtual void heard(const InstanceId &Server, Duration ColdFor,
                     TimePoint AskedAt) = 0;
};

} // namespace havenstair

#endif
