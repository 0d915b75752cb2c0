/// \file
/// Keeps barred requests in the store, where they outlive the boxes.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_BARKEEPER_H
#define HAVENSTAIR_GATEWAY_PROCESS_BARKEEPER_H

#include "decisions/process/CrashTracker.h"
#include "gateway/process/CoordinationStore.h"
#include "wire/common/EventLoop.h"
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

class DecisionLog;

/// One key for each bar, under a lease as long as the bar. One box writes, all
/// read. Operators let a request through by a key of their own.
class BarKeeper {
public:
  using Bars = std::map<RequestDigest, RequestQuarantine>;

  BarKeeper(CoordinationStore &Store, DecisionLog &Log, std::string Prefix);
  BarKeeper(const BarKeeper &) = delete;
  BarKeeper &operator=(const BarKeeper &) = delete;

  struct News {
    Bars m_Bars; ///< Whose keys were not there before; without times.
    std::set<RequestDigest> m_LetThrough; ///< All.
  };
  /// What the store's keys say; \p Items are those of the whole prefix.
  News entriesChanged(const std::map<std::string, StoreItem> &Items);
  /// Brings the store's keys closer to \p Wanted, a few at a time.
  void write(const Bars &Wanted, TimePoint Now);

private:
  void put(LeaseId Lease, const Bars &Missing);
  void remove(const std::vector<RequestDigest> &Surplus);
  void transact(const StoreTransaction &Transaction);
  std::string keyOf(const RequestDigest &Request) const;

  CoordinationStore &m_Store;
  DecisionLog &m_Log;
  std::string m_Prefix;
  std::set<RequestDigest> m_Stored;
  bool m_Known = false; ///< The keys were read.
  bool m_Writing = false;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
