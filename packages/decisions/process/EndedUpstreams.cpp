#include "decisions/process/EndedUpstreams.h"

namespace havenstair {

void EndedUpstreams::recordEnd(const UpstreamIncarnation &Upstream,
                               TimePoint Now) {
  std::erase_if(
      m_Ends, [&](const auto &Each) { return Now - Each.second >= Retention; });
  // Reports of several boxes about one end do not prolong it.
  m_Ends.try_emplace(Upstream, Now);
}

bool EndedUpstreams::contains(const UpstreamIncarnation &Upstream,
                              TimePoint Now) const {
  const auto Found = m_Ends.find(Upstream);
  return Found != m_Ends.end() && Now - Found->second < Retention;
}

} // namespace havenstair
