#include "gateway/process/StoreCallLog.h"

#include "gateway/common/DecisionLog.h"
#include <utility>

namespace havenstair {

namespace {

constexpr Duration LogInterval = 10s;

} // namespace

StoreCallLog::StoreCallLog(EventLoop &Loop, DecisionLog &Log,
                           std::function<Role()> RoleNow)
    : m_Log(Log), m_RoleNow(std::move(RoleNow)) {
  m_Timer = Loop.every(LogInterval, [this] { write(); });
}

void StoreCallLog::called(std::string_view Call, std::string_view Subject) {
  std::string Name(Call);
  if (!Subject.empty())
    Name += " " + std::string(Subject);
  ++m_Calls[Name];
}

void StoreCallLog::write() {
  if (m_Calls.empty())
    return;
  const Role Now = m_RoleNow();
  m_Log.write("store_calls", {{"relay", Now.m_Relay},
                              {"giving", Now.m_Leading},
                              {"calls", std::exchange(m_Calls, {})}});
}

} // namespace havenstair
