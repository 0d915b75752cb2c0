#include "soak/ConfigOracle.h"

namespace havenstair {

bool ConfigOracle::calm(const CallerRequest &Request, Duration Before,
                        TimePoint At) const {
  const TimePoint From = Request.m_At - Before;
  return m_Trouble.calm(Request.m_Box, From, At) &&
         m_Trouble.calm(Disturbances::Store, From, At) &&
         m_Trouble.calm(Disturbances::Harness, From, At);
}

void ConfigOracle::ran(const CallerRequest &Request, TimePoint At) {
  const std::uint64_t Since = *Request.m_Since;
  judge(Request, Since + 1, At);
  m_Shown[{Request.m_Box, Request.m_BoxLife}].try_emplace(Since, At);
}

void ConfigOracle::unknown(const CallerRequest &Request, TimePoint At) {
  const std::uint64_t Since = *Request.m_Since;
  const std::uint64_t Written = m_Acknowledged.rbegin()->first;
  // Once a version without the route stands, it may be in force.
  if (Written <= Since + 1)
    judge(Request, Since - 1, At);
}

/// The box showed \p Newest or something older.
void ConfigOracle::judge(const CallerRequest &Request, std::uint64_t Newest,
                         TimePoint At) {
  const auto Next = m_Acknowledged.upper_bound(Newest);
  const bool Late =
      Next != m_Acknowledged.end() &&
      Request.m_At > Next->second + m_Bounds.m_Configure + m_Bounds.m_Slack;
  if (Late && calm(Request, m_Bounds.m_Configure + m_Bounds.m_Contact, At))
    m_Broken({Promise::ConfigInForce, At, Request.m_Id,
              Request.m_Box + " shows at most version " +
                  std::to_string(Newest) + " " +
                  std::to_string((Request.m_At - Next->second) / 1ms) +
                  " ms after version " + std::to_string(Next->first)});
  const auto &Shown = m_Shown[{Request.m_Box, Request.m_BoxLife}];
  const auto Newer = Shown.upper_bound(Newest);
  if (Newer == Shown.end())
    return;
  const Duration Tolerance = calm(Request, m_Bounds.m_Contact, At)
                                 ? m_Bounds.m_Rollback
                                 : m_Bounds.m_RollbackHeld;
  if (Request.m_At > Newer->second + Tolerance)
    m_Broken({Promise::ConfigBack, At, Request.m_Id,
              Request.m_Box + " showed version " +
                  std::to_string(Newer->first) + " and then at most " +
                  std::to_string(Newest)});
}

} // namespace havenstair
