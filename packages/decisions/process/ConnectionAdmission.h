/// \file
/// Decides whether a process takes a new connection or leaves it to others.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_CONNECTIONADMISSION_H
#define HAVENSTAIR_DECISIONS_PROCESS_CONNECTIONADMISSION_H

#include "decisions/common/Time.h"
#include <cstddef>

namespace havenstair {

/// Keeps what new connections bring within the processor time that the process
/// gets. What a request takes is learned from what requests took. A process
/// that keeps up, or that its capacity does not bind, takes all.
class ConnectionAdmission {
public:
  struct Options {
    /// Processor time that the process gets in a second, in seconds.
    double m_Capacity = 1;
  };
  /// The process at one moment.
  struct Sample {
    TimePoint m_At;
    Duration m_ProcessorTime{}; ///< Used since the process started.
    std::size_t m_Open = 0;     ///< Requests without an answer.
    double m_LateShare = 0;     ///< See LoopLateness.
  };

  explicit ConnectionAdmission(Options Opts);

  /// To be called some times a second.
  void sample(const Sample &Now);
  /// A request has come, or a connection that will bring one.
  void onRequest(TimePoint Now);

  /// Whether the next connection is to be accepted, by a process that is \p
  /// Behind with its work or not.
  bool admits(TimePoint Now, bool Behind);
  /// How long to accept no connection, once none is admitted.
  Duration pause(TimePoint Now);

  /// Processor time that a request takes.
  Duration cost() const;

private:
  /// Requests and their processor time in seconds, of which what is longer ago
  /// counts less.
  struct History {
    double m_Requests = 0;
    double m_Processor = 0;

    void age(Duration Passed, Duration Memory);
  };

  void learn(const Sample &Before);
  void refill(TimePoint Now);
  double refillRate() const;
  double burst() const;
  bool boundByCapacity(TimePoint Now) const;

  Options m_Opts;
  Sample m_Last;
  TimePoint m_RefilledAt{};
  double m_Budget;    ///< Seconds of processor time; may be below zero.
  double m_Begun = 0; ///< Requests since the last sample.
  /// Processor time a second, in seconds: all, and without requests.
  double m_Use = 0;
  double m_IdleUse = 0;
  TimePoint m_UsedAt{}; ///< When the capacity was last used for the most part.
  History m_Recent;
  History m_Long;
};

} // namespace havenstair

#endif
