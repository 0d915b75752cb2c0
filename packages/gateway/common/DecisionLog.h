/// \file
/// Structured log lines on standard output, one for each decision.
#ifndef HAVENSTAIR_GATEWAY_COMMON_DECISIONLOG_H
#define HAVENSTAIR_GATEWAY_COMMON_DECISIONLOG_H

#include "wire/common/EventLoop.h"
#include "wire/common/Json.h"
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace havenstair {

/// Writes JSON lines into a bounded buffer that the loop empties. It never
/// blocks: what does not fit, or passes the bound of its kind in a second, is
/// left out and counted.
class DecisionLog {
public:
  struct Options {
    int m_Descriptor = 1;
    std::size_t m_MostBuffered = 512 << 10;
    /// Lines of one kind in a second.
    int m_PerKindAndSecond = 100;
  };
  using Fields = std::initializer_list<std::pair<std::string_view, Json>>;

  DecisionLog(EventLoop &Loop, Options Opts);
  ~DecisionLog();
  DecisionLog(const DecisionLog &) = delete;
  DecisionLog &operator=(const DecisionLog &) = delete;

  /// Adds a line of the kind \p Event.
  void write(std::string_view Event, Fields Values);
  std::uint64_t leftOut() const { return m_LeftOut; }

private:
  struct Window {
    std::int64_t m_Second = 0;
    int m_Lines = 0;
    std::uint64_t m_LeftOut = 0;
  };

  bool allowed(std::string_view Event, TimePoint Now);
  void append(std::string_view Event, Json Line, TimePoint Now);
  void flush();
  void flushLater(Duration Delay);

  EventLoop &m_Loop;
  Options m_Opts;
  TimePoint m_Start;
  std::map<std::string, Window, std::less<>> m_Windows;
  std::string m_Buffer;
  std::uint64_t m_LeftOut = 0;
  bool m_FlushDue = false;
  Timer m_Timer;
};

} // namespace havenstair

#endif
