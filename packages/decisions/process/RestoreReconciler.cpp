#include "decisions/process/RestoreReconciler.h"

#include <algorithm>

namespace havenstair {

void RestoreReconciler::onRestored(
    const InstanceList &Listed,
    const std::map<InstanceId, UpstreamInstance> &Ended, TimePoint Now) {
  m_Missing = Listed.m_Instances;
  m_MissingUntil = Now + m_Opts.m_KeepMissing;
  // What the restore before had brought back may come again.
  for (auto &[Id, Each] : m_Ended)
    Each.m_InCopy.reset();
  for (const auto &[Id, Last] : Ended)
    m_Ended.insert_or_assign(Id, EndedUpstream{.m_Last = Last, .m_InCopy = {}});
  m_EndedUntil = Now + m_Opts.m_HoldEnded;
}

/// An upstream that is listed again may leave the list for good later.
void RestoreReconciler::keepMissing(InstanceList &List, TimePoint Now) {
  if (Now >= m_MissingUntil)
    return m_Missing.clear();
  std::erase_if(m_Missing, [&](const auto &Each) {
    return List.m_Instances.contains(Each.first);
  });
  List.m_Instances.insert(m_Missing.begin(), m_Missing.end());
}

bool RestoreReconciler::writtenAgain(const EndedUpstream &Ended,
                                     const UpstreamInstance &Entry) {
  return Entry != *Ended.m_InCopy ||
         Entry.incarnation() != Ended.m_Last.incarnation();
}

void RestoreReconciler::dropEnded(InstanceList &List, TimePoint Now) {
  if (Now >= m_EndedUntil)
    return m_Ended.clear();
  for (auto Each = m_Ended.begin(); Each != m_Ended.end();) {
    const auto Entry = List.m_Instances.find(Each->first);
    const bool Listed = Entry != List.m_Instances.end();
    if (Listed && !Each->second.m_InCopy)
      Each->second.m_InCopy = Entry->second;
    if (Listed && writtenAgain(Each->second, Entry->second)) {
      Each = m_Ended.erase(Each);
      continue;
    }
    if (Listed)
      List.m_Instances.erase(Entry);
    ++Each;
  }
}

void RestoreReconciler::reconcile(InstanceList &List, TimePoint Now) {
  dropEnded(List, Now);
  keepMissing(List, Now);
}

std::optional<TimePoint> RestoreReconciler::nextChange(TimePoint Now) const {
  if (!m_Missing.empty() && Now < m_MissingUntil)
    return m_MissingUntil;
  if (!m_Ended.empty() && Now < m_EndedUntil)
    return m_EndedUntil;
  return std::nullopt;
}

} // namespace havenstair
