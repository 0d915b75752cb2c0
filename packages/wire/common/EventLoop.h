/// \file
/// The one loop of a process: timers, deferred calls and the two clocks.
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

/// Cancels its timer when it is destroyed.
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
  /// \throws std::runtime_error when no base can be made.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs until stop().
  void run();
  /// Runs until \p Done or until \p Limit has passed. \returns \p Done's value.
  bool runUntil(const std::function<bool()> &Done, Duration Limit);
  void stop();

  /// Runs \p Call once in the next pass of the loop. What was not run when
  /// the loop is destroyed is destroyed unrun.
  void defer(std::function<void()> Call);
  /// Runs \p Call once after \p Delay, unless the timer is destroyed before. A
  /// time in which the machine is suspended counts.
  [[nodiscard]] Timer after(Duration Delay, std::function<void()> Call);
  /// Runs \p Call every \p Period while the timer lives and the machine runs.
  [[nodiscard]] Timer every(Duration Period, std::function<void()> Call);
  /// Runs \p Call on each arrival of the signal \p Number.
  [[nodiscard]] Timer onSignal(int Number, std::function<void()> Call);

  /// Time that never jumps back, nor stands still; never cached.
  static TimePoint now();
  static WallMillis wallMillis();

  event_base *base() const { return m_Base; }

private:
  void runDeferred();
  void noticeSuspension();

  event_base *m_Base;
  event *m_DeferEvent = nullptr;
  std::vector<std::function<void()>> m_Deferred;
  /// Timers that run once.
  std::shared_ptr<std::set<Timer::State *>> m_Pending;
  Duration m_SuspendedFor;
  Timer m_SuspensionTimer;
};

} // namespace havenstair

#endif
