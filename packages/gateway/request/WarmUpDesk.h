/// \file
/// Where requests ask whether they may be sent to a cold server.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_WARMUPDESK_H
#define HAVENSTAIR_GATEWAY_REQUEST_WARMUPDESK_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamLife.h"
#include <functional>
#include <optional>

namespace havenstair {

/// One request may be sent in this time.
struct WarmUpPermit {
  TimePoint m_From{};
  TimePoint m_Until{};

  bool operator==(const WarmUpPermit &) const = default;
};

struct WarmUpAnswer {
  std::optional<WarmUpPermit> m_Permit; ///< None when refused.
  /// Of a refusal: a permit is to be had, or the server is warm.
  TimePoint m_Free{};
};

class WarmUpDesk {
public:
  using Done = std::function<void(const WarmUpAnswer &)>;

  WarmUpDesk() = default;
  WarmUpDesk(const WarmUpDesk &) = delete;
  WarmUpDesk &operator=(const WarmUpDesk &) = delete;
  virtual ~WarmUpDesk() = default;

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
