/// \file
/// Loses all boxes at once, and brings them back in many orders.
#ifndef HAVENSTAIR_TESTS_SOAK_RETURNINJECTOR_H
#define HAVENSTAIR_TESTS_SOAK_RETURNINJECTOR_H

#include "soak/SoakBox.h"
#include "soak/SoakEngine.h"
#include "soak/SoakSchedule.h"
#include <memory>
#include <random>
#include <vector>

namespace havenstair {

class ReturnInjector {
public:
  ReturnInjector(EventLoop &Loop, SoakOracle &Oracle,
                 std::vector<std::unique_ptr<SoakBox>> &Boxes,
                 std::vector<std::unique_ptr<SoakEngine>> &Engines)
      : m_Loop(Loop), m_Oracle(Oracle), m_Boxes(Boxes), m_Engines(Engines) {}

  /// Servers are lost with the boxes, and there with the first of them.
  void loseServersToo() { m_LosesServers = true; }
  bool losesServers() const { return m_LosesServers; }

  /// One box in four finds one of its ports taken at its return, for up to six
  /// seconds.
  void takePorts() { m_TakesPorts = true; }

  /// All boxes end, by SIGKILL or by SIGTERM, and come back from the fault's
  /// time on: at once or one after the other, drawn, weakest or strongest
  /// first.
  void strike(const ScheduledFault &Fault);

private:
  std::vector<SoakBox *> order(int Target) const;
  void takePortsAt(SoakBox &Box, std::mt19937_64 &Random) const;
  void look();

  EventLoop &m_Loop;
  SoakOracle &m_Oracle;
  std::vector<std::unique_ptr<SoakBox>> &m_Boxes;
  std::vector<std::unique_ptr<SoakEngine>> &m_Engines;
  bool m_LosesServers = false;
  bool m_TakesPorts = false;
  std::vector<int> m_LivesBefore;
  Timer m_Look;
};

} // namespace havenstair

#endif
