/// \file
/// Plays a schedule of faults on the parts of a soak.
#ifndef HAVENSTAIR_TESTS_SOAK_FAULTINJECTOR_H
#define HAVENSTAIR_TESTS_SOAK_FAULTINJECTOR_H

#include "soak/PartitionInjector.h"
#include "soak/ReleaseInjector.h"
#include "soak/ReturnInjector.h"
#include "soak/SoakBox.h"
#include "soak/SoakConfig.h"
#include "soak/SoakEngine.h"
#include "soak/SoakSchedule.h"
#include "standin/StandinStore.h"
#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace havenstair {

class FaultInjector {
public:
  /// What faults strike.
  struct Parts {
    EventLoop &m_Loop;
    SoakOracle &m_Oracle;
    StandinStore &m_Store;
    SoakConfig &m_Config;
    std::vector<std::unique_ptr<SoakBox>> &m_Boxes;
    std::vector<std::unique_ptr<SoakEngine>> &m_Engines;
  };

  explicit FaultInjector(Parts On)
      : m_On(On),
        m_Partitions(On.m_Loop, On.m_Oracle, On.m_Boxes, On.m_Engines),
        m_Returns(On.m_Loop, On.m_Oracle, On.m_Boxes, On.m_Engines),
        m_Releases(On.m_Loop, On.m_Engines) {}

  PartitionInjector &partitions() { return m_Partitions; }
  ReturnInjector &returns() { return m_Returns; }

  void strike(const ScheduledFault &Fault);

private:
  using Call = std::function<void()>;

  void strikeBox(const ScheduledFault &Fault, SoakBox &Box);
  void strikeStoreLink(const ScheduledFault &Fault, SoakBox &Box);
  void strikePeerLink(const ScheduledFault &Fault, SoakBox &Box);
  void strikeStore(const ScheduledFault &Fault);
  void restoreStore(const ScheduledFault &Fault);
  void strikeEngine(const ScheduledFault &Fault, SoakEngine &Engine);
  void strikeWords(const ScheduledFault &Fault, SoakEngine &Engine);
  void strikeService(const ScheduledFault &Fault);
  void pauseServer(const ScheduledFault &Fault, SoakEngine &Engine);
  void strikeEngineLink(const ScheduledFault &Fault, SoakEngine &Engine);
  void strikeKeys(const ScheduledFault &Fault);
  void strikeWaysOfConfig(const ScheduledFault &Fault, SoakBox &Box);

  /// Notes trouble of \p Subject while it lasts; \p Undo ends it.
  void trouble(const std::string &Subject, Duration For, Call Undo);
  void later(Duration Delay, Call Undo);
  /// Calls \p Set with true now, and with false when the last of the spans
  /// that overlap has ended.
  void hold(const void *Part, SoakFault Kind, Duration For,
            const std::function<void(bool)> &Set);
  void applyStoreFault();

  Parts m_On;
  PartitionInjector m_Partitions;
  ReturnInjector m_Returns;
  ReleaseInjector m_Releases;
  std::map<std::pair<const void *, SoakFault>, int> m_Holding;
  int m_Down = 0;
  int m_Silent = 0;
  int m_Rubbish = 0;
  std::list<Timer> m_Timers;
};

} // namespace havenstair

#endif
