/// \file
/// Structured log with one line for each decision.
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

/// Writes JSON lines into a bounded buffer that the event loop flushes. It
/// never blocks: lines that do not fit into the buffer, or exceed the limit of
/// their kind in a second, are dropped and counted.
class DecisionLog {
public:
  struct Options {
    int m_Descriptor = 1; ///< Standard output.
    std::size_t m_MaxBufferedBytes = 512 << 10;
    /// Limit for lines of one kind in a second.
    int m_MaxLinesPerSecond = 100;
  };
  /// Names and values of a line.
  using Fields = std::initializer_list<std::pair<std::string_view, Json>>;

  DecisionLog(EventLoop &Loop, Options Opts);
  ~DecisionLog();
  DecisionLog(const DecisionLog &) = delete;
  DecisionLog &operator=(const DecisionLog &) = delete;

  /// Adds a line of the kind \p Event, or drops it.
  void write(std::string_view Event, Fields Values);
  /// \returns how many lines have been dropped since the start.
  std::uint64_t droppedLines() const { return m_Dropped; }

private:
  /// Lines of one kind in the current second.
  struct Window {
    std::int64_t m_Second = 0;
    int m_Lines = 0;
    std::uint64_t m_Dropped = 0;
  };

  bool admit(std::string_view Event, TimePoint Now);
  void append(std::string_view Event, Json Line, TimePoint Now);
  void flush();
  void flushLater(Duration Delay);

  EventLoop &m_Loop;
  Options m_Opts;
  TimePoint m_Start;
  std::map<std::string, Window, std::less<>> m_Windows;
  std::string m_Buffer;
  std::uint64_t m_Dropped = 0;
  bool m_FlushDue = false;
  Timer m_Timer;
};

} // namespace havenstair

#endif
