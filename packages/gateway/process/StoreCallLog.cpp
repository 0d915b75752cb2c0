#include "gateway/process/StoreCallLog.h"

#include "gateway/common/DecisionLog.h"
#include <utility>

namespace havenstair {

void StoreCallLog::called(std::string_view Call, std::string_view Subject) {
  std::string Name(Call);
  if (!Subject.empty())
    Name += " " + std::string(Subject);
  ++m_Calls[Name];
}

void StoreCallLog::write(DecisionLog &Log, bool Relay, bool Giving) {
  if (m_Calls.empty())
    return;
  Log.write("store_calls", {{"relay", Relay},
                            {"giving", Giving},
                            {"calls", std::exchange(m_Calls, {})}});
}

} // namespace havenstair
