/// \file
/// Keeps callers' new connections within what the process can do.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_CONNECTIONGATE_H
#define HAVENSTAIR_GATEWAY_PROCESS_CONNECTIONGATE_H

#include "decisions/process/ConnectionAdmission.h"
#include "decisions/process/LoopLateness.h"
#include "wire/common/EventLoop.h"
#include <cstddef>

namespace havenstair {

class DecisionLog;

/// Applies ConnectionAdmission to the callers' address and logs its pauses.
class ConnectionGate {
public:
  /// \p Capacity is the processor time that the process gets in a second, in
  /// seconds.
  ConnectionGate(DecisionLog &Log, double Capacity,
                 const LoopLateness &Lateness);

  /// The process at one moment.
  struct Counts {
    Duration m_ProcessorTime{}; ///< Used since the start.
    std::size_t m_Open = 0;     ///< Requests without an answer.
    /// Connections since the start.
    std::size_t m_Accepted = 0;
    std::size_t m_ClosedUnread = 0;
  };

  /// To be called some times a second.
  void sample(TimePoint Now, const Counts &Counted);
  /// A connection has been accepted. \returns for how long to accept none;
  /// zero to go on.
  Duration onConnection(TimePoint Now);
  /// A request has come on a connection that has brought one before, or from
  /// another box.
  void onRequest(TimePoint Now) { m_Admission.onRequest(Now); }

  Duration cost() const { return m_Admission.cost(); }
  std::size_t pauses() const { return m_Pauses; }
  /// All pauses together.
  Duration paused() const { return m_Paused; }

private:
  void log(TimePoint Now, const Counts &Counted);

  DecisionLog &m_Log;
  const LoopLateness &m_Lateness;
  ConnectionAdmission m_Admission;
  std::size_t m_Pauses = 0;
  Duration m_Paused{};
  TimePoint m_LoggedAt{};
  std::size_t m_LoggedAccepted = 0;
  std::size_t m_LoggedClosed = 0;
  std::size_t m_LoggedPauses = 0;
  Duration m_LoggedPaused{};
};

} // namespace havenstair

#endif
