#include "decisions/process/ConfigFetchPolicy.h"

#include <algorithm>

namespace havenstair {

bool ConfigFetchPolicy::recordReport(const BoxName &From,
                                     const PeerVersions &Versions,
                                     TimePoint Now) {
  const ConfigVersion Version = std::max(Versions.m_Held, Versions.m_Known);
  const bool Newer = Version > m_Newest.m_Version;
  // Counted from the first version that the box lacks: if each newer one
  // restarted the waits, the box would get none of a quick series.
  if (Newer && m_Newest.m_Version <= m_Known) {
    m_BehindSince = Now;
    m_TryingSince = Now;
  }
  if (Newer)
    m_Newest = {.m_Version = Version, .m_By = From, .m_At = Now};
  if (Versions.m_Held > m_Held) {
    m_Held = Versions.m_Held;
    m_Source = From;
  }
  return Newer;
}

void ConfigFetchPolicy::forget(const BoxName &Box) {
  if (m_Source != Box)
    return;
  m_Source = BoxName();
  m_Held = 0;
}

Duration ConfigFetchPolicy::behind(ConfigVersion Known, TimePoint Now) const {
  return m_Newest.m_Version > Known ? Now - m_BehindSince : 0us;
}

/// A version that arrived shows that its way works, so the waits start again
/// for the next one.
void ConfigFetchPolicy::noteProgress(ConfigVersion Known) {
  if (Known <= m_Known)
    return;
  m_Known = Known;
  m_TryingSince = m_Newest.m_At;
}

bool ConfigFetchPolicy::mayTry(const Attempts &Tried, ConfigVersion Version,
                               TimePoint Now) {
  return Now - Tried.m_At >=
         (Tried.m_Version == Version ? Tried.m_Pause : MinRetryPause);
}

void ConfigFetchPolicy::recordTry(Attempts &Tried, ConfigVersion Version,
                                  Duration MinPause, TimePoint Now) const {
  const bool Anew = Tried.m_Pause == 0us || m_TryingSince > Tried.m_At;
  Tried.m_Pause = Anew ? MinPause : std::min(2 * Tried.m_Pause, MaxRetryPause);
  Tried.m_Version = Version;
  Tried.m_At = Now;
}

bool ConfigFetchPolicy::shouldAsk(const Situation &At, TimePoint Now) const {
  if (m_Held <= At.m_Known || !mayTry(m_Asks, m_Held, Now))
    return false;
  const Duration After = At.m_DefersReads ? 0us
                         : At.m_Reading   ? AskDelayWhileReading
                                          : AskDelay;
  return Now - m_TryingSince >= After;
}

ConfigStep ConfigFetchPolicy::read(const Situation &At, TimePoint Now) {
  const bool Waits = At.m_DefersReads && Now - m_TryingSince < SourceTimeout;
  if (At.m_Reading || Waits || !mayTry(m_Reads, m_Newest.m_Version, Now))
    return ConfigStep::None;
  if (At.m_Watching && Now - m_TryingSince < WatchSilenceTimeout)
    return ConfigStep::None;
  const bool First = m_Reads.m_Version != m_Newest.m_Version;
  recordTry(m_Reads, m_Newest.m_Version, MinRetryPause, Now);
  if (At.m_Watching)
    return ConfigStep::RestartWatch;
  return First ? ConfigStep::ReadStale : ConfigStep::ReadCurrent;
}

ConfigStep ConfigFetchPolicy::next(const Situation &At, TimePoint Now) {
  noteProgress(At.m_Known);
  if (m_Newest.m_Version <= At.m_Known)
    return ConfigStep::None;
  if (!shouldAsk(At, Now))
    return read(At, Now);
  recordTry(m_Asks, m_Held, MinAskPause, Now);
  return ConfigStep::AskPeer;
}

} // namespace havenstair
