#include "gateway/request/UpstreamCall.h"

namespace havenstair {

/// Requests that must not run twice use a new connection, because a kept one
/// may be closing, which the sender cannot tell. So do requests to a plain
/// service that is short of slots, as it gives them to new connections first:
/// it rejected 19 of 20 requests on kept connections, and 9 of 20 on new ones
/// at the same time.
ConnectionUse connectionFor(bool Idempotent, bool Plain, double FailureRate) {
  /// One failure keeps the rate above this for four seconds.
  constexpr double RecentFailureRate = 0.1;
  const bool ShortOfSlots = Plain && FailureRate >= RecentFailureRate;
  return Idempotent && !ShortOfSlots ? ConnectionUse::Reused
                                     : ConnectionUse::FreshKept;
}

HttpCall healthCall(const UpstreamInstance &At, const ServiceSpec *Service,
                    Duration Timeout) {
  HttpCall Call;
  Call.m_To = Endpoint::parse(At.m_Address).value_or(Endpoint{});
  Call.m_Target = Service == nullptr || Service->m_HealthPath.empty()
                      ? "/"
                      : Service->m_HealthPath;
  Call.m_ConnectTimeout = Timeout;
  Call.m_IdleTimeout = Timeout;
  Call.m_TotalTimeout = Timeout;
  return Call;
}

} // namespace havenstair
