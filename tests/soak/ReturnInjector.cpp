#include "soak/ReturnInjector.h"

#include <algorithm>
#include <array>

namespace havenstair {

namespace {

enum class Order { Drawn, DrawnAgain, WeakestFirst, StrongestFirst };
constexpr std::array Orders{Order::Drawn, Order::DrawnAgain,
                            Order::WeakestFirst, Order::StrongestFirst};
constexpr std::array<Duration, 4> Gaps{40ms, 0ms, 15ms, 120ms};
/// One loss of this many is by SIGTERM.
constexpr int StopOneIn = 5;
constexpr Duration LookEvery = 10ms;
constexpr Duration ColdAfterPower = 2s;
constexpr int TakenOneIn = 4;
constexpr Duration LeastTaken = 100ms;
constexpr Duration MostTaken = 6s;

} // namespace

/// Boxes are numbered by their strength, the strongest first.
std::vector<SoakBox *> ReturnInjector::order(int Target) const {
  std::vector<SoakBox *> Result;
  for (const auto &Each : m_Boxes)
    Result.push_back(Each.get());
  const Order Of = Orders.at(static_cast<std::size_t>(Target) % Orders.size());
  if (Of == Order::WeakestFirst)
    std::reverse(Result.begin(), Result.end());
  else if (Of != Order::StrongestFirst)
    std::shuffle(Result.begin(), Result.end(),
                 std::mt19937_64(static_cast<std::uint64_t>(Target)));
  return Result;
}

void ReturnInjector::takePortsAt(SoakBox &Box, std::mt19937_64 &Random) const {
  if (!m_TakesPorts || Random() % TakenOneIn != 0)
    return;
  const std::array<int, 5> Ports = Box.ports().all();
  std::uniform_int_distribution<Duration::rep> Time(LeastTaken.count(),
                                                    MostTaken.count());
  const int Port = Ports.at(Random() % Ports.size());
  Box.takePort(Port, Duration(Time(Random)));
}

void ReturnInjector::strike(const ScheduledFault &Fault) {
  const auto Number = static_cast<std::size_t>(Fault.m_Target);
  const Duration Gap = Gaps.at(Number / Orders.size() % Gaps.size());
  const bool Stops = Fault.m_Target % StopOneIn == 0;
  m_Oracle.boxesLost(EventLoop::now());
  m_LivesBefore.clear();
  for (const auto &Each : m_Boxes)
    m_LivesBefore.push_back(Each->life());
  Duration Away = Fault.m_For;
  std::mt19937_64 Random(static_cast<std::uint64_t>(Fault.m_Target));
  for (SoakBox *Each : order(Fault.m_Target)) {
    if (Stops)
      Each->stop(Away);
    else
      Each->kill(Away);
    takePortsAt(*Each, Random);
    Away += Gap;
  }
  if (m_LosesServers)
    for (const auto &Each : m_Engines)
      Each->losePower(Fault.m_For, ColdAfterPower);
  m_Look = m_Loop.every(LookEvery, [this] { look(); });
}

void ReturnInjector::look() {
  for (std::size_t Index = 0; Index < m_Boxes.size(); ++Index)
    if (m_Boxes[Index]->life() == m_LivesBefore[Index])
      return;
  m_Look = Timer();
  m_Oracle.boxesBack(EventLoop::now());
}

} // namespace havenstair
