#include "decisions/process/LeaderView.h"

#include <algorithm>
#include <utility>

namespace havenstair {

void LeaderView::receiveReport(const BoxName &From, const LeaderTerm &Known,
                               bool Leading, TimePoint SentAfter,
                               TimePoint Now) {
  if (Now < m_DropUntil)
    return;
  m_Reports[From] = {.m_Known = Known,
                     .m_Leading = Leading,
                     .m_ReceivedAt = Now,
                     .m_SentAfter = SentAfter};
  observeTerm(Known, Now);
}

void LeaderView::observeTerm(const LeaderTerm &Term, TimePoint Now) {
  if (Term.m_Token <= m_Leader.m_Token)
    return;
  m_Leader = Term;
  m_LeaderSince = Now;
}

void LeaderView::setMembers(std::set<BoxName> Others) {
  m_Others = std::move(Others);
  std::erase_if(m_Reports, [&](const auto &Each) {
    return !m_Others.contains(Each.first) && Each.first != m_Leader.m_Box;
  });
}

void LeaderView::onPause(TimePoint Now) {
  m_Reports.clear();
  m_DropUntil = Now + m_Opts.m_DropAfterPause;
}

bool LeaderView::confirmedByMajority(TimePoint Now) const {
  if (m_Leader.m_Box != m_Self)
    return false;
  const auto Count =
      std::count_if(m_Reports.begin(), m_Reports.end(), [&](const auto &Each) {
        // When a partition ends, links first deliver what was sent before it.
        return Now - Each.second.m_SentAfter <= m_Opts.m_ReportLifetime &&
               m_Others.contains(Each.first) && Each.second.m_Known == m_Leader;
      });
  return static_cast<std::size_t>(Count) + 1 >= majority();
}

bool LeaderView::majorityReachable(TimePoint Now) const {
  const auto Count =
      std::count_if(m_Reports.begin(), m_Reports.end(), [&](const auto &Each) {
        return fresh(Each.second, Now) && m_Others.contains(Each.first);
      });
  return static_cast<std::size_t>(Count) + 1 >= majority();
}

bool LeaderView::leaderActive(TimePoint Now) const {
  const bool JustElected =
      !m_Leader.m_Box.empty() && Now - m_LeaderSince <= m_Opts.m_SilenceTimeout;
  const auto Found = m_Reports.find(m_Leader.m_Box);
  const bool Resigned = Found != m_Reports.end() && !Found->second.m_Leading &&
                        Found->second.m_ReceivedAt > m_LeaderSince;
  if (JustElected && !Resigned)
    return true;
  return Found != m_Reports.end() && Found->second.m_Leading &&
         Now - Found->second.m_ReceivedAt <= m_Opts.m_SilenceTimeout;
}

} // namespace havenstair
