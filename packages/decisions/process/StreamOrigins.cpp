#include "decisions/process/StreamOrigins.h"

#include <algorithm>

namespace havenstair {

void StreamOrigins::record(const std::string &Attempt,
                           const StreamOrigin &Origin, Duration Left,
                           TimePoint Now) {
  purge(Now);
  const TimePoint Until = Now + std::min(Left, m_Opts.m_MaxAge);
  const auto Found = m_Known.find(Attempt);
  if (Found == m_Known.end()) {
    m_Known.emplace(Attempt,
                    Entry{.m_Origin = Origin,
                          .m_Expiry = m_Expiries.emplace(Until, Attempt)});
    return purge(Now);
  }
  Entry &Known = Found->second;
  if (Known.m_Origin != Origin)
    Known.m_Origin.reset();
  if (Until <= Known.m_Expiry->first)
    return;
  m_Expiries.erase(Known.m_Expiry);
  Known.m_Expiry = m_Expiries.emplace(Until, Attempt);
}

StreamOrigins::Knowledge StreamOrigins::find(const std::string &Attempt,
                                             TimePoint Now) const {
  const auto Found = m_Known.find(Attempt);
  if (Found == m_Known.end() || Found->second.m_Expiry->first < Now)
    return {};
  return {.m_Origin = Found->second.m_Origin,
          .m_Contradicted = !Found->second.m_Origin};
}

/// Forgets streams that have expired, and those that expire next while there
/// are too many.
void StreamOrigins::purge(TimePoint Now) {
  while (!m_Expiries.empty() && (m_Expiries.begin()->first < Now ||
                                 m_Known.size() > m_Opts.m_MaxStreams)) {
    m_Known.erase(m_Expiries.begin()->second);
    m_Expiries.erase(m_Expiries.begin());
  }
}

} // namespace havenstair
