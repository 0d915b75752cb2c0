/// \file
/// Counts the calls to the store: each of them is paid for and takes from a
/// rate that all boxes share.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_METEREDSTORE_H
#define HAVENSTAIR_GATEWAY_PROCESS_METEREDSTORE_H

#include "gateway/process/CoordinationStore.h"
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace havenstair {

/// Passes each call on to another store and tells of it.
class MeteredStore : public CoordinationStore {
public:
  struct Hooks {
    /// A call is made; \p Subject is its prefix, or empty.
    std::function<void(std::string_view Call, std::string_view Subject)>
        m_Called;
    /// The store answered a call that was made now, not a watch: that one's
    /// answer may have waited in a socket.
    std::function<void()> m_Reached;
  };

  MeteredStore(std::unique_ptr<CoordinationStore> Inner, Hooks Callbacks);

  void range(const std::string &Prefix, ReadKind Kind,
             ItemsDone Callback) override;
  [[nodiscard]] std::shared_ptr<void> watch(const std::string &Prefix,
                                            StoreRevision After, Duration Wait,
                                            ChangesDone Callback) override;
  void transact(const StoreTransaction &Transaction,
                WriteDone Callback) override;
  void grantLease(Duration TimeToLive, LeaseDone Callback) override;
  void renewLease(LeaseId Lease, Done Callback) override;
  void revokeLease(LeaseId Lease, Done Callback) override;

private:
  void reportAnswer(StoreStatus Status) const;

  std::unique_ptr<CoordinationStore> m_Inner;
  Hooks m_Hooks;
};

} // namespace havenstair

#endif
