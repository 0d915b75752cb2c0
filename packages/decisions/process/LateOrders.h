/// \file
/// Orders without an answer that an engine may still carry out.
/// See docs/design/lives.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LATEORDERS_H
#define HAVENSTAIR_DECISIONS_PROCESS_LATEORDERS_H

#include "decisions/common/Time.h"
#include "decisions/process/ResidencyOrder.h"
#include <cstdint>
#include <set>
#include <vector>

namespace havenstair {

/// An order that got no answer may arrive later. The start of an engine that it
/// was meant for is guarded by its count: once that has moved on, the order
/// does nothing. A later start under the same name counts from 0 again, so that
/// the order may fit once more. It is known here until its longest lateness is
/// over.
class LateOrders {
public:
  /// A call with \p Order, which expects \p Expected orders before it, ended
  /// without an answer.
  void add(const ResidencyOrder &Order, std::uint64_t Expected, TimePoint Now);
  /// Forgets calls that ended longer than \p Life ago.
  void expire(Duration Life, TimePoint Now);
  /// Loads that a later start may carry out.
  std::set<ResidencyOrder> loads() const { return loads(0); }
  /// Loads that a start which has taken \p Count orders may still carry out.
  std::set<ResidencyOrder> loads(std::uint64_t Count) const;
  /// Those of them that load a model.
  std::size_t modelLoads() const;
  bool empty() const { return m_Orders.empty(); }

private:
  struct LateOrder {
    ResidencyOrder m_Order;
    std::uint64_t m_Expected = 0;
    TimePoint m_At{};
  };

  std::vector<LateOrder> m_Orders;
};

} // namespace havenstair

#endif
