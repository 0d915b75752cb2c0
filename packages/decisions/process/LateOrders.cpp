#include "decisions/process/LateOrders.h"

namespace havenstair {

void LateOrders::add(const ResidencyOrder &Order, std::uint64_t Expected,
                     TimePoint Now) {
  m_Orders.push_back({.m_Order = Order, .m_Expected = Expected, .m_At = Now});
}

void LateOrders::expire(Duration MaxAge, TimePoint Now) {
  std::erase_if(m_Orders, [&](const LateOrder &Each) {
    return Now - Each.m_At > MaxAge;
  });
}

std::set<ResidencyOrder> LateOrders::loads(std::uint64_t Count) const {
  std::set<ResidencyOrder> Result;
  for (const LateOrder &Each : m_Orders)
    if (Each.m_Order.m_Load && Each.m_Expected >= Count)
      Result.insert(Each.m_Order);
  return Result;
}

std::size_t LateOrders::modelLoads() const {
  std::size_t Count = 0;
  for (const ResidencyOrder &Each : loads())
    Count += Each.m_Adapter.empty() ? 1 : 0;
  return Count;
}

} // namespace havenstair
