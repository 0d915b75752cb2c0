#include "decisions/process/LoadTracker.h"

#include <algorithm>
#include <cmath>

namespace havenstair {

namespace {

/// Changes of pending work from this size on are published at once, before
/// other boxes choose an upstream.
constexpr double MinPublishedChangeMs = 25;

} // namespace

void LoadTracker::onSent(const InstanceId &To, double WorkMs, double Tokens) {
  m_Own[To] += {.m_Running = 1, .m_PendingMs = WorkMs, .m_Tokens = Tokens};
}

void LoadTracker::onFirstToken(const InstanceId &To, double WorkMs) {
  const auto Found = m_Own.find(To);
  if (Found == m_Own.end())
    return;
  double &Pending = Found->second.m_PendingMs;
  Pending = std::max(0.0, Pending - WorkMs);
}

void LoadTracker::onEnded(const InstanceId &To, double Tokens) {
  const auto Found = m_Own.find(To);
  if (Found == m_Own.end())
    return;
  InstanceLoad &Load = Found->second;
  Load.m_Tokens = std::max(0.0, Load.m_Tokens - Tokens);
  // Sums of fractions leave a remainder; with nothing running it is dropped.
  if (--Load.m_Running <= 0)
    m_Own.erase(Found);
}

void LoadTracker::receiveLoads(const BoxName &Box, InstanceLoads Loads,
                               TimePoint Now) {
  m_Reports[Box] = {.m_Loads = std::move(Loads), .m_At = Now};
}

void LoadTracker::apply(const InstanceLoads &Changes, InstanceLoads &To) {
  for (const auto &[Id, Load] : Changes) {
    if (Load == InstanceLoad{})
      To.erase(Id);
    else
      To[Id] = Load;
  }
}

void LoadTracker::receiveChanges(const BoxName &Box,
                                 const InstanceLoads &Changes, TimePoint Now) {
  const auto Found = m_Reports.find(Box);
  // Changes cannot be applied without the loads that they change.
  if (Found == m_Reports.end())
    return;
  Found->second.m_At = Now;
  apply(Changes, Found->second.m_Loads);
}

void LoadTracker::receiveAggregate(const BoxName &Box,
                                   const InstanceLoads &Changes, bool Whole,
                                   TimePoint Now) {
  PeerReport &Report = m_Reports[Box];
  if (Whole)
    Report.m_Loads.clear();
  Report.m_At = Now;
  Report.m_IncludesOwn = true;
  apply(Changes, Report.m_Loads);
}

void LoadTracker::onRestart(const InstanceId &Upstream) {
  m_Own.erase(Upstream);
  for (auto &[Box, Report] : m_Reports)
    Report.m_Loads.erase(Upstream);
}

InstanceLoads LoadTracker::takeChanges() {
  InstanceLoads Changes;
  for (const auto &[Id, Load] : m_Own) {
    const auto Before = m_Published.find(Id);
    const double Pending =
        Before == m_Published.end() ? 0 : Before->second.m_PendingMs;
    if (std::abs(Load.m_PendingMs - Pending) >= MinPublishedChangeMs)
      Changes[Id] = Load;
  }
  for (const auto &[Id, Load] : m_Published)
    if (!m_Own.contains(Id) && Load.m_PendingMs >= MinPublishedChangeMs)
      Changes[Id] = {};
  apply(Changes, m_Published);
  return Changes;
}

/// Load of \p Id through other boxes, by \p Report. An aggregate that was sent
/// before it could include what this box published last would leave a negative
/// rest; the load is then 0.
InstanceLoad LoadTracker::loadFromOthers(const PeerReport &Report,
                                         const InstanceId &Id) const {
  const auto Found = Report.m_Loads.find(Id);
  if (Found == Report.m_Loads.end())
    return {};
  InstanceLoad Result = Found->second;
  const auto Own = m_Published.find(Id);
  if (!Report.m_IncludesOwn || Own == m_Published.end())
    return Result;
  const InstanceLoad &Published = Own->second;
  Result.m_Running = std::max(0, Result.m_Running - Published.m_Running);
  Result.m_PendingMs =
      std::max(0.0, Result.m_PendingMs - Published.m_PendingMs);
  Result.m_Tokens = std::max(0.0, Result.m_Tokens - Published.m_Tokens);
  return Result;
}

InstanceLoad LoadTracker::load(const InstanceId &Upstream,
                               TimePoint Now) const {
  InstanceLoad Sum;
  if (const auto Own = m_Own.find(Upstream); Own != m_Own.end())
    Sum += Own->second;
  for (const auto &[Box, Report] : m_Reports)
    if (Now - Report.m_At <= ReportLifetime)
      Sum += loadFromOthers(Report, Upstream);
  return Sum;
}

InstanceLoads
LoadTracker::sum(const std::function<bool(const BoxName &)> &Counts,
                 TimePoint Now) const {
  InstanceLoads Sum = m_Own;
  for (const auto &[Box, Report] : m_Reports)
    if (Now - Report.m_At <= ReportLifetime && Counts(Box))
      for (const auto &[Id, Load] : Report.m_Loads)
        Sum[Id] += Load;
  return Sum;
}

} // namespace havenstair
