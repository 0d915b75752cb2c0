#include "gateway/process/ListenerLog.h"

#include "gateway/common/DecisionLog.h"

namespace havenstair {

void ListenerLog::onReport(std::string_view Name,
                           const PortListener::Report &Now) {
  m_Listening[Name] = Now.listening();
  if (Now.listening() && Now.m_Tries == 1)
    return;
  m_Log.write(Now.listening() ? "listening" : "address_taken",
              {{"listener", Name},
               {"address", Now.m_Address.str()},
               {"tries", Now.m_Tries},
               {"waited_ms", Now.m_Waited / 1ms},
               {"why", Now.m_Obstacle}});
}

bool ListenerLog::listening(std::string_view Name) const {
  const auto Found = m_Listening.find(Name);
  return Found != m_Listening.end() && Found->second;
}

} // namespace havenstair
