/// \file
/// The event loop of a process: timers, deferred calls and the two clocks.
#ifndef HAVENSTAIR_WIRE_COMMON_EVENTLOOP_H
#define HAVENSTAIR_WIRE_COMMON_EVENTLOOP_H

#include "decisions/common/Time.h"
#include <functional>
#include <memory>
#include <set>
#include <vector>

struct event_base;
struct event;

namespace havenstair {

/// Handle of a timer, which is cancelled when the handle is destroyed.
class Timer {
public:
  Timer();
  ~Timer();
  Timer(Timer &&) noexcept;
  Timer &operator=(Timer &&) noexcept;

private:
  friend class EventLoop;
  struct State;
  std::unique_ptr<State> m_State;
};

/// Wraps a libevent base. All callbacks run on the thread that calls run().
class EventLoop {
public:
  /// \throws std::runtime_error when libevent cannot create a base.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs until stop().
  void run();
  /// Runs until \p Done returns true or \p Limit has passed. \returns the last
  /// result of \p Done.
  bool runUntil(const std::function<bool()> &Done, Duration Limit);
  void stop();

  /// Runs \p Call once in the next pass of the loop. Calls that are pending
  /// when the loop is destroyed do not run.
  void defer(std::function<void()> Call);
  /// Runs \p Call once after \p Delay, unless the timer is destroyed before.
  /// Time in which the machine is suspended counts.
  [[nodiscard]] Timer after(Duration Delay, std::function<void()> Call);
  /// Runs \p Call every \p Period until the timer is destroyed. Time in which
  /// the machine is suspended does not count.
  [[nodiscard]] Timer every(Duration Period, std::function<void()> Call);
  /// Runs \p Call on each arrival of the signal \p Number.
  [[nodiscard]] Timer onSignal(int Number, std::function<void()> Call);

  /// The time of Clock, which never goes back; read anew at each call.
  static TimePoint now();
  /// The time of day, in milliseconds since the Unix epoch.
  static WallMillis wallMillis();

  event_base *base() const { return m_Base; }

private:
  void runDeferred();
  void rescheduleAfterSuspension();

  event_base *m_Base;
  event *m_DeferEvent = nullptr;
  std::vector<std::function<void()>> m_Deferred;
  /// Timers of after() that have not been destroyed.
  std::shared_ptr<std::set<Timer::State *>> m_Pending;
  Duration m_SuspendedFor; ///< Clock::suspendedFor() at the last check.
  Timer m_SuspensionTimer;
};

} // namespace havenstair

#endif
