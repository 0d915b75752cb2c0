#include "wire/common/EventLoop.h"

#include "wire/common/Clock.h"
#include <algorithm>
#include <event2/event.h>
#include <stdexcept>
#include <utility>

namespace havenstair {

namespace {

/// Timers that became due while the machine was suspended run within this time
/// after its resumption.
constexpr Duration SuspensionCheckInterval = 100ms;

/// Shorter differences come from reading the two clocks one after the other,
/// and so short a suspension does no harm.
constexpr Duration MinSuspension = 20ms;

timeval toTimeval(Duration Time) {
  timeval Result{};
  Result.tv_sec = Time.count() / 1000000;
  Result.tv_usec = Time.count() % 1000000;
  return Result;
}

void runTimer(evutil_socket_t, short, void *Arg) {
  // The call is copied since it may destroy its own timer.
  const std::function<void()> Call = *static_cast<std::function<void()> *>(Arg);
  Call();
}

} // namespace

struct Timer::State {
  event *m_Event = nullptr;
  std::function<void()> m_Call;
  TimePoint m_Due{};
  std::weak_ptr<std::set<State *>>
      m_Pending; ///< The set that holds it, if any.

  ~State() {
    if (const auto All = m_Pending.lock())
      All->erase(this);
    if (m_Event != nullptr)
      event_free(m_Event);
  }
};

Timer::Timer() = default;
Timer::~Timer() = default;
Timer::Timer(Timer &&) noexcept = default;
Timer &Timer::operator=(Timer &&) noexcept = default;

EventLoop::EventLoop()
    : m_Base(event_base_new()),
      m_Pending(std::make_shared<std::set<Timer::State *>>()),
      m_SuspendedFor(Clock::suspendedFor()) {
  if (m_Base == nullptr)
    throw std::runtime_error("cannot create an event loop");
  m_DeferEvent = event_new(
      m_Base, -1, 0,
      [](evutil_socket_t, short, void *Arg) {
        static_cast<EventLoop *>(Arg)->runDeferred();
      },
      this);
  m_SuspensionTimer =
      every(SuspensionCheckInterval, [this] { rescheduleAfterSuspension(); });
}

EventLoop::~EventLoop() {
  m_SuspensionTimer = Timer();
  // The destructor of a call may defer another one.
  while (!m_Deferred.empty())
    std::exchange(m_Deferred, {});
  event_free(m_DeferEvent);
  event_base_free(m_Base);
}

void EventLoop::runDeferred() {
  std::vector<std::function<void()>> Calls;
  std::swap(Calls, m_Deferred);
  for (const std::function<void()> &Call : Calls)
    Call();
}

/// libevent's clock stops while the machine is suspended, so its timers fire
/// late by that time, but the deadlines of callers pass meanwhile.
void EventLoop::rescheduleAfterSuspension() {
  const Duration Before = m_SuspendedFor;
  m_SuspendedFor = Clock::suspendedFor();
  if (m_SuspendedFor - Before < MinSuspension)
    return;
  const TimePoint Now = now();
  for (Timer::State *Each : *m_Pending) {
    if (event_pending(Each->m_Event, EV_TIMEOUT, nullptr) == 0)
      continue;
    const timeval Left = toTimeval(std::max<Duration>(0us, Each->m_Due - Now));
    event_add(Each->m_Event, &Left);
  }
}

void EventLoop::run() { event_base_loop(m_Base, EVLOOP_NO_EXIT_ON_EMPTY); }

bool EventLoop::runUntil(const std::function<bool()> &Done, Duration Limit) {
  const TimePoint End = now() + Limit;
  bool Reached = Done();
  for (Duration Left = Limit; !Reached && Left > 0us; Left = End - now()) {
    // Wakes the loop at the limit even when nothing else happens. libevent's
    // clock is coarser, so that may be a little too early.
    const Timer Wake = after(Left, [] {});
    event_base_loop(m_Base, EVLOOP_ONCE);
    Reached = Done();
  }
  return Reached;
}

void EventLoop::stop() { event_base_loopbreak(m_Base); }

void EventLoop::defer(std::function<void()> Call) {
  m_Deferred.push_back(std::move(Call));
  const timeval Immediately{};
  event_add(m_DeferEvent, &Immediately);
}

Timer EventLoop::after(Duration Delay, std::function<void()> Call) {
  Timer Result;
  Result.m_State = std::make_unique<Timer::State>();
  Result.m_State->m_Call = std::move(Call);
  Result.m_State->m_Event =
      event_new(m_Base, -1, 0, runTimer, &Result.m_State->m_Call);
  Result.m_State->m_Due = now() + Delay;
  Result.m_State->m_Pending = m_Pending;
  m_Pending->insert(Result.m_State.get());
  const timeval Time = toTimeval(Delay);
  event_add(Result.m_State->m_Event, &Time);
  return Result;
}

Timer EventLoop::every(Duration Period, std::function<void()> Call) {
  Timer Result;
  Result.m_State = std::make_unique<Timer::State>();
  Result.m_State->m_Call = std::move(Call);
  Result.m_State->m_Event =
      event_new(m_Base, -1, EV_PERSIST, runTimer, &Result.m_State->m_Call);
  const timeval Time = toTimeval(Period);
  event_add(Result.m_State->m_Event, &Time);
  return Result;
}

Timer EventLoop::onSignal(int Number, std::function<void()> Call) {
  Timer Result;
  Result.m_State = std::make_unique<Timer::State>();
  Result.m_State->m_Call = std::move(Call);
  Result.m_State->m_Event =
      evsignal_new(m_Base, Number, runTimer, &Result.m_State->m_Call);
  event_add(Result.m_State->m_Event, nullptr);
  return Result;
}

TimePoint EventLoop::now() { return Clock::now(); }

WallMillis EventLoop::wallMillis() {
  const auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Since).count();
}

} // namespace havenstair
