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

/// Writes a line now and then, when there were calls.
class StoreCallLog {
public:
  /// What the box does, which its calls depend on.
  struct Role {
    bool m_Relay = false;
    bool m_Leading = false; ///< Orders to engines.
  };

  StoreCallLog(EventLoop &Loop, DecisionLog &Log,
               std::function<Role()> RoleNow);
  StoreCallLog(const StoreCallLog &) = delete;
  StoreCallLog &operator=(const StoreCallLog &) = delete;

  /// \p Subject is the call's prefix, or empty.
  void called(std::string_view Call, std::string_view Subject);

private:
  void write();

  DecisionLog &m_Log;
  std::function<Role()> m_RoleNow;
  std::map<std::string, std::uint64_t> m_Calls; ///< Since the last line.
  Timer m_Timer;
};

} // namespace havenstair

#endif
