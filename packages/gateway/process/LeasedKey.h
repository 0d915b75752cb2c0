/// \file
/// Keys of the store that exist while this process keeps a lease.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LEASEDKEY_H
#define HAVENSTAIR_GATEWAY_PROCESS_LEASEDKEY_H

#include "decisions/process/Backoff.h"
#include "decisions/process/LeaseKeeper.h"
#include "gateway/process/CoordinationStore.h"
#include <functional>
#include <memory>
#include <optional>

namespace havenstair {

/// Acquires a lease, writes keys under it, and renews it. The lease counts from
/// when the last successful call was sent, by this process's own clock, so that
/// a process that was suspended finds its lease expired when it resumes.
class LeasedKey {
public:
  struct Options {
    Duration m_TimeToLive = 3s;
    Duration m_RenewEvery = 1s;
    /// The lease counts as expired this long before the store would end it.
    Duration m_Margin = 300ms;
    /// Backoff after a failed call; each call costs money, also one that the
    /// store refuses.
    Backoff::Options m_Retry{
        .m_First = 200ms, .m_Cap = 500ms, .m_Random = [] { return 1.0; }};
  };
  struct Hooks {
    /// Returns the transaction that writes the keys under \p Lease; an empty
    /// optional when they are not to be written now.
    std::function<std::optional<StoreTransaction>(LeaseId Lease)> m_Claim;
    /// The keys are written; \p Revision is that of the transaction.
    std::function<void(StoreRevision Revision)> m_Claimed;
    /// The keys may be gone.
    std::function<void()> m_Lost;
    /// A call ended. \p Reached: the store answered, and did not refuse.
    std::function<void(bool Reached)> m_Answered;
  };

  LeasedKey(CoordinationStore &Store, Options Opts, Hooks Callbacks);
  LeasedKey(const LeasedKey &) = delete;
  LeasedKey &operator=(const LeasedKey &) = delete;

  /// Makes the next call when one is due; to be called often.
  void tick(TimePoint Now);
  /// Whether the keys are written and the lease runs.
  bool held(TimePoint Now) const;
  /// Ends the lease, which removes the keys, and starts over after a backoff.
  void release();
  /// The store came back from a copy, in which the lease may be missing or
  /// belong to another box: acquires a new one after \p Delay and claims the
  /// keys again. They count as written until the old lease would have ended.
  void onStoreRestored(TimePoint Now, Duration Delay);
  /// What the claim writes has changed: writes it again with the next renewal.
  void contentChanged() { m_Outdated = true; }
  /// Takes effect with the next renewal.
  void setRenewEvery(Duration Every);
  /// Backoff while the store does not answer.
  void setRetry(const RetryPauses &Pauses) { m_Backoff.setPauses(Pauses); }

private:
  void create(TimePoint Now);
  void renew(TimePoint Now);
  void claim(TimePoint Now);
  void onAnswer(StoreStatus Status);
  void onLost();
  /// Wraps a callback so that it is dropped when this object is gone or has
  /// started over.
  template <typename Call> auto guarded(Call Then);

  CoordinationStore &m_Store;
  Options m_Opts;
  Hooks m_Hooks;
  LeaseKeeper m_Keeper;
  Backoff m_Backoff;
  LeaseId m_Lease = 0;
  bool m_Claimed = false;
  bool m_Claiming = false;
  bool m_Outdated = false; ///< The content has changed since it was claimed.
  /// When the keys have to be claimed again at the latest; empty when they need
  /// not be.
  std::optional<TimePoint> m_ReclaimBy;
  /// Answers to calls of an earlier generation are dropped.
  std::uint64_t m_Generation = 0;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
