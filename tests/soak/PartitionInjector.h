/// \file
/// Cuts boxes off from all engines, and from no one else.
#ifndef HAVENSTAIR_TESTS_SOAK_PARTITIONINJECTOR_H
#define HAVENSTAIR_TESTS_SOAK_PARTITIONINJECTOR_H

#include "soak/SoakBox.h"
#include "soak/SoakEngine.h"
#include "soak/SoakSchedule.h"
#include <memory>
#include <string>
#include <vector>

namespace havenstair {

/// Tells boxes apart by the process that connects to an engine's proxy.
class PartitionInjector {
public:
  PartitionInjector(EventLoop &Loop, SoakOracle &Oracle,
                    std::vector<std::unique_ptr<SoakBox>> &Boxes,
                    std::vector<std::unique_ptr<SoakEngine>> &Engines)
      : m_Loop(Loop), m_Oracle(Oracle), m_Boxes(Boxes), m_Engines(Engines) {}

  /// Engines' proxies know from now on which box connects.
  void prepare();
  void strike(const ScheduledFault &Fault);

private:
  std::set<std::string> choose(int Target) const;
  std::string boxOf(const Endpoint &Client, const Endpoint &Server) const;
  void set(const std::set<std::string> &Boxes, LoopbackProxy::Partition Way);

  EventLoop &m_Loop;
  SoakOracle &m_Oracle;
  std::vector<std::unique_ptr<SoakBox>> &m_Boxes;
  std::vector<std::unique_ptr<SoakEngine>> &m_Engines;
  Timer m_Heal;
};

} // namespace havenstair

#endif
