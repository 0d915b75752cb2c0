#include "gateway/process/ReportPoller.h"

#include "wire/common/EventLoop.h"
#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

constexpr Duration ReportInterval = 120ms;
/// Most report calls in flight. An answer takes some milliseconds, and a box
/// that asks thousands of engines at once does nothing else.
constexpr std::size_t MaxPendingReports = 64;
constexpr Duration ReportRetryDelay = 400ms;

bool reportDue(const ManagedEngine &Engine, TimePoint Now) {
  return !Engine.m_ReportPending && Engine.m_Ledger.needsReport() &&
         !Engine.m_Ledger.awaitsAnswer() && Now >= Engine.m_NextReport;
}

std::size_t pendingReports(const ManagedEngines &Engines) {
  return static_cast<std::size_t>(std::count_if(
      Engines.all().begin(), Engines.all().end(),
      [](const auto &Each) { return Each.second.m_ReportPending; }));
}

} // namespace

ReportPoller::ReportPoller(EngineControl &Control,
                           const LeaderElection &Election,
                           ManagedEngines &Engines, Recorded Callback)
    : m_Control(Control), m_Election(Election), m_Engines(Engines),
      m_Recorded(std::move(Callback)) {}

void ReportPoller::poll(TimePoint Now) {
  // A report from before the former leader's last order may be outdated by that
  // order.
  if (Now < m_Engines.reportsCurrentFrom())
    return;
  std::size_t Pending = pendingReports(m_Engines);
  // Known engines first: an unknown one only delays what might be planned
  // there.
  for (const bool Known : {true, false})
    for (auto &[Id, Each] : m_Engines.all()) {
      if (Each.m_Ledger.known() != Known || !reportDue(Each, Now) ||
          Pending >= MaxPendingReports)
        continue;
      ++Pending;
      request(Id, Each, Now);
    }
}

void ReportPoller::request(const InstanceId &Id, ManagedEngine &Engine,
                           TimePoint Now) {
  const UpstreamInstance *Entry = m_Engines.listed(Id);
  if (Entry == nullptr)
    return;
  Engine.m_ReportPending = true;
  Engine.m_NextReport = Now + ReportInterval;
  m_Control.report(*Entry, [this, Id, Term = m_Election.term(),
                            Now](const std::optional<ResidencyReport> &Report) {
    if (m_Election.leadsIn(Term))
      onReport(Id, Report, Now);
  });
}

void ReportPoller::onReport(const InstanceId &Id,
                            const std::optional<ResidencyReport> &Report,
                            TimePoint AskedAt) {
  ManagedEngine *Engine = m_Engines.find(Id);
  if (Engine == nullptr)
    return;
  const TimePoint Now = EventLoop::now();
  Engine->m_ReportPending = false;
  if (!Report) {
    Engine->m_NextReport = Now + ReportRetryDelay;
    return;
  }
  m_Engines.recordStart(Id, *Engine, Report->m_StartTime, Now);
  if (!Engine->isCurrent(Report->m_StartTime))
    return;
  if (Engine->recordReport(*Report, Now, AskedAt))
    m_Engines.onRestarted(Id, *Engine, Now);
  m_Engines.settleLoad(Id, *Engine, Now);
  m_Recorded(Id, *Engine, Now);
}

} // namespace havenstair
