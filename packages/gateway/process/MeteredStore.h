/// \file
/// A store that counts the calls: each call costs money and counts against a
/// rate limit that all boxes share.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_METEREDSTORE_H
#define HAVENSTAIR_GATEWAY_PROCESS_METEREDSTORE_H

#include "gateway/process/CoordinationStore.h"
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace havenstair {

/// Passes each call on to another store and reports it through hooks.
class MeteredStore : public CoordinationStore {
public:
  struct Hooks {
    /// Called before each call. \p Call names its kind; \p Subject is its key
    /// prefix, empty for calls without one.
    std::function<void(std::string_view Call, std::string_view Subject)>
        m_Called;
    /// The store has answered a call. Watches do not count: their answer may
    /// have waited in a socket while the store became unreachable.
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
