#include "decisions/process/ConfigPursuit.h"

#include <algorithm>

namespace havenstair {

bool ConfigPursuit::told(const BoxName &By, const Word &Of, TimePoint Now) {
  const ConfigVersion Version = std::max(Of.m_Held, Of.m_Known);
  const bool News = Version > m_Newest.m_Version;
  // Counted from the first version that it lacks: were each newer one to begin
  // the waits anew, a box would follow none of a quick series.
  if (News && m_Newest.m_Version <= m_Known) {
    m_BehindSince = Now;
    m_TryingSince = Now;
  }
  if (News)
    m_Newest = {.m_Version = Version, .m_By = By, .m_At = Now};
  if (Of.m_Held > m_Held) {
    m_Held = Of.m_Held;
    m_Holder = By;
  }
  return News;
}

void ConfigPursuit::forget(const BoxName &Box) {
  if (m_Holder != Box)
    return;
  m_Holder = BoxName();
  m_Held = 0;
}

Duration ConfigPursuit::behind(ConfigVersion Known, TimePoint Now) const {
  return m_Newest.m_Version > Known ? Now - m_BehindSince : 0us;
}

/// What has brought a version works: the next one is waited for anew.
void ConfigPursuit::noteProgress(ConfigVersion Known) {
  if (Known <= m_Known)
    return;
  m_Known = Known;
  m_TryingSince = m_Newest.m_At;
}

bool ConfigPursuit::mayTry(const Tries &Way, ConfigVersion For, TimePoint Now) {
  return Now - Way.m_At >= (Way.m_For == For ? Way.m_Pause : LeastPause);
}

void ConfigPursuit::noteTry(Tries &Way, ConfigVersion For, Duration Least,
                            TimePoint Now) const {
  const bool Anew = Way.m_Pause == 0us || m_TryingSince > Way.m_At;
  Way.m_Pause = Anew ? Least : std::min(2 * Way.m_Pause, MostPause);
  Way.m_For = For;
  Way.m_At = Now;
}

bool ConfigPursuit::asks(const Situation &At, TimePoint Now) const {
  if (m_Held <= At.m_Known || !mayTry(m_Asks, m_Held, Now))
    return false;
  const Duration After = At.m_LeavesReads ? 0us
                         : At.m_Reading   ? AskWhileReading
                                          : AskAfter;
  return Now - m_TryingSince >= After;
}

ConfigStep ConfigPursuit::read(const Situation &At, TimePoint Now) {
  const bool Waits = At.m_LeavesReads && Now - m_TryingSince < HolderAnswers;
  if (At.m_Reading || Waits || !mayTry(m_Reads, m_Newest.m_Version, Now))
    return ConfigStep::None;
  if (At.m_Watching && Now - m_TryingSince < WatchTells)
    return ConfigStep::None;
  const bool First = m_Reads.m_For != m_Newest.m_Version;
  noteTry(m_Reads, m_Newest.m_Version, LeastPause, Now);
  if (At.m_Watching)
    return ConfigStep::ReadAnew;
  return First ? ConfigStep::ReadStale : ConfigStep::ReadCurrent;
}

ConfigStep ConfigPursuit::next(const Situation &At, TimePoint Now) {
  noteProgress(At.m_Known);
  if (m_Newest.m_Version <= At.m_Known)
    return ConfigStep::None;
  if (!asks(At, Now))
    return read(At, Now);
  noteTry(m_Asks, m_Held, LeastAskPause, Now);
  return ConfigStep::Ask;
}

} // namespace havenstair
