/// \file
/// Keeps the box's own lease in the platform's service, timed by its own clock.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LEASEKEEPER_H
#define HAVENSTAIR_DECISIONS_PROCESS_LEASEKEEPER_H

#include "decisions/common/Time.h"
#include <optional>
#include <string>
#include <variant>

namespace havenstair {

/// Create a new lease.
struct CreateLease {};
/// Renew the lease with this id.
struct RenewLease {
  std::string m_LeaseId;
};
/// What to send to the platform's service next.
using LeaseAction = std::variant<CreateLease, RenewLease>;

/// Keeps one lease. It counts as held until its time to live has passed since
/// the last successful call was *sent*, so a slow answer never extends it.
class LeaseKeeper {
public:
  struct Options {
    /// Time to live of the lease, from each renewal.
    Duration m_TimeToLive = 15s;
    /// Time between the sending of two renewals.
    Duration m_RenewEvery = 5s;
    /// Subtracted from the end of the lease, for clocks that run at different
    /// rates.
    Duration m_Margin = 500ms;
  };

  explicit LeaseKeeper(Options Opts);

  /// The call to make now; empty when none is due or one is under way.
  std::optional<LeaseAction> tick(TimePoint Now);
  /// The call sent at \p SentAt succeeded; \p LeaseId is held.
  void onGranted(const std::string &LeaseId, TimePoint SentAt);
  /// The call failed with unknown outcome; the next one is due at \p RetryAt.
  void onFailed(TimePoint RetryAt);
  /// The platform reports that the lease does not exist; a new one is due at
  /// once.
  void onLost(TimePoint Now);

  /// The platform's service may have lost the lease, or given its id to another
  /// holder: a new one is due at \p RetryAt. The current one counts as held
  /// until its end.
  void onStoreRestored(TimePoint RetryAt);

  /// Changes the interval from the next renewal on.
  void setRenewEvery(Duration Every) { m_Opts.m_RenewEvery = Every; }

  /// Whether the lease is held at \p Now.
  bool held(TimePoint Now) const;
  /// Empty when there is no lease.
  const std::string &leaseId() const { return m_LeaseId; }
  /// End of the lease by this box's clock; the epoch when there is none.
  TimePoint heldUntil() const { return m_HeldUntil; }

private:
  Options m_Opts;
  std::string m_LeaseId;
  TimePoint m_HeldUntil{};
  /// When the next call is due.
  TimePoint m_NextCall{};
  bool m_CallInFlight = false;
};

} // namespace havenstair

#endif
