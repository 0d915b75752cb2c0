/// \file
/// Releases of the servers' software.
#ifndef HAVENSTAIR_TESTS_SOAK_RELEASEINJECTOR_H
#define HAVENSTAIR_TESTS_SOAK_RELEASEINJECTOR_H

#include "soak/SoakEngine.h"
#include "soak/SoakSchedule.h"
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace havenstair {

class ReleaseInjector {
public:
  ReleaseInjector(EventLoop &Loop,
                  std::vector<std::unique_ptr<SoakEngine>> &Engines)
      : m_Loop(Loop), m_Engines(Engines) {}

  /// Servers of a new version start within the fault's time, under new ids, in
  /// the place of engines that are gone. With ReplaceVersion those of before
  /// leave, one for each that starts: every second one says so, the others just
  /// go.
  void strike(const ScheduledFault &Fault);

private:
  std::string nextVersion(const std::string &Service, int Target);
  void leave(SoakEngine &Engine, Duration After, bool Says);
  void later(Duration Delay, std::function<void()> Call);

  EventLoop &m_Loop;
  std::vector<std::unique_ptr<SoakEngine>> &m_Engines;
  std::map<std::string, int> m_Releases; ///< By service.
  std::list<Timer> m_Timers;
};

} // namespace havenstair

#endif
