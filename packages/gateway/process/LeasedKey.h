/// \file
/// A key of the store that exists while this process keeps a lease.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LEASEDKEY_H
#define HAVENSTAIR_GATEWAY_PROCESS_LEASEDKEY_H

#include "decisions/process/Backoff.h"
#include "decisions/process/LeaseKeeper.h"
#include "gateway/process/CoordinationStore.h"
#include <functional>
#include <memory>
#include <optional>

namespace havenstair {

/// Takes a lease, writes its keys under it, and renews it. Whether the lease
/// is held is judged by this process's own clock from when the last good call
/// was sent, so a frozen process finds its lease ended when it wakes.
class LeasedKey {
public:
  struct Options {
    Duration m_TimeToLive = 3s;
    Duration m_RenewEvery = 1s;
    Duration m_Margin = 300ms;
    /// Each try is paid for, also while the store turns it away.
    Backoff::Options m_Retry{
        .m_First = 200ms, .m_Cap = 500ms, .m_Random = [] { return 1.0; }};
  };
  struct Hooks {
    /// The transaction that writes the keys under \p Lease; empty when it is
    /// not to be written now.
    std::function<std::optional<StoreTransaction>(LeaseId Lease)> m_Claim;
    /// The keys are written; \p Revision is that of the transaction.
    std::function<void(StoreRevision Revision)> m_Claimed;
    /// They may be gone.
    std::function<void()> m_Lost;
    /// An answer came, or none.
    std::function<void(bool Reached)> m_Answered;
  };

  LeasedKey(CoordinationStore &Store, Options Opts, Hooks Callbacks);
  LeasedKey(const LeasedKey &) = delete;
  LeasedKey &operator=(const LeasedKey &) = delete;

  /// Makes the next call when one is due.
  void tick(TimePoint Now);
  /// Whether the keys are written and the lease runs.
  bool held(TimePoint Now) const;
  /// Ends the lease, and with it the keys.
  void release();
  /// Takes effect from the next renewal on.
  void setRenewEvery(Duration Every);
  /// Pauses between tries while the store does not answer.
  void setRetry(const RetryPauses &Pauses) { m_Backoff.setPauses(Pauses); }

private:
  void create(TimePoint Now);
  void renew(TimePoint Now);
  void claim(TimePoint Now);
  void onAnswer(StoreStatus Status);
  void onLost();
  /// A callback that is dropped when this object is gone or has started anew.
  template <typename Call> auto guarded(Call Then);

  CoordinationStore &m_Store;
  Options m_Opts;
  Hooks m_Hooks;
  LeaseKeeper m_Keeper;
  Backoff m_Backoff;
  LeaseId m_Lease = 0;
  bool m_Claimed = false;
  bool m_Claiming = false;
  std::uint64_t m_Generation = 0;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
