#include "soak/OrderOracle.h"

#include <algorithm>

namespace havenstair {

void OrderOracle::arrived(const OrderArrival &Order) {
  judgeToken(Order);
  if (!counts(Order))
    return;
  judgeTurn(Order);
  EngineHistory &History = m_Engines[Order.m_Engine];
  History.m_LastOf[Order.m_Holder] = Order.m_At;
  History.m_Highest = std::max(History.m_Highest, Order.m_Token);
}

/// Trouble that lasts does not excuse a giver: whoever has lost the store must
/// know when its turn is over. What trouble held up arrives when it ends.
bool OrderOracle::counts(const OrderArrival &Order) const {
  const TimePoint From = Order.m_At - m_Bounds.m_Thaw;
  const bool HeldUp =
      m_Trouble.healed(Order.m_Holder, From, Order.m_At) ||
      m_Trouble.healed(Order.m_Engine, From, Order.m_At) ||
      !m_Trouble.calm(Disturbances::Harness,
                      Order.m_At - m_Bounds.m_LeaderHandover, Order.m_At);
  // An engine that checks tokens guards itself against the others.
  const bool Guarded =
      Order.m_Fenced &&
      !m_Trouble.calm(Order.m_Holder, Order.m_At - m_Bounds.m_Contact,
                      Order.m_At);
  return !HeldUp && !Guarded;
}

void OrderOracle::judgeToken(const OrderArrival &Order) {
  const auto [Of, New] =
      m_HolderOfToken.try_emplace(Order.m_Token, Order.m_Holder);
  if (!New && Of->second != Order.m_Holder)
    m_Broken({Promise::FencingToken, Order.m_At, Order.m_Engine,
              Of->second + " and " + Order.m_Holder + " share the token " +
                  std::to_string(Order.m_Token)});
  const std::uint64_t Highest = m_Engines[Order.m_Engine].m_Highest;
  if (!Order.m_Fenced && Order.m_Token < Highest && counts(Order))
    m_Broken({Promise::FencingToken, Order.m_At, Order.m_Engine,
              Order.m_Holder + " orders with token " +
                  std::to_string(Order.m_Token) + " after " +
                  std::to_string(Highest)});
}

void OrderOracle::judgeTurn(const OrderArrival &Order) {
  for (const auto &[Holder, Last] : m_Engines[Order.m_Engine].m_LastOf)
    if (Holder != Order.m_Holder &&
        Order.m_At < Last + m_Bounds.m_LeaderHandover)
      m_Broken({Promise::OneGiver, Order.m_At, Order.m_Engine,
                Order.m_Holder + " orders " +
                    std::to_string((Order.m_At - Last) / 1ms) + " ms after " +
                    Holder});
}

void OrderOracle::begun(const OrderBegun &Order) {
  const bool Fits = Order.m_UsedMb <= Order.m_LimitMb &&
                    Order.m_Adapters <= Order.m_AdapterLimit;
  if (!Fits)
    m_Broken({Promise::EngineMemory, Order.m_At, Order.m_Engine,
              "ordered to hold " + std::to_string(Order.m_UsedMb) + " of " +
                  std::to_string(Order.m_LimitMb) + " MB and " +
                  std::to_string(Order.m_Adapters) + " of " +
                  std::to_string(Order.m_AdapterLimit) + " adapters"});
  if (Order.m_StoreLoad)
    judgeLoad(Order);
}

void OrderOracle::judgeLoad(const OrderBegun &Order) {
  const TimePoint From = Order.m_At - m_Bounds.m_Contact;
  const bool Counts = m_Trouble.calm(Disturbances::Store, From, Order.m_At) &&
                      m_Trouble.calm(Order.m_Engine, From, Order.m_At) &&
                      m_Trouble.calm(Disturbances::Harness, From, Order.m_At);
  if (!Counts)
    return;
  m_Loads.push_back(Order.m_At);
  while (m_Loads.front() <= Order.m_At - m_Bounds.m_LoadWindow)
    m_Loads.pop_front();
  const double Most = m_Bounds.m_LoadsPerSecond *
                          inSeconds(m_Bounds.m_LoadWindow) *
                          m_Bounds.m_LoadOverage +
                      m_Bounds.m_LoadAllowance;
  if (static_cast<double>(m_Loads.size()) > Most)
    m_Broken({Promise::StoreLoads, Order.m_At, Order.m_Engine,
              std::to_string(m_Loads.size()) +
                  " loads from the store in a window, allowed " +
                  std::to_string(Most)});
}

} // namespace havenstair
