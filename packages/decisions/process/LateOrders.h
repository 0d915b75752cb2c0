/// \file
/// Tracks orders without an answer, which an engine may still carry out.
/// See docs/design/lives.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LATEORDERS_H
#define HAVENSTAIR_DECISIONS_PROCESS_LATEORDERS_H

#include "decisions/common/Time.h"
#include "decisions/process/ResidencyOrder.h"
#include <cstdint>
#include <set>
#include <vector>

namespace havenstair {

/// An order without an answer may still arrive. The incarnation of the engine
/// that it was meant for is protected by its order count: once the count has
/// moved on, the order has no effect. A later incarnation under the same name
/// counts from 0 again, so the order may match once more. It is tracked here
/// until it is too old to arrive.
class LateOrders {
public:
  /// Records that a call with \p Order, which expects the order count \p
  /// Expected, ended without an answer.
  void add(const ResidencyOrder &Order, std::uint64_t Expected, TimePoint Now);
  /// Forgets calls that ended longer than \p MaxAge ago.
  void expire(Duration MaxAge, TimePoint Now);
  /// Loads that a later incarnation may carry out.
  std::set<ResidencyOrder> loads() const { return loads(0); }
  /// Loads that an incarnation whose order count is \p Count may still carry
  /// out.
  std::set<ResidencyOrder> loads(std::uint64_t Count) const;
  /// Number of loads() that load a model, not an adapter.
  std::size_t modelLoads() const;
  bool empty() const { return m_Orders.empty(); }

private:
  /// An order with the count that it expects and the time at which its call
  /// ended.
  struct LateOrder {
    ResidencyOrder m_Order;
    std::uint64_t m_Expected = 0;
    TimePoint m_At{};
  };

  std::vector<LateOrder> m_Orders;
};

} // namespace havenstair

#endif
