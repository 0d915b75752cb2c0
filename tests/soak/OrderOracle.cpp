#include "soak/OrderOracle.h"

#include <algorithm>

namespace havenstair {

void OrderOracle::ordered(const EngineOrderSeen &Order) {
  const bool Fits = Order.m_UsedMb <= Order.m_LimitMb &&
                    Order.m_Adapters <= Order.m_AdapterLimit;
  if (!Fits)
    m_Broken({Promise::EngineMemory, Order.m_At, Order.m_Engine,
              "ordered to hold " + std::to_string(Order.m_UsedMb) + " of " +
                  std::to_string(Order.m_LimitMb) + " MB and " +
                  std::to_string(Order.m_Adapters) + " of " +
                  std::to_string(Order.m_AdapterLimit) + " adapters"});
  judgeGiver(Order);
  if (Order.m_StoreLoad)
    judgeLoad(Order);
}

void OrderOracle::judgeGiver(const EngineOrderSeen &Order) {
  const auto [Of, New] =
      m_HolderOfToken.try_emplace(Order.m_Token, Order.m_Holder);
  if (!New && Of->second != Order.m_Holder)
    m_Broken({Promise::FencingToken, Order.m_At, Order.m_Engine,
              Of->second + " and " + Order.m_Holder + " share the token " +
                  std::to_string(Order.m_Token)});
  // Orders that trouble held up say nothing of who gives orders now.
  const TimePoint From = Order.m_At - m_Bounds.m_Thaw;
  const bool Counts = m_Trouble.calm(Order.m_Holder, From, Order.m_At) &&
                      m_Trouble.calm(Order.m_Engine, From, Order.m_At) &&
                      m_Trouble.calm(Disturbances::Harness, From, Order.m_At);
  if (!Counts)
    return;
  EngineHistory &History = m_Engines[Order.m_Engine];
  if (Order.m_Token < History.m_Highest)
    m_Broken({Promise::FencingToken, Order.m_At, Order.m_Engine,
              Order.m_Holder + " orders with token " +
                  std::to_string(Order.m_Token) + " after " +
                  std::to_string(History.m_Highest)});
  History.m_Highest = std::max(History.m_Highest, Order.m_Token);
  for (const auto &[Holder, Last] : History.m_LastOf)
    if (Holder != Order.m_Holder && Order.m_At < Last + m_Bounds.m_OrderTurn)
      m_Broken({Promise::OneGiver, Order.m_At, Order.m_Engine,
                Order.m_Holder + " orders " +
                    std::to_string((Order.m_At - Last) / 1ms) + " ms after " +
                    Holder});
  History.m_LastOf[Order.m_Holder] = Order.m_At;
}

void OrderOracle::judgeLoad(const EngineOrderSeen &Order) {
  const TimePoint From = Order.m_At - m_Bounds.m_Contact;
  const bool Counts = m_Trouble.calm(Disturbances::Store, From, Order.m_At) &&
                      m_Trouble.calm(Order.m_Engine, From, Order.m_At) &&
                      m_Trouble.calm(Disturbances::Harness, From, Order.m_At);
  if (!Counts)
    return;
  m_Loads.push_back(Order.m_At);
  while (m_Loads.front() <= Order.m_At - m_Bounds.m_LoadWindow)
    m_Loads.pop_front();
  const double Most = m_Bounds.m_LoadsPerS * inSeconds(m_Bounds.m_LoadWindow) *
                          m_Bounds.m_LoadOverage +
                      m_Bounds.m_LoadAllowance;
  if (static_cast<double>(m_Loads.size()) > Most)
    m_Broken({Promise::StoreLoads, Order.m_At, Order.m_Engine,
              std::to_string(m_Loads.size()) +
                  " loads from the store in a window, allowed " +
                  std::to_string(Most)});
}

} // namespace havenstair
