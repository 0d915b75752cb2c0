/// \file
/// Tells on which of its addresses a box listens.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LISTENERLOG_H
#define HAVENSTAIR_GATEWAY_PROCESS_LISTENERLOG_H

#include "wire/common/PortListener.h"
#include <map>
#include <string_view>

namespace havenstair {

class DecisionLog;

/// The addresses of a box, as lines and metrics name them.
namespace listener {
constexpr std::string_view Callers = "callers";
constexpr std::string_view Readiness = "readiness";
constexpr std::string_view Metrics = "metrics";
constexpr std::string_view Peers = "peers";
constexpr std::string_view Passing = "passing";
} // namespace listener

/// Remembers how it stands with each address, and logs those that are taken.
class ListenerLog {
public:
  explicit ListenerLog(DecisionLog &Log) : m_Log(Log) {}

  void onReport(std::string_view Name, const PortListener::Report &Now);
  bool listening(std::string_view Name) const;
  /// By name, whether the box listens there.
  const std::map<std::string_view, bool> &all() const { return m_Listening; }

private:
  DecisionLog &m_Log;
  std::map<std::string_view, bool> m_Listening;
};

} // namespace havenstair

#endif
