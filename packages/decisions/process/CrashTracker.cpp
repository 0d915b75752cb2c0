#include "decisions/process/CrashTracker.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// Upstreams named in a quarantine, for operators.
constexpr std::size_t MaxNamedUpstreams = 8;

/// A request or part is a suspect from its second crash on.
constexpr std::size_t MinSuspectCrashes = 2;

/// Crashes of one moment may be chance however many they are.
constexpr std::size_t MinMoments = 2;

/// Drops the oldest tenth of \p Times when there are more than \p Most.
void boundByTime(std::map<CrashSuspect, TimePoint> &Times, std::size_t Most) {
  if (Times.size() <= Most)
    return;
  // Dropping a tenth at once keeps this rare: each call looks at all entries.
  std::vector<TimePoint> All;
  for (const auto &[Suspect, At] : Times)
    All.push_back(At);
  const auto Cut = All.begin() + std::ssize(All) / 10;
  std::nth_element(All.begin(), Cut, All.end());
  const TimePoint Oldest = *Cut;
  std::erase_if(Times, [&](const auto &Each) { return Each.second <= Oldest; });
}

void pruneByTime(std::map<CrashSuspect, TimePoint> &Times, TimePoint Before) {
  std::erase_if(Times, [&](const auto &Each) { return Each.second < Before; });
}

bool isPart(const CrashSuspect &Suspect) {
  return Suspect.kind() == CrashSuspect::Kind::PromptPart;
}

} // namespace

CrashTracker::RecordResult
CrashTracker::recordCrash(const UpstreamIncarnation &Upstream,
                          const std::vector<RequestSuspects> &Running,
                          TimePoint Now) {
  RecordResult Result;
  if (!m_Crashes.contains(Upstream) && m_Crashes.size() >= m_Opts.m_MaxCrashes)
    forgetCrash(std::min_element(m_Crashes.begin(), m_Crashes.end(),
                                 [](const auto &A, const auto &B) {
                                   return A.second.m_At < B.second.m_At;
                                 })
                    ->first);
  Crash &Event = m_Crashes
                     .try_emplace(Upstream, Crash{.m_At = Now,
                                                  .m_UpdatedAt = Now,
                                                  .m_Requests = {},
                                                  .m_Suspects = {}})
                     .first->second;
  for (const RequestSuspects &Request : Running) {
    std::vector<CrashSuspect> Counted;
    for (const CrashSuspect &Each : Request.all())
      if (completedRecently(Each, Now))
        Result.m_Completed.insert(Each);
      else
        Counted.push_back(Each);
    if (Counted.empty() || Event.m_Requests.size() >= m_Opts.m_MaxRunning ||
        !Event.m_Requests.insert(Request).second)
      continue;
    for (const CrashSuspect &Each : Counted) {
      Event.m_Suspects.insert(Each);
      m_CrashesBySuspect[Each].insert(Upstream);
    }
    Event.m_UpdatedAt = Now;
    Result.m_New = true;
  }
  return Result;
}

bool CrashTracker::completedRecently(const CrashSuspect &Suspect,
                                     TimePoint Now) const {
  const auto Found = m_Completed.find(Suspect);
  const Duration Retention =
      isPart(Suspect) ? m_Opts.m_PartRetention : m_Opts.m_CompletionRetention;
  return Found != m_Completed.end() && Now - Found->second < Retention;
}

std::vector<RequestSuspects>
CrashTracker::uncleared(const std::vector<RequestSuspects> &Running,
                        TimePoint Now) const {
  std::vector<RequestSuspects> Result;
  for (RequestSuspects Each : Running) {
    std::erase_if(Each.m_Parts, [&](const CrashSuspect &Part) {
      return completedRecently(Part, Now);
    });
    if (!Each.m_Parts.empty() || !completedRecently(Each.m_Digest, Now))
      Result.push_back(std::move(Each));
  }
  return Result;
}

std::optional<TimePoint>
CrashTracker::completedAt(const CrashSuspect &Suspect) const {
  const auto Found = m_Completed.find(Suspect);
  return Found == m_Completed.end() ? std::nullopt
                                    : std::optional(Found->second);
}

bool CrashTracker::recordCompletion(const CrashSuspect &Suspect, TimePoint At) {
  TimePoint &Last = m_Completed[Suspect];
  Last = std::max(Last, At);
  boundByTime(m_Completed, m_Opts.m_MaxCompleted);
  const bool WasQuarantined = m_Quarantines.contains(Suspect);
  const bool Refuted =
      clear(Suspect,
            isPart(Suspect) ? At + m_Opts.m_PartRetention : TimePoint::max());
  if (WasQuarantined && !m_Quarantines.contains(Suspect))
    m_Lifted[Suspect] = At;
  boundByTime(m_Lifted, m_Opts.m_MaxQuarantines);
  return Refuted;
}

/// Drops what speaks against \p Suspect and is no later than \p Until: what
/// crashes each upstream that runs it never runs without harm. \returns whether
/// there was anything.
bool CrashTracker::clear(const CrashSuspect &Suspect, TimePoint Until) {
  bool Result = clearCrashes(Suspect, Until);
  if (const auto Found = m_Suspects.find(Suspect);
      Found != m_Suspects.end() && Found->second <= Until) {
    m_Suspects.erase(Found);
    Result = true;
  }
  if (const auto Found = m_Quarantines.find(Suspect);
      Found != m_Quarantines.end() && Found->second.m_Since <= Until) {
    m_Quarantines.erase(Found);
    Result = true;
  }
  m_Expired.erase(Suspect);
  if (isPart(Suspect))
    for (auto &[Other, Entry] : m_Quarantines)
      if (Entry.m_Since <= Until)
        Entry.m_Beside.erase(Suspect);
  return Result;
}

bool CrashTracker::clearCrashes(const CrashSuspect &Suspect, TimePoint Until) {
  const auto Found = m_CrashesBySuspect.find(Suspect);
  if (Found == m_CrashesBySuspect.end())
    return false;
  const std::size_t Before = Found->second.size();
  std::erase_if(Found->second, [&](const UpstreamIncarnation &Upstream) {
    Crash &Event = m_Crashes.at(Upstream);
    return Event.m_At <= Until && Event.m_Suspects.erase(Suspect) > 0;
  });
  const bool Result = Found->second.size() < Before;
  if (Found->second.empty())
    m_CrashesBySuspect.erase(Found);
  return Result;
}

bool CrashTracker::addSuspect(const CrashSuspect &Suspect, TimePoint Now) {
  if (completedRecently(Suspect, Now))
    return true;
  m_Suspects[Suspect] = Now;
  boundByTime(m_Suspects, m_Opts.m_MaxSuspects);
  return false;
}

std::size_t CrashTracker::requiredCrashes(const CrashSuspect &Suspect) const {
  return m_Expired.contains(Suspect) ? 1 : m_Opts.m_CrashThreshold;
}

/// A quarantined request does not explain a crash for its own parts, nor does
/// a part for those that may be the cause in its place: they would otherwise
/// have to crash as many upstreams again.
bool CrashTracker::explainedByQuarantine(const Crash &Event,
                                         const CrashSuspect &Suspect,
                                         TimePoint Now) const {
  if (m_Quarantines.empty())
    return false;
  return std::any_of(Event.m_Suspects.begin(), Event.m_Suspects.end(),
                     [&](const CrashSuspect &Other) {
                       const Quarantine *Found = findQuarantine(Other, Now);
                       if (Other == Suspect || Found == nullptr)
                         return false;
                       if (isPart(Other) || !isPart(Suspect))
                         return !Found->m_Beside.contains(Suspect);
                       return std::none_of(
                           Event.m_Requests.begin(), Event.m_Requests.end(),
                           [&](const RequestSuspects &Each) {
                             return Each.holds(Other) && Each.holds(Suspect);
                           });
                     });
}

CrashTracker::Crashes
CrashTracker::unexplainedCrashes(const CrashSuspect &Suspect,
                                 TimePoint Now) const {
  Crashes Result;
  const auto Found = m_CrashesBySuspect.find(Suspect);
  if (Found == m_CrashesBySuspect.end())
    return Result;
  for (const UpstreamIncarnation &Upstream : Found->second) {
    const Crash &Event = m_Crashes.at(Upstream);
    if (Now - Event.m_At < m_Opts.m_CrashRetention &&
        !explainedByQuarantine(Event, Suspect, Now))
      Result.push_back(&Event);
  }
  std::sort(Result.begin(), Result.end(),
            [](const Crash *A, const Crash *B) { return A->m_At < B->m_At; });
  return Result;
}

CrashTracker::Crashes CrashTracker::completeCrashes(const CrashSuspect &Suspect,
                                                    TimePoint Now) const {
  Crashes Result = unexplainedCrashes(Suspect, Now);
  std::erase_if(Result, [&](const Crash *Each) {
    return Now < Each->m_UpdatedAt + m_Opts.m_ReportDelay;
  });
  return Result;
}

std::optional<TimePoint> CrashTracker::nextDecisionTime(TimePoint Now) const {
  std::optional<TimePoint> Result;
  for (const auto &[Upstream, Event] : m_Crashes)
    if (const TimePoint At = Event.m_UpdatedAt + m_Opts.m_ReportDelay; At > Now)
      Result = std::min(Result.value_or(At), At);
  return Result;
}

std::size_t CrashTracker::crashCount(const CrashSuspect &Suspect,
                                     TimePoint Now) const {
  return independentCrashes(unexplainedCrashes(Suspect, Now), Suspect, Now);
}

/// Counts correlated crashes as one where \p Suspect was on fewer than half of
/// them: what crashes upstreams was running on most of those that crash
/// together, what is harmless on a few of them. \p Among is in order of time.
std::size_t CrashTracker::independentCrashes(const Crashes &Among,
                                             const CrashSuspect &Suspect,
                                             TimePoint Now) const {
  std::size_t Result = 0;
  for (auto First = Among.begin(); First != Among.end();) {
    const TimePoint End = (*First)->m_At + m_Opts.m_CorrelationWindow;
    const auto Next = std::find_if(First, Among.end(), [&](const Crash *Each) {
      return Each->m_At >= End;
    });
    const auto WithSuspect = static_cast<std::size_t>(Next - First);
    const auto Correlated = static_cast<std::size_t>(std::count_if(
        m_Crashes.begin(), m_Crashes.end(), [&](const auto &Each) {
          const Crash &Other = Each.second;
          return Other.m_At > (*First)->m_At - m_Opts.m_CorrelationWindow &&
                 Other.m_At < End &&
                 !explainedByQuarantine(Other, Suspect, Now);
        }));
    Result += 2 * WithSuspect >= Correlated ? WithSuspect : 1;
    First = Next;
  }
  return Result;
}

/// \returns whether at each of \p Among a request held both suspects.
bool CrashTracker::heldTogether(const CrashSuspect &One,
                                const CrashSuspect &Other,
                                const Crashes &Among) {
  return std::all_of(Among.begin(), Among.end(), [&](const Crash *Event) {
    return std::any_of(Event->m_Requests.begin(), Event->m_Requests.end(),
                       [&](const RequestSuspects &Each) {
                         return Each.holds(One) && Each.holds(Other);
                       });
  });
}

/// \returns whether there are enough crashes to quarantine \p Suspect although
/// \p Others were running at each of them. Many requests share a part, so it
/// is not blamed for crashes that have an explanation, nor while a part was
/// there that fewer requests held.
bool CrashTracker::tooMany(const CrashSuspect &Suspect, const Crashes &Complete,
                           const PartExplanation &Known) const {
  if (!isPart(Suspect))
    return m_CrashesBySuspect.at(Suspect).size() >=
           m_Opts.m_UnconditionalThreshold;
  const std::size_t Holders = Known.holders(Suspect);
  return Complete.size() >= m_Opts.m_UnconditionalThreshold &&
         std::none_of(Known.common().begin(), Known.common().end(),
                      [&](const CrashSuspect &Other) {
                        return Other != Suspect && isPart(Other) &&
                               Known.holders(Other) < Holders;
                      });
}

/// \returns what \p Among have in common; computed once for each set of
/// crashes.
const PartExplanation &CrashTracker::explain(const Crashes &Among,
                                             Explanations &Known) const {
  const auto [Entry, New] = Known.try_emplace(Among);
  if (!New)
    return Entry->second;
  std::vector<PartExplanation::Evidence> Evidence;
  for (const Crash *Each : Among)
    Evidence.push_back(
        {.m_Requests = &Each->m_Requests, .m_Suspects = &Each->m_Suspects});
  Entry->second = PartExplanation(Evidence, [this](const CrashSuspect &Part) {
    return m_CrashesBySuspect.at(Part).size() >= MinSuspectCrashes;
  });
  return Entry->second;
}

/// \returns whether each of the crashes has one of two other parts that are
/// suspects themselves and that fewer requests held, both together. That
/// refuses fewer requests than to quarantine what all have in common; where it
/// takes more of them, the common part is the likelier cause.
bool CrashTracker::rarerPartsExplain(const CrashSuspect &Part,
                                     const PartExplanation &Known) {
  return Known.leastHolders() < Known.holders(Part);
}

/// \returns the crashes under any parts that no quarantine explains for \p
/// Part, and whose reports have all arrived.
CrashTracker::Crashes CrashTracker::crashesUnderParts(const CrashSuspect &Part,
                                                      TimePoint Now) const {
  Crashes Result;
  for (const auto &[Upstream, Event] : m_Crashes)
    if (std::any_of(Event.m_Suspects.begin(), Event.m_Suspects.end(), isPart) &&
        Now - Event.m_At < m_Opts.m_CrashRetention &&
        Now >= Event.m_UpdatedAt + m_Opts.m_ReportDelay &&
        !explainedByQuarantine(Event, Part, Now))
      Result.push_back(&Event);
  return Result;
}

/// Whether the crashes are of one time and may have one cause that is none of
/// the suspects.
bool CrashTracker::allCorrelated(const Crashes &Among) const {
  return Among.empty() ||
         Among.back()->m_At - Among.front()->m_At < m_Opts.m_CorrelationWindow;
}

/// \returns the number of crashes that \p Suspect qualifies for quarantine by;
/// 0 if it does not. A suspect that was quarantined before is blamed rather
/// than those that ran beside it.
std::size_t CrashTracker::countToQuarantine(const CrashSuspect &Suspect,
                                            TimePoint Now,
                                            Explanations &Known) const {
  const Crashes Complete = completeCrashes(Suspect, Now);
  const bool Renewed = m_Expired.contains(Suspect);
  if (isPart(Suspect) && !Renewed && allCorrelated(Complete))
    return 0;
  const PartExplanation &Common = explain(Complete, Known);
  if (isPart(Suspect) && !Renewed && rarerPartsExplain(Suspect, Common))
    return 0;
  // Crashes that it does not explain speak for those that explain them too.
  if (isPart(Suspect) && !Renewed &&
      explain(crashesUnderParts(Suspect, Now), Known)
          .rarerPartsExplainAll(Suspect))
    return 0;
  const std::set<CrashSuspect> &All = Common.common();
  // The crashes of a part may all be those of one request.
  if (isPart(Suspect) &&
      std::any_of(All.begin(), All.end(), [&](const CrashSuspect &Other) {
        return !isPart(Other) && heldTogether(Suspect, Other, Complete);
      }))
    return 0;
  if (tooMany(Suspect, Complete, Common))
    return m_CrashesBySuspect.at(Suspect).size();
  const bool Ambiguous =
      !Renewed &&
      std::any_of(All.begin(), All.end(), [&](const CrashSuspect &Other) {
        return Other != Suspect && !heldTogether(Suspect, Other, Complete);
      });
  const std::size_t Count = independentCrashes(Complete, Suspect, Now);
  return Ambiguous || Count < requiredCrashes(Suspect) ? 0 : Count;
}

/// \returns the suspect with most crashes among those that qualify for
/// quarantine, as its quarantine may explain the crashes of the others; empty
/// when none qualifies.
std::optional<CrashSuspect> CrashTracker::primeSuspect(TimePoint Now) const {
  std::optional<CrashSuspect> Result;
  std::size_t Most = 0;
  Explanations Known;
  for (const auto &[Suspect, Upstreams] : m_CrashesBySuspect) {
    if (Upstreams.size() < requiredCrashes(Suspect) ||
        findQuarantine(Suspect, Now) != nullptr || m_Released.contains(Suspect))
      continue;
    const std::size_t Count = countToQuarantine(Suspect, Now, Known);
    if (Count <= Most)
      continue;
    Result = Suspect;
    Most = Count;
  }
  return Result;
}

std::vector<CrashSuspect> CrashTracker::quarantineSuspects(const BoxName &By,
                                                           TimePoint Now) {
  std::vector<CrashSuspect> Result = widenQuarantines(Now);
  for (const CrashSuspect &Each : confirmQuarantines(Now))
    if (std::find(Result.begin(), Result.end(), Each) == Result.end())
      Result.push_back(Each);
  while (const auto Suspect = primeSuspect(Now)) {
    addQuarantine(*Suspect, By, Now);
    Result.push_back(*Suspect);
  }
  return Result;
}

/// Drops what may have been the cause in place of a quarantined part but was
/// not running at a later crash. \returns the parts whose quarantines hold for
/// more requests now.
std::vector<CrashSuspect> CrashTracker::widenQuarantines(TimePoint Now) {
  std::vector<CrashSuspect> Result;
  Explanations Known;
  for (auto &[Suspect, Entry] : m_Quarantines) {
    if (Entry.m_Beside.empty())
      continue;
    const Crashes Complete = completeCrashes(Suspect, Now);
    if (Complete.empty())
      continue;
    const PartExplanation &Common = explain(Complete, Known);
    if (rarerPartsExplain(Suspect, Common))
      continue;
    if (std::erase_if(Entry.m_Beside, [&](const CrashSuspect &Each) {
          return !Common.common().contains(Each);
        }) > 0)
      Result.push_back(Suspect);
  }
  return Result;
}

/// \returns whether an upstream that did not run \p Suspect crashed with one
/// that did, at \p At.
bool CrashTracker::crashedBeside(const CrashSuspect &Suspect, TimePoint At,
                                 TimePoint Now) const {
  return std::any_of(m_Crashes.begin(), m_Crashes.end(), [&](const auto &Each) {
    const Crash &Other = Each.second;
    return Other.m_At > At - m_Opts.m_ChanceWindow &&
           Other.m_At < At + m_Opts.m_ChanceWindow &&
           !Other.m_Requests.empty() && !Other.m_Suspects.contains(Suspect) &&
           !explainedByQuarantine(Other, Suspect, Now);
  });
}

/// Chance would have to strike just the upstreams that ran \p Suspect, several
/// times over, or the few that ran it since it was quarantined.
bool CrashTracker::certain(const CrashSuspect &Suspect, TimePoint Since,
                           TimePoint Now) const {
  std::size_t Alone = 0;
  std::size_t Later = 0;
  std::size_t Moments = 0;
  std::optional<TimePoint> Last;
  for (const Crash *Each : unexplainedCrashes(Suspect, Now)) {
    if (!Last || Each->m_At - *Last >= m_Opts.m_MomentWindow)
      ++Moments;
    Last = Each->m_At;
    Alone += crashedBeside(Suspect, Each->m_At, Now) ? 0 : 1;
    Later += Each->m_At > Since + m_Opts.m_ProbeGrace ? 1 : 0;
  }
  const std::size_t Required = requiredCrashes(Suspect);
  return (Alone >= Required && Moments >= std::min(Required, MinMoments)) ||
         Later >= m_Opts.m_CertainProbes;
}

std::vector<CrashSuspect> CrashTracker::confirmQuarantines(TimePoint Now) {
  std::vector<CrashSuspect> Result;
  for (auto &[Suspect, Entry] : m_Quarantines) {
    if (Entry.m_Certain || !certain(Suspect, Entry.m_Since, Now))
      continue;
    Entry.m_Certain = true;
    Result.push_back(Suspect);
  }
  return Result;
}

void CrashTracker::addQuarantine(const CrashSuspect &Suspect, const BoxName &By,
                                 TimePoint Now) {
  Quarantine Added{.m_Upstreams = {},
                   .m_Beside = {},
                   .m_By = By,
                   .m_Certain = certain(Suspect, Now, Now),
                   .m_Since = Now,
                   .m_Until = Now + m_Opts.m_QuarantineDuration};
  for (const UpstreamIncarnation &Upstream : m_CrashesBySuspect.at(Suspect))
    if (Added.m_Upstreams.size() < MaxNamedUpstreams)
      Added.m_Upstreams.push_back(Upstream.m_Id);
  const Crashes Complete = completeCrashes(Suspect, Now);
  if (isPart(Suspect) && !m_Expired.contains(Suspect)) {
    Explanations Known;
    for (const CrashSuspect &Other : explain(Complete, Known).common())
      if (Other != Suspect && heldTogether(Suspect, Other, Complete))
        Added.m_Beside.insert(Other);
  }
  insertQuarantine(Suspect, std::move(Added));
}

void CrashTracker::insertQuarantine(const CrashSuspect &Suspect,
                                    Quarantine Added) {
  if (m_Quarantines.size() >= m_Opts.m_MaxQuarantines)
    m_Quarantines.erase(
        std::min_element(m_Quarantines.begin(), m_Quarantines.end(),
                         [](const auto &A, const auto &B) {
                           return A.second.m_Until < B.second.m_Until;
                         }));
  m_Suspects.erase(Suspect);
  m_Expired.erase(Suspect);
  m_Lifted.erase(Suspect);
  m_Quarantines[Suspect] = std::move(Added);
}

bool CrashTracker::adopt(const CrashSuspect &Suspect, Quarantine Declared,
                         TimePoint Now) {
  if (const auto Found = m_Quarantines.find(Suspect);
      Found != m_Quarantines.end()) {
    Quarantine &Known = Found->second;
    Known.m_By = std::min(Known.m_By, Declared.m_By);
    const bool NewlyCertain = Declared.m_Certain && !Known.m_Certain;
    Known.m_Certain = Known.m_Certain || Declared.m_Certain;
    return std::erase_if(Known.m_Beside,
                         [&](const CrashSuspect &Each) {
                           return !Declared.m_Beside.contains(Each);
                         }) > 0 ||
           NewlyCertain;
  }
  // Otherwise boxes that learn of a quarantine from each other would keep it up
  // for ever.
  if (m_Expired.contains(Suspect) || m_Lifted.contains(Suspect) ||
      m_Released.contains(Suspect) || completedRecently(Suspect, Now))
    return false;
  Declared.m_Until =
      std::min(Declared.m_Until, Now + m_Opts.m_QuarantineDuration);
  std::erase_if(Declared.m_Beside, [&](const CrashSuspect &Each) {
    return completedRecently(Each, Now);
  });
  insertQuarantine(Suspect, std::move(Declared));
  return true;
}

void CrashTracker::setReleased(std::set<CrashSuspect> Suspects) {
  m_Released = std::move(Suspects);
  for (const CrashSuspect &Each : m_Released)
    clear(Each, TimePoint::max());
}

void CrashTracker::forgetCrash(const UpstreamIncarnation &Upstream) {
  const auto Found = m_Crashes.find(Upstream);
  for (const CrashSuspect &Each : Found->second.m_Suspects) {
    const auto WithSuspect = m_CrashesBySuspect.find(Each);
    WithSuspect->second.erase(Upstream);
    if (WithSuspect->second.empty())
      m_CrashesBySuspect.erase(WithSuspect);
  }
  m_Crashes.erase(Found);
}

void CrashTracker::prune(TimePoint Now) {
  std::vector<UpstreamIncarnation> Old;
  for (const auto &[Upstream, Event] : m_Crashes)
    if (Now - Event.m_At >= m_Opts.m_CrashRetention)
      Old.push_back(Upstream);
  for (const UpstreamIncarnation &Upstream : Old)
    forgetCrash(Upstream);
  for (auto Each = m_Quarantines.begin(); Each != m_Quarantines.end();) {
    if (Now < Each->second.m_Until) {
      ++Each;
      continue;
    }
    m_Expired[Each->first] = Now;
    Each = m_Quarantines.erase(Each);
  }
  boundByTime(m_Expired, m_Opts.m_MaxQuarantines);
  pruneByTime(m_Expired, Now - m_Opts.m_QuarantineDuration);
  pruneByTime(m_Lifted, Now - m_Opts.m_QuarantineDuration);
  pruneByTime(m_Suspects, Now - m_Opts.m_CrashRetention);
  pruneByTime(m_Completed, Now - m_Opts.m_CompletionRetention);
}

const Quarantine *CrashTracker::findQuarantine(const CrashSuspect &Suspect,
                                               TimePoint Now) const {
  const auto Found = m_Quarantines.find(Suspect);
  return Found == m_Quarantines.end() || Now >= Found->second.m_Until
             ? nullptr
             : &Found->second;
}

/// \returns whether \p Suspect, which \p Request holds, is quarantined, and the
/// request also holds all that may be the cause in its place.
bool CrashTracker::quarantineHolds(const CrashSuspect &Suspect,
                                   const RequestSuspects &Request,
                                   TimePoint Now) const {
  const Quarantine *Found = findQuarantine(Suspect, Now);
  return Found != nullptr &&
         std::all_of(
             Found->m_Beside.begin(), Found->m_Beside.end(),
             [&](const CrashSuspect &Other) { return Request.holds(Other); });
}

std::vector<CrashSuspect>
CrashTracker::quarantinesFor(const RequestSuspects &Request,
                             TimePoint Now) const {
  std::vector<CrashSuspect> Result;
  if (m_Quarantines.empty())
    return Result;
  for (const CrashSuspect &Each : Request.all())
    if (quarantineHolds(Each, Request, Now))
      Result.push_back(Each);
  return Result;
}

std::optional<CrashSuspect>
CrashTracker::quarantinedIn(const RequestSuspects &Request,
                            TimePoint Now) const {
  if (m_Quarantines.empty())
    return std::nullopt;
  if (const CrashSuspect Content(Request.m_Digest);
      quarantineHolds(Content, Request, Now))
    return Content;
  const auto Found =
      std::find_if(Request.m_Parts.begin(), Request.m_Parts.end(),
                   [&](const CrashSuspect &Each) {
                     return quarantineHolds(Each, Request, Now);
                   });
  return Found == Request.m_Parts.end() ? std::nullopt : std::optional(*Found);
}

bool CrashTracker::certainlyQuarantined(const RequestSuspects &Request,
                                        TimePoint Now) const {
  const std::vector<CrashSuspect> All = quarantinesFor(Request, Now);
  return std::any_of(All.begin(), All.end(), [&](const CrashSuspect &Each) {
    return m_Quarantines.at(Each).m_Certain;
  });
}

ProbeHistory CrashTracker::probeHistory(const CrashSuspect &Suspect,
                                        const Quarantine &Entry,
                                        TimePoint Now) const {
  ProbeHistory Result{.m_By = Entry.m_By,
                      .m_Last = std::max(Entry.m_Since, Entry.m_ProbedAt),
                      .m_Runs = Entry.m_Probes};
  std::size_t Crashed = 0;
  for (const Crash *Each : unexplainedCrashes(Suspect, Now))
    if (Each->m_At > Entry.m_Since + m_Opts.m_ProbeGrace) {
      ++Crashed;
      Result.m_Last = std::max(Result.m_Last, Each->m_At);
    }
  // A probe that crashed its upstream counts once.
  Result.m_Runs = std::max(Result.m_Runs, Crashed);
  return Result;
}

/// \returns whether \p Request holds nothing that may crash an upstream beside
/// \p Probed, for which it is quarantined.
bool CrashTracker::runsApart(const RequestSuspects &Request,
                             const std::vector<CrashSuspect> &Probed,
                             TimePoint Now) const {
  std::set<CrashSuspect> Known(Probed.begin(), Probed.end());
  for (const CrashSuspect &Each : Probed) {
    const std::set<CrashSuspect> &Beside = m_Quarantines.at(Each).m_Beside;
    Known.insert(Beside.begin(), Beside.end());
  }
  const std::vector<CrashSuspect> All = Request.all();
  return std::all_of(All.begin(), All.end(), [&](const CrashSuspect &Each) {
    return Known.contains(Each) || unexplainedCrashes(Each, Now).empty();
  });
}

bool CrashTracker::mayProbe(const RequestSuspects &Request, const BoxName &Self,
                            std::size_t Boxes, TimePoint Now) const {
  const std::vector<CrashSuspect> All = quarantinesFor(Request, Now);
  const bool Apart = runsApart(Request, All, Now);
  return std::all_of(All.begin(), All.end(), [&](const CrashSuspect &Each) {
    const Quarantine &Entry = m_Quarantines.at(Each);
    const ProbeHistory History = probeHistory(Each, Entry, Now);
    const Duration Longer = Apart ? 0us : probeInterval(History.m_Runs);
    return !Entry.m_Certain &&
           Now >= nextProbe(Each, History, Self, Boxes) + Longer;
  });
}

void CrashTracker::recordProbe(const RequestSuspects &Request, TimePoint Now) {
  for (const CrashSuspect &Each : quarantinesFor(Request, Now)) {
    Quarantine &Entry = m_Quarantines.at(Each);
    Entry.m_ProbedAt = Now;
    ++Entry.m_Probes;
  }
}

void CrashTracker::withdrawProbe(const RequestSuspects &Request,
                                 TimePoint SentAt) {
  for (const CrashSuspect &Each : Request.all()) {
    const auto Found = m_Quarantines.find(Each);
    if (Found == m_Quarantines.end() || Found->second.m_ProbedAt != SentAt)
      continue;
    // The probe was due, and it is due again.
    Found->second.m_ProbedAt = {};
    --Found->second.m_Probes;
  }
}

Duration CrashTracker::timeToProbeResult(const RequestSuspects &Request,
                                         TimePoint Now) const {
  TimePoint Latest = Now;
  for (const CrashSuspect &Each : quarantinesFor(Request, Now))
    Latest = std::max(
        Latest,
        probeResult(Each, probeHistory(Each, m_Quarantines.at(Each), Now)));
  return Latest - Now;
}

std::optional<TimePoint> CrashTracker::decisionTime(const CrashSuspect &Suspect,
                                                    TimePoint Now) const {
  if (findQuarantine(Suspect, Now) != nullptr || m_Released.contains(Suspect) ||
      crashCount(Suspect, Now) < requiredCrashes(Suspect))
    return std::nullopt;
  TimePoint Result{};
  for (const Crash *Each : unexplainedCrashes(Suspect, Now))
    Result = std::max(Result, Each->m_UpdatedAt + m_Opts.m_ReportDelay);
  return Result > Now ? std::optional(Result) : std::nullopt;
}

bool CrashTracker::isAmbiguous(const CrashSuspect &Suspect,
                               TimePoint Now) const {
  const auto Found = m_CrashesBySuspect.find(Suspect);
  if (Found == m_CrashesBySuspect.end() || m_Released.contains(Suspect) ||
      findQuarantine(Suspect, Now) != nullptr)
    return false;
  const std::size_t Count = isPart(Suspect)
                                ? unexplainedCrashes(Suspect, Now).size()
                                : Found->second.size();
  return Count >= requiredCrashes(Suspect);
}

bool CrashTracker::isSuspect(const CrashSuspect &Suspect, TimePoint Now) const {
  return m_Suspects.contains(Suspect) ||
         crashCount(Suspect, Now) >= MinSuspectCrashes;
}

} // namespace havenstair
