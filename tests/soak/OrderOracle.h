/// \file
/// Judges orders to engines: who gives them, and what they lead to.
#ifndef HAVENSTAIR_TESTS_SOAK_ORDERORACLE_H
#define HAVENSTAIR_TESTS_SOAK_ORDERORACLE_H

#include "soak/Disturbances.h"
#include "soak/SoakBounds.h"
#include "soak/SoakEvents.h"
#include <deque>
#include <map>
#include <string>

namespace havenstair {

class OrderOracle {
public:
  OrderOracle(const SoakBounds &Bounds, const Disturbances &Trouble,
              VerdictHook Broken)
      : m_Bounds(Bounds), m_Trouble(Trouble), m_Broken(std::move(Broken)) {}

  void arrived(const OrderArrival &Order);
  void begun(const OrderBegun &Order);
  /// The engine starts again and remembers no orders.
  void forgot(const std::string &Engine) { m_Engines.erase(Engine); }

private:
  struct EngineHistory {
    std::map<std::string, TimePoint> m_LastOf; ///< By holder.
    std::uint64_t m_Highest = 0;
  };

  bool counts(const OrderArrival &Order) const;
  void judgeToken(const OrderArrival &Order);
  void judgeTurn(const OrderArrival &Order);
  void judgeLoad(const OrderBegun &Order);

  const SoakBounds &m_Bounds;
  const Disturbances &m_Trouble;
  VerdictHook m_Broken;
  std::map<std::string, EngineHistory> m_Engines;
  std::map<std::uint64_t, std::string> m_HolderOfToken;
  std::deque<TimePoint> m_Loads;
};

} // namespace havenstair

#endif
