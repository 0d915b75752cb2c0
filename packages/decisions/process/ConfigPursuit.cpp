#include "decisions/process/ConfigPursuit.h"

#include <algorithm>

namespace havenstair {

const char *toString(ConfigStep Of) {
  switch (Of) {
  case ConfigStep::None:
    return "none";
  case ConfigStep::Ask:
    return "ask";
  case ConfigStep::ReadStale:
    return "read_stale";
  case ConfigStep::ReadCurrent:
    return "read_current";
  case ConfigStep::ReadAnew:
    return "read_anew";
  }
  return "none";
}

bool ConfigPursuit::told(ConfigVersion Version, const BoxName &By, bool Holds,
                         TimePoint Now) {
  const bool News = Version > m_Newest.m_Version;
  // Counted from the first version that it lacks: were each newer one to begin
  // the waits anew, a box would follow none of a quick series.
  if (News && m_Newest.m_Version <= m_Known) {
    m_BehindSince = Now;
    m_TryingSince = Now;
  }
  if (News) {
    m_Newest = {.m_Version = Version, .m_By = By, .m_At = Now};
    m_Holder = BoxName();
  }
  if (Holds && Version == m_Newest.m_Version && m_Holder.empty())
    m_Holder = By;
  return News;
}

void ConfigPursuit::forget(const BoxName &Box) {
  if (m_Holder == Box)
    m_Holder = BoxName();
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

bool ConfigPursuit::mayTry(const Tries &Way, TimePoint Now) const {
  return Now - Way.m_At >= (first(Way) ? LeastPause : Way.m_Pause);
}

void ConfigPursuit::noteTry(Tries &Way, Duration Least, TimePoint Now) const {
  const bool Anew = Way.m_Pause == 0us || m_TryingSince > Way.m_At;
  Way.m_Pause = Anew ? Least : std::min(2 * Way.m_Pause, MostPause);
  Way.m_For = m_Newest.m_Version;
  Way.m_At = Now;
}

bool ConfigPursuit::asks(const Situation &At, TimePoint Now) const {
  if (m_Holder.empty() || !mayTry(m_Asks, Now))
    return false;
  const Duration After = At.m_LeavesReads ? 0us
                         : At.m_Reading   ? AskWhileReading
                                          : AskAfter;
  return Now - m_TryingSince >= After;
}

ConfigStep ConfigPursuit::read(const Situation &At, TimePoint Now) {
  const bool Waits = At.m_LeavesReads && Now - m_TryingSince < HolderAnswers;
  if (At.m_Reading || Waits || !mayTry(m_Reads, Now))
    return ConfigStep::None;
  if (At.m_Watching && Now - m_TryingSince < WatchTells)
    return ConfigStep::None;
  const bool First = first(m_Reads);
  noteTry(m_Reads, LeastPause, Now);
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
  noteTry(m_Asks, LeastAskPause, Now);
  return ConfigStep::Ask;
}

} // namespace havenstair
