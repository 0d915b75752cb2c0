/// \file
/// A fleet before upstreams that crash when they reject too many requests.
#ifndef HAVENSTAIR_TESTS_GATEWAY_BRITTLEUPSTREAMS_H
#define HAVENSTAIR_TESTS_GATEWAY_BRITTLEUPSTREAMS_H

#include "gateway/UpstreamSignalsFleet.h"

#include <deque>

namespace havenstair {

/// A runner with slots and a queue. It crashes when it rejects more than
/// `m_MaxRefusals` requests in a second.
struct BrittleRunner {
  int m_MaxRefusals = 3;
  std::size_t m_Slots = 8; ///< As listed.
  std::size_t m_Room = 6;  ///< Requests that may wait.
  Duration m_Work = 250ms;
  Duration m_DownTime = 2s;

  std::vector<std::pair<StandinRunner::Request, StandinRunner::ConnectionPtr>>
      m_Running;
  std::deque<std::pair<StandinRunner::Request, StandinRunner::ConnectionPtr>>
      m_Waiting;
  std::deque<TimePoint> m_Refusals;
  std::deque<Timer> m_Timers;
  std::optional<TimePoint> m_DownUntil;
  int m_Life = 0;
  int m_Crashes = 0;
  int m_Served = 0;
  int m_Refused = 0;
};

/// Runners that state that they are brittle in all their answers, and let fewer
/// requests wait from 3 s after the first of these answers.
class BrittleUpstreams : public UpstreamSignalsFleet {
public:
  static constexpr Duration ContactThreshold = 3s;

  BrittleUpstreams(std::size_t Boxes, std::size_t Runners, int MaxRefusals)
      : UpstreamSignalsFleet(Boxes) {
    for (std::size_t Number = 0; Number < Runners; ++Number)
      addBrittleRunner("brittle-" + std::to_string(Number), MaxRefusals);
    untilAllReady();
  }

  /// The crashes that a service of these runners may have.
  double allowedCrashes() const {
    return 2 + 0.1 * static_cast<double>(m_Brittle.size());
  }
  int crashes() const {
    return sum([](const BrittleRunner &Each) { return Each.m_Crashes; });
  }
  int served() const {
    return sum([](const BrittleRunner &Each) { return Each.m_Served; });
  }
  int refused() const {
    return sum([](const BrittleRunner &Each) { return Each.m_Refused; });
  }
  /// Requests that all runners together can run in \p Time.
  double capacity(Duration Time) const {
    double Result = 0;
    for (const auto &[Id, Each] : m_Brittle)
      Result += static_cast<double>(Each.m_Slots) * inSeconds(Time) /
                inSeconds(Each.m_Work);
    return Result;
  }

  /// Sends requests through random boxes at \p PerSecond, and \p Burst at once
  /// each second. Callers that are refused try again at once, one time.
  FleetOutcome load(Duration For, int PerSecond, int Burst = 0) {
    FleetOutcome Result;
    int Open = 0;
    std::uint64_t Draw = 1;
    std::function<void(bool)> Send = [&](bool First) {
      Draw = Draw * 6364136223846793005ULL + 1442695040888963407ULL;
      const Gateway &Box = *m_Boxes[(Draw >> 33U) % m_Boxes.size()];
      ++Open;
      m_Http.fetch(callTo(Box, "/safe/x", "id-" + std::to_string(++m_Ids)),
                   [&, First](const HttpAnswer &Answer) {
                     --Open;
                     if (Answer.m_Status == 200)
                       ++Result.m_Served;
                     else if (Answer.m_Status == 503)
                       ++Result.m_RetryLater;
                     else
                       ++Result.m_Other;
                     if (First && Answer.m_Status == 503)
                       Send(false);
                   });
    };
    {
      const Timer Steady =
          m_Loop.every(Duration(1s) / PerSecond, [&] { Send(true); });
      const Timer Bursts = m_Loop.every(1s, [&] {
        for (int Count = 0; Count < Burst; ++Count)
          Send(true);
      });
      wait(For);
    }
    REQUIRE(until([&] { return Open == 0; }));
    return Result;
  }

  void crash(BrittleRunner &Of) {
    ++Of.m_Life;
    Of.m_DownUntil = EventLoop::now() + Of.m_DownTime;
    for (const auto &[Request, To] : Of.m_Running)
      To->reset();
    for (const auto &[Request, To] : Of.m_Waiting)
      To->reset();
    Of.m_Running.clear();
    Of.m_Waiting.clear();
    Of.m_Refusals.clear();
  }

  std::map<InstanceId, BrittleRunner> m_Brittle;

private:
  int sum(const std::function<int(const BrittleRunner &)> &Value) const {
    int Result = 0;
    for (const auto &[Id, Each] : m_Brittle)
      Result += Value(Each);
    return Result;
  }

  void addBrittleRunner(const InstanceId &Id, int MaxRefusals) {
    m_Brittle[Id].m_MaxRefusals = MaxRefusals;
    addRunner(Id, [this, Id](const Request &Of, const ConnectionPtr &To) {
      onRequest(m_Brittle[Id], Of, To);
    });
  }

  static std::string signal(const BrittleRunner &Of) {
    return "Server-Brittle: " + std::to_string(Of.m_MaxRefusals) + "\r\n";
  }

  std::size_t room(const BrittleRunner &Of, TimePoint Now) {
    m_Since = m_Since.value_or(Now);
    return Now - *m_Since < ContactThreshold ? Of.m_Room : 0;
  }

  void onRequest(BrittleRunner &At, const Request &Of,
                 const ConnectionPtr &To) {
    const TimePoint Now = EventLoop::now();
    if (At.m_DownUntil && Now < *At.m_DownUntil)
      return To->reset();
    if (Of.m_Method != "POST")
      return To->write(StandinRunner::answer(Of, 200, "", signal(At)));
    if (At.m_Running.size() < At.m_Slots)
      return run(At, Of, To);
    if (At.m_Waiting.size() < room(At, Now))
      return At.m_Waiting.emplace_back(Of, To), void();
    reject(At, Of, To, Now);
  }

  void run(BrittleRunner &At, const Request &Of, const ConnectionPtr &To) {
    At.m_Running.emplace_back(Of, To);
    At.m_Timers.push_back(
        m_Loop.after(At.m_Work, [this, &At, To, Life = At.m_Life] {
          if (Life == At.m_Life)
            finish(At, To);
        }));
  }

  void finish(BrittleRunner &At, const ConnectionPtr &To) {
    const auto Found =
        std::find_if(At.m_Running.begin(), At.m_Running.end(),
                     [&](const auto &Each) { return Each.second == To; });
    To->write(StandinRunner::answer(Found->first, 200, "body", signal(At)));
    At.m_Running.erase(Found);
    ++At.m_Served;
    if (At.m_Waiting.empty())
      return;
    const auto Next = At.m_Waiting.front();
    At.m_Waiting.pop_front();
    run(At, Next.first, Next.second);
  }

  void reject(BrittleRunner &At, const Request &Of, const ConnectionPtr &To,
              TimePoint Now) {
    ++At.m_Refused;
    At.m_Refusals.push_back(Now);
    while (Now - At.m_Refusals.front() >= 1s)
      At.m_Refusals.pop_front();
    if (At.m_Refusals.size() > static_cast<std::size_t>(At.m_MaxRefusals)) {
      To->reset();
      ++At.m_Crashes;
      return crash(At);
    }
    To->write(StandinRunner::answer(
        Of, 503, "", signal(At) + "X-Request-Not-Executed: 1\r\n"));
  }

  std::optional<TimePoint> m_Since; ///< Of the first request that had to wait.
};

} // namespace havenstair

#endif
