/// \file
/// Counts calls to the store, for the log.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_STORECALLLOG_H
#define HAVENSTAIR_GATEWAY_PROCESS_STORECALLLOG_H

#include "wire/common/EventLoop.h"
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace havenstair {

class DecisionLog;

/// Counts calls and logs the counts at an interval, when there were any.
class StoreCallLog {
public:
  /// The roles of the box, which determine how many calls it makes.
  struct Role {
    bool m_Relay = false;
    bool m_Leading = false; ///< Leads, that is, sends orders to engines.
  };

  StoreCallLog(EventLoop &Loop, DecisionLog &Log,
               std::function<Role()> RoleNow);
  StoreCallLog(const StoreCallLog &) = delete;
  StoreCallLog &operator=(const StoreCallLog &) = delete;

  /// Counts a call. \p Call names its kind; \p Subject is its key prefix, empty
  /// for calls without one.
  void called(std::string_view Call, std::string_view Subject);

private:
  void write();

  DecisionLog &m_Log;
  std::function<Role()> m_RoleNow;
  /// Calls since the last line, by kind and prefix.
  std::map<std::string, std::uint64_t> m_Calls;
  Timer m_Timer;
};

} // namespace havenstair

#endif
