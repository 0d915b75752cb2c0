#include "decisions/process/RoomLedger.h"

#include <algorithm>
#include <cmath>

namespace havenstair {

namespace {

/// Fraction of the refusals that an upstream bears which may be caused before
/// nothing is sent to it: those on their way come in addition.
constexpr double BudgetFraction = 0.5;

/// Time between two increases of the limit.
constexpr Duration GrowthInterval = 250ms;

/// Fractions of the slots, and of the refusals that an upstream bears, by which
/// the limit increases at most.
constexpr int SlotsPerStep = 16;
constexpr double StepFraction = 0.25;

/// Comparisons with reported loads that must agree before one is believed.
constexpr std::size_t ReconcilingSamples = 3;

/// Requests that reported loads may lack always: one, and those that end within
/// the time in which permits and reports are on their way.
constexpr int ToleratedExcess = 1;
constexpr double ReportDelayInSeconds = 0.04;

/// Longest time after which a caller is told to retry.
constexpr Duration MaxRetryAfter = 30s;

void dropUntil(std::deque<TimePoint> &Times, TimePoint Until) {
  while (!Times.empty() && Times.front() <= Until)
    Times.pop_front();
}

} // namespace

RoomLedger::RoomLedger(const RoomBound &Bound, int InFlight)
    : m_Bound(Bound), m_InFlight(InFlight),
      m_Limit(std::max(1, Bound.m_Slots)) {}

void RoomLedger::setBound(const RoomBound &Bound) {
  m_Bound = Bound;
  m_Limit = std::min(m_Limit, std::max(1, Bound.m_Slots));
}

std::size_t RoomLedger::refusalBudget() const {
  const double Budget =
      std::floor(BudgetFraction * m_Bound.m_RefusalsPerSecond);
  return static_cast<std::size_t>(std::max(1.0, Budget));
}

void RoomLedger::advance(TimePoint Now) {
  dropUntil(m_Refusals, Now - Window);
  dropUntil(m_Sends, Now - SettlingTime);
  dropUntil(m_Ends, Now - 1s);
  if (Now < m_GrowsAt || m_Limit >= m_Bound.m_Slots)
    return;
  const int BySlots = m_Bound.m_Slots / SlotsPerStep;
  const int ByRefusals =
      static_cast<int>(StepFraction * m_Bound.m_RefusalsPerSecond);
  m_Limit = std::min(m_Bound.m_Slots,
                     m_Limit + std::max(1, std::min(BySlots, ByRefusals)));
  m_GrowsAt = Now + GrowthInterval;
}

/// After a refusal, no more requests are sent before they are known to be
/// accepted than may be refused as well.
bool RoomLedger::hasRoom(TimePoint Now) {
  advance(Now);
  if (m_InFlight >= m_Limit)
    return false;
  return m_Refusals.empty() ||
         m_Refusals.size() + m_Sends.size() < refusalBudget();
}

void RoomLedger::recordSend(TimePoint Now) {
  ++m_InFlight;
  m_Sends.push_back(Now);
}

void RoomLedger::recordEnd(bool Refused, TimePoint Now) {
  advance(Now);
  const int Accepted = std::max(0, m_InFlight - 1);
  m_InFlight = Accepted;
  if (!Refused) {
    m_Ends.push_back(Now);
    return;
  }
  m_Refusals.push_back(Now);
  // It was among the latest sends, as a refusal comes at once.
  if (!m_Sends.empty())
    m_Sends.pop_front();
  m_Limit = std::clamp(Accepted, 1, m_Limit);
  m_GrowsAt = Now + Window;
}

void RoomLedger::reconcile(int Running) {
  m_Excess.push_back(m_InFlight - Running);
  if (m_Excess.size() > ReconcilingSamples)
    m_Excess.pop_front();
  if (m_Excess.size() < ReconcilingSamples)
    return;
  const auto [Least, Most] =
      std::minmax_element(m_Excess.begin(), m_Excess.end());
  const int Tolerated =
      ToleratedExcess + static_cast<int>(ReportDelayInSeconds *
                                         static_cast<double>(m_Ends.size()));
  const int Lacking = std::max(0, -*Most);
  const int Surplus = std::max(0, *Least - Tolerated);
  if (Lacking == 0 && Surplus == 0)
    return;
  m_InFlight += Lacking - Surplus;
  m_Excess.clear();
}

TimePoint RoomLedger::nextRetryAt(TimePoint Now) {
  advance(Now);
  const Duration Interval =
      Duration(1s) /
      static_cast<Duration::rep>(std::max<std::size_t>(1, m_Ends.size()));
  const TimePoint First =
      m_Refusals.size() < refusalBudget() ? Now : m_Refusals.front() + Window;
  m_NextRetryAt =
      std::min(std::max(m_NextRetryAt, First) + Interval, Now + MaxRetryAfter);
  return m_NextRetryAt;
}

} // namespace havenstair
