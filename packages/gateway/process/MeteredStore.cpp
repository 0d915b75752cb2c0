#include "gateway/process/MeteredStore.h"

#include <utility>

namespace havenstair {

MeteredStore::MeteredStore(std::unique_ptr<CoordinationStore> Inner,
                           Hooks Callbacks)
    : m_Inner(std::move(Inner)), m_Hooks(std::move(Callbacks)) {}

void MeteredStore::reportAnswer(StoreStatus Status) const {
  if (Status != StoreStatus::Lost && Status != StoreStatus::Refused)
    m_Hooks.m_Reached();
}

void MeteredStore::range(const std::string &Prefix, ReadKind Kind,
                         ItemsDone Callback) {
  m_Hooks.m_Called(Kind == ReadKind::Stale ? "stale_range" : "range", Prefix);
  m_Inner->range(Prefix, Kind,
                 [this, Callback = std::move(Callback)](StoreItems Read) {
                   reportAnswer(Read.m_Status);
                   Callback(std::move(Read));
                 });
}

std::shared_ptr<void> MeteredStore::watch(const std::string &Prefix,
                                          StoreRevision After, Duration Wait,
                                          ChangesDone Callback) {
  m_Hooks.m_Called("watch", Prefix);
  return m_Inner->watch(Prefix, After, Wait, std::move(Callback));
}

void MeteredStore::transact(const StoreTransaction &Transaction,
                            WriteDone Callback) {
  m_Hooks.m_Called("transaction", {});
  m_Inner->transact(Transaction,
                    [this, Callback = std::move(Callback)](
                        StoreStatus Status, StoreRevision Revision) {
                      reportAnswer(Status);
                      Callback(Status, Revision);
                    });
}

void MeteredStore::grantLease(Duration TimeToLive, LeaseDone Callback) {
  m_Hooks.m_Called("grant", {});
  m_Inner->grantLease(TimeToLive,
                      [this, Callback = std::move(Callback)](
                          StoreStatus Status, LeaseId Lease, Duration Granted) {
                        reportAnswer(Status);
                        Callback(Status, Lease, Granted);
                      });
}

void MeteredStore::renewLease(LeaseId Lease, Done Callback) {
  m_Hooks.m_Called("renew", {});
  m_Inner->renewLease(
      Lease, [this, Callback = std::move(Callback)](StoreStatus Status) {
        reportAnswer(Status);
        Callback(Status);
      });
}

void MeteredStore::revokeLease(LeaseId Lease, Done Callback) {
  m_Hooks.m_Called("end_lease", {});
  m_Inner->revokeLease(
      Lease, [this, Callback = std::move(Callback)](StoreStatus Status) {
        reportAnswer(Status);
        Callback(Status);
      });
}

} // namespace havenstair
