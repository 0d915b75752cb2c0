/// \file
/// Counts this box's calls to the platform's store for the log.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_STORECALLLOG_H
#define HAVENSTAIR_GATEWAY_PROCESS_STORECALLLOG_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace havenstair {

class DecisionLog;

/// Calls by kind and subject since they were last written.
class StoreCallLog {
public:
  void called(std::string_view Call, std::string_view Subject);
  /// Writes one line, if there were any, with the part that this box plays.
  void write(DecisionLog &Log, bool Relay, bool Giving);

private:
  std::map<std::string, std::uint64_t> m_Calls;
};

} // namespace havenstair

#endif
