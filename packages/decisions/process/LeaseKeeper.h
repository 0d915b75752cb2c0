/// \file
/// The box's own lease in the platform's service, judged by its own clock.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LEASEKEEPER_H
#define HAVENSTAIR_DECISIONS_PROCESS_LEASEKEEPER_H

#include "decisions/common/Time.h"
#include <optional>
#include <string>
#include <variant>

namespace havenstair {

struct CreateLease {};
struct RenewLease {
  std::string m_LeaseId;
};
/// What to send to the platform's service next.
using LeaseAction = std::variant<CreateLease, RenewLease>;

/// Keeps one lease. It counts as held until its time to live has passed since
/// the last successful call was *sent*, so a slow answer never stretches it.
class LeaseKeeper {
public:
  struct Options {
    Duration m_TimeToLive = 15s;
    Duration m_RenewEvery = 5s;
    /// Taken off the end, for clocks that run at different rates.
    Duration m_Margin = 500ms;
  };

  explicit LeaseKeeper(Options Opts);

  /// The call to make now, when one is due and none is on its way.
  std::optional<LeaseAction> tick(TimePoint Now);
  /// The call sent at \p SentAt succeeded for \p LeaseId.
  void onGranted(const std::string &LeaseId, TimePoint SentAt);
  /// The call onFailed and nothing is known; try again after \p RetryAt.
  void onFailed(TimePoint RetryAt);
  /// The platform says that the lease does not exist.
  void onLost(TimePoint Now);

  /// Takes effect from the next renewal on.
  void setRenewEvery(Duration Every) { m_Opts.m_RenewEvery = Every; }

  bool held(TimePoint Now) const;
  const std::string &leaseId() const { return m_LeaseId; }
  /// End of the lease by this box's clock; the epoch when there is none.
  TimePoint heldUntil() const { return m_HeldUntil; }

private:
  Options m_Opts;
  std::string m_LeaseId;
  TimePoint m_HeldUntil{};
  TimePoint m_NextCall{};
  bool m_CallInFlight = false;
};

} // namespace havenstair

#endif
