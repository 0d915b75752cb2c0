#include "gateway/process/PeerConfirmations.h"

#include <algorithm>

namespace havenstair {

void PeerConfirmations::record(const BoxName &From,
                               const FleetWantFrame &Newest, TimePoint At) {
  const TimePoint Before = confirmedAt(From);
  m_Reports[From] = {
      .m_At = At, .m_Newest = Newest, .m_ConfirmedBefore = Before};
}

TimePoint PeerConfirmations::confirmedAt(const BoxName &Box) const {
  const auto Entry = m_Reports.find(Box);
  if (Entry == m_Reports.end())
    return {};
  const Report &Last = Entry->second;
  const bool Behind =
      m_Copies.behind(Last.m_Newest) ||
      Last.m_Newest.m_Config > m_Copies.makeWantFrame().m_Config;
  return Behind ? Last.m_ConfirmedBefore : Last.m_At;
}

BoxName PeerConfirmations::firstOf(
    const std::function<bool(const BoxName &)> &Accepts) const {
  const auto Match =
      std::find_if(m_Reports.begin(), m_Reports.end(),
                   [&](const auto &Each) { return Accepts(Each.first); });
  return Match == m_Reports.end() ? BoxName() : Match->first;
}

} // namespace havenstair
