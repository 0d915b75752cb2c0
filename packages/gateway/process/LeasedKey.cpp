#include "gateway/process/LeasedKey.h"

#include "wire/common/EventLoop.h"
#include <utility>

namespace havenstair {

namespace {

LeaseKeeper::Options keeperOptions(const LeasedKey::Options &Opts) {
  return {.m_TimeToLive = Opts.m_TimeToLive,
          .m_RenewEvery = Opts.m_RenewEvery,
          .m_Margin = Opts.m_Margin};
}

bool reached(StoreStatus Status) {
  return Status != StoreStatus::Lost && Status != StoreStatus::Refused;
}

} // namespace

LeasedKey::LeasedKey(CoordinationStore &Store, Options Opts, Hooks Callbacks)
    : m_Store(Store), m_Opts(std::move(Opts)), m_Hooks(std::move(Callbacks)),
      m_Keeper(keeperOptions(m_Opts)), m_Backoff(m_Opts.m_Retry) {}

template <typename Call> auto LeasedKey::guarded(Call Then) {
  return [this, Generation = m_Generation, Alive = std::weak_ptr<bool>(m_Alive),
          Then = std::move(Then)](const auto &...Values) {
    if (!Alive.expired() && Generation == m_Generation)
      Then(Values...);
  };
}

bool LeasedKey::held(TimePoint Now) const {
  return m_Claimed && m_Keeper.held(Now);
}

void LeasedKey::onAnswer(StoreStatus Status) {
  if (reached(Status))
    m_Backoff.reset();
  m_Hooks.m_Answered(reached(Status));
}

void LeasedKey::onStoreRestored(TimePoint Now, Duration Delay) {
  ++m_Generation;
  m_Lease = 0;
  m_Claiming = false;
  if (m_Claimed && !m_ReclaimBy)
    m_ReclaimBy = m_Keeper.heldUntil();
  m_Keeper.onStoreRestored(Now + Delay);
}

void LeasedKey::onLost() {
  m_ReclaimBy.reset();
  if (std::exchange(m_Claimed, false))
    m_Hooks.m_Lost();
}

void LeasedKey::tick(TimePoint Now) {
  if (m_ReclaimBy && Now >= *m_ReclaimBy)
    return release();
  if (m_Claimed && !m_Keeper.held(Now))
    onLost();
  if (m_ReclaimBy && m_Lease != 0)
    claim(Now);
  const std::optional<LeaseAction> Action = m_Keeper.tick(Now);
  if (!Action)
    return;
  if (std::holds_alternative<CreateLease>(*Action))
    create(Now);
  else
    renew(Now);
}

void LeasedKey::create(TimePoint Now) {
  m_Store.grantLease(
      m_Opts.m_TimeToLive,
      guarded([this, Now](StoreStatus Status, LeaseId Lease, Duration) {
        onAnswer(Status);
        if (Status != StoreStatus::Ok)
          return m_Keeper.onFailed(EventLoop::now() + m_Backoff.next());
        m_Lease = Lease;
        m_Keeper.onGranted(std::to_string(Lease), Now);
        claim(Now);
      }));
}

void LeasedKey::renew(TimePoint Now) {
  m_Store.renewLease(m_Lease, guarded([this, Now](StoreStatus Status) {
                       onAnswer(Status);
                       if (Status == StoreStatus::Ok) {
                         m_Keeper.onGranted(std::to_string(m_Lease), Now);
                         if (!m_Claimed || m_Outdated)
                           claim(Now);
                         return;
                       }
                       if (Status != StoreStatus::NotFound)
                         return m_Keeper.onFailed(EventLoop::now() +
                                                  m_Backoff.next());
                       m_Lease = 0;
                       m_Keeper.onLost(EventLoop::now());
                       onLost();
                     }));
}

void LeasedKey::claim(TimePoint) {
  if (std::exchange(m_Claiming, true))
    return;
  const std::optional<StoreTransaction> Transaction = m_Hooks.m_Claim(m_Lease);
  if (!Transaction) {
    m_Claiming = false;
    return;
  }
  m_Outdated = false;
  m_Store.transact(*Transaction,
                   guarded([this](StoreStatus Status, StoreRevision Revision) {
                     m_Claiming = false;
                     m_Outdated = m_Outdated || Status != StoreStatus::Ok;
                     onAnswer(Status);
                     if (Status == StoreStatus::Ok) {
                       m_Claimed = true;
                       m_ReclaimBy.reset();
                       return m_Hooks.m_Claimed(Revision);
                     }
                     // Another box has the key, or a write whose answer was
                     // lost may still take effect: ending the lease removes
                     // that key.
                     if (Status != StoreStatus::Refused)
                       release();
                   }));
}

void LeasedKey::setRenewEvery(Duration Every) {
  m_Opts.m_RenewEvery = Every;
  m_Keeper.setRenewEvery(Every);
}

void LeasedKey::release() {
  const LeaseId Ended = std::exchange(m_Lease, 0);
  ++m_Generation;
  m_Claiming = false;
  m_Keeper = LeaseKeeper(keeperOptions(m_Opts));
  m_Keeper.onFailed(EventLoop::now() + m_Backoff.next());
  onLost();
  if (Ended != 0)
    m_Store.revokeLease(Ended, [](StoreStatus) {});
}

} // namespace havenstair
