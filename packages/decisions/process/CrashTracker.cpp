#include "decisions/process/CrashTracker.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// Upstreams named in a quarantine, for operators.
constexpr std::size_t MaxNamedUpstreams = 8;

/// A request is a suspect from its second crash on.
constexpr std::size_t MinSuspectCrashes = 2;

/// Drops the oldest tenth of \p Times when there are more than \p Most.
void boundByTime(std::map<RequestDigest, TimePoint> &Times, std::size_t Most) {
  if (Times.size() <= Most)
    return;
  // Dropping a tenth at once keeps this rare: each call looks at all entries.
  std::vector<TimePoint> All;
  for (const auto &[Request, At] : Times)
    All.push_back(At);
  const auto Cut = All.begin() + std::ssize(All) / 10;
  std::nth_element(All.begin(), Cut, All.end());
  const TimePoint Oldest = *Cut;
  std::erase_if(Times, [&](const auto &Each) { return Each.second <= Oldest; });
}

void pruneByTime(std::map<RequestDigest, TimePoint> &Times, TimePoint Before) {
  std::erase_if(Times, [&](const auto &Each) { return Each.second < Before; });
}

} // namespace

CrashTracker::RecordResult
CrashTracker::recordCrash(const UpstreamIncarnation &Upstream,
                          const std::vector<RequestDigest> &Running,
                          TimePoint Now) {
  RecordResult Result;
  if (!m_Crashes.contains(Upstream) && m_Crashes.size() >= m_Opts.m_MaxCrashes)
    forgetCrash(std::min_element(m_Crashes.begin(), m_Crashes.end(),
                                 [](const auto &A, const auto &B) {
                                   return A.second.m_At < B.second.m_At;
                                 })
                    ->first);
  Crash &Event =
      m_Crashes.try_emplace(Upstream, Crash{.m_At = Now}).first->second;
  for (const RequestDigest &Each : Running) {
    if (completedRecently(Each, Now)) {
      Result.m_Completed.push_back(Each);
      continue;
    }
    if (Event.m_Running.size() >= m_Opts.m_MaxRunning ||
        !Event.m_Running.insert(Each).second)
      continue;
    m_CrashesByRequest[Each].insert(Upstream);
    Event.m_UpdatedAt = Now;
    Result.m_New = true;
  }
  return Result;
}

bool CrashTracker::completedRecently(const RequestDigest &Request,
                                     TimePoint Now) const {
  const auto Found = m_Completed.find(Request);
  return Found != m_Completed.end() &&
         Now - Found->second < m_Opts.m_CompletionRetention;
}

bool CrashTracker::recordCompletion(const RequestDigest &Request,
                                    TimePoint Now) {
  const bool Known = m_CrashesByRequest.contains(Request) ||
                     m_Suspects.contains(Request) ||
                     m_Quarantines.contains(Request);
  m_Completed[Request] = Now;
  boundByTime(m_Completed, m_Opts.m_MaxCompleted);
  if (m_Quarantines.contains(Request))
    m_Lifted[Request] = Now;
  boundByTime(m_Lifted, m_Opts.m_MaxQuarantines);
  clear(Request);
  return Known;
}

/// A request that crashes each upstream that runs it never completes, so one
/// that did complete caused none of the crashes.
void CrashTracker::clear(const RequestDigest &Request) {
  if (const auto Found = m_CrashesByRequest.find(Request);
      Found != m_CrashesByRequest.end()) {
    for (const UpstreamIncarnation &Upstream : Found->second)
      m_Crashes.at(Upstream).m_Running.erase(Request);
    m_CrashesByRequest.erase(Found);
  }
  m_Suspects.erase(Request);
  m_Quarantines.erase(Request);
  m_Expired.erase(Request);
}

bool CrashTracker::addSuspect(const RequestDigest &Request, TimePoint Now) {
  if (completedRecently(Request, Now))
    return true;
  m_Suspects[Request] = Now;
  boundByTime(m_Suspects, m_Opts.m_MaxSuspects);
  return false;
}

std::size_t CrashTracker::requiredCrashes(const RequestDigest &Request) const {
  return m_Expired.contains(Request) ? 1 : m_Opts.m_CrashThreshold;
}

bool CrashTracker::explainedByQuarantine(const Crash &Event,
                                         const RequestDigest &Request,
                                         TimePoint Now) const {
  if (m_Quarantines.empty())
    return false;
  return std::any_of(Event.m_Running.begin(), Event.m_Running.end(),
                     [&](const RequestDigest &Other) {
                       return Other != Request &&
                              findQuarantine(Other, Now) != nullptr;
                     });
}

std::vector<const CrashTracker::Crash *>
CrashTracker::unexplainedCrashes(const RequestDigest &Request,
                                 TimePoint Now) const {
  std::vector<const Crash *> Result;
  const auto Found = m_CrashesByRequest.find(Request);
  if (Found == m_CrashesByRequest.end())
    return Result;
  for (const UpstreamIncarnation &Upstream : Found->second) {
    const Crash &Event = m_Crashes.at(Upstream);
    if (Now - Event.m_At < m_Opts.m_CrashRetention &&
        !explainedByQuarantine(Event, Request, Now))
      Result.push_back(&Event);
  }
  return Result;
}

std::vector<const CrashTracker::Crash *>
CrashTracker::completeCrashes(const RequestDigest &Request,
                              TimePoint Now) const {
  std::vector<const Crash *> Result = unexplainedCrashes(Request, Now);
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

std::size_t CrashTracker::crashCount(const RequestDigest &Request,
                                     TimePoint Now) const {
  return independentCrashes(unexplainedCrashes(Request, Now), Request, Now);
}

/// Counts correlated crashes as one where \p Request was on fewer than half of
/// them: a request that crashes upstreams was running on most of those that
/// crash together, a harmless one on a few of them.
std::size_t CrashTracker::independentCrashes(std::vector<const Crash *> Crashes,
                                             const RequestDigest &Request,
                                             TimePoint Now) const {
  std::sort(Crashes.begin(), Crashes.end(),
            [](const Crash *A, const Crash *B) { return A->m_At < B->m_At; });
  std::size_t Result = 0;
  for (auto First = Crashes.begin(); First != Crashes.end();) {
    const TimePoint End = (*First)->m_At + m_Opts.m_CorrelationWindow;
    const auto Next =
        std::find_if(First, Crashes.end(),
                     [&](const Crash *Each) { return Each->m_At >= End; });
    const auto WithRequest = static_cast<std::size_t>(Next - First);
    const auto Correlated = static_cast<std::size_t>(std::count_if(
        m_Crashes.begin(), m_Crashes.end(), [&](const auto &Each) {
          const Crash &Other = Each.second;
          return Other.m_At > (*First)->m_At - m_Opts.m_CorrelationWindow &&
                 Other.m_At < End &&
                 !explainedByQuarantine(Other, Request, Now);
        }));
    Result += 2 * WithRequest >= Correlated ? WithRequest : 1;
    First = Next;
  }
  return Result;
}

/// Whether another request was running at each of the crashes, so either may be
/// the cause. A request that was quarantined before is blamed rather than those
/// that ran beside it.
bool CrashTracker::hasCoSuspect(const RequestDigest &Request,
                                TimePoint Now) const {
  const std::vector<const Crash *> All = completeCrashes(Request, Now);
  if (m_Expired.contains(Request) || All.empty())
    return false;
  const std::set<RequestDigest> &First = All.front()->m_Running;
  return std::any_of(First.begin(), First.end(), [&](const auto &Other) {
    return Other != Request &&
           std::all_of(All.begin(), All.end(), [&](const Crash *Each) {
             return Each->m_Running.contains(Other);
           });
  });
}

/// \returns the request with most crashes among those that qualify for
/// quarantine, as its quarantine may explain the crashes of the others; empty
/// when none qualifies.
std::optional<RequestDigest> CrashTracker::primeSuspect(TimePoint Now) const {
  std::optional<RequestDigest> Result;
  std::size_t Most = 0;
  for (const auto &[Request, Upstreams] : m_CrashesByRequest) {
    if (Upstreams.size() < requiredCrashes(Request) ||
        findQuarantine(Request, Now) != nullptr || m_Released.contains(Request))
      continue;
    const bool TooMany = Upstreams.size() >= m_Opts.m_UnconditionalThreshold;
    const std::size_t Count =
        TooMany
            ? Upstreams.size()
            : independentCrashes(completeCrashes(Request, Now), Request, Now);
    if (Count < requiredCrashes(Request) || Count <= Most ||
        (!TooMany && hasCoSuspect(Request, Now)))
      continue;
    Result = Request;
    Most = Count;
  }
  return Result;
}

std::vector<RequestDigest> CrashTracker::quarantineSuspects(const BoxName &By,
                                                            TimePoint Now) {
  std::vector<RequestDigest> Result;
  while (const auto Suspect = primeSuspect(Now)) {
    addQuarantine(*Suspect, By, Now);
    Result.push_back(*Suspect);
  }
  return Result;
}

void CrashTracker::addQuarantine(const RequestDigest &Request,
                                 const BoxName &By, TimePoint Now) {
  RequestQuarantine Quarantine{
      .m_By = By, .m_Since = Now, .m_Until = Now + m_Opts.m_QuarantineDuration};
  for (const UpstreamIncarnation &Upstream : m_CrashesByRequest.at(Request))
    if (Quarantine.m_Upstreams.size() < MaxNamedUpstreams)
      Quarantine.m_Upstreams.push_back(Upstream.m_Id);
  insertQuarantine(Request, std::move(Quarantine));
}

void CrashTracker::insertQuarantine(const RequestDigest &Request,
                                    RequestQuarantine Quarantine) {
  if (m_Quarantines.size() >= m_Opts.m_MaxQuarantines)
    m_Quarantines.erase(
        std::min_element(m_Quarantines.begin(), m_Quarantines.end(),
                         [](const auto &A, const auto &B) {
                           return A.second.m_Until < B.second.m_Until;
                         }));
  m_Suspects.erase(Request);
  m_Expired.erase(Request);
  m_Lifted.erase(Request);
  m_Quarantines[Request] = std::move(Quarantine);
}

bool CrashTracker::adopt(const RequestDigest &Request,
                         RequestQuarantine Quarantine, TimePoint Now) {
  // Otherwise boxes that learn of a quarantine from each other would keep it up
  // for ever.
  if (m_Quarantines.contains(Request) || m_Expired.contains(Request) ||
      m_Lifted.contains(Request) || m_Released.contains(Request) ||
      completedRecently(Request, Now))
    return false;
  Quarantine.m_Until =
      std::min(Quarantine.m_Until, Now + m_Opts.m_QuarantineDuration);
  insertQuarantine(Request, std::move(Quarantine));
  return true;
}

void CrashTracker::setReleased(std::set<RequestDigest> Requests) {
  m_Released = std::move(Requests);
  for (const RequestDigest &Each : m_Released)
    clear(Each);
}

void CrashTracker::forgetCrash(const UpstreamIncarnation &Upstream) {
  const auto Found = m_Crashes.find(Upstream);
  for (const RequestDigest &Each : Found->second.m_Running) {
    const auto WithRequest = m_CrashesByRequest.find(Each);
    WithRequest->second.erase(Upstream);
    if (WithRequest->second.empty())
      m_CrashesByRequest.erase(WithRequest);
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

const RequestQuarantine *
CrashTracker::findQuarantine(const RequestDigest &Request,
                             TimePoint Now) const {
  const auto Found = m_Quarantines.find(Request);
  return Found == m_Quarantines.end() || Now >= Found->second.m_Until
             ? nullptr
             : &Found->second;
}

std::optional<TimePoint>
CrashTracker::decisionTime(const RequestDigest &Request, TimePoint Now) const {
  if (findQuarantine(Request, Now) != nullptr || m_Released.contains(Request) ||
      crashCount(Request, Now) < requiredCrashes(Request))
    return std::nullopt;
  TimePoint Result{};
  for (const Crash *Each : unexplainedCrashes(Request, Now))
    Result = std::max(Result, Each->m_UpdatedAt + m_Opts.m_ReportDelay);
  return Result > Now ? std::optional(Result) : std::nullopt;
}

bool CrashTracker::isAmbiguous(const RequestDigest &Request,
                               TimePoint Now) const {
  const auto Found = m_CrashesByRequest.find(Request);
  return Found != m_CrashesByRequest.end() &&
         Found->second.size() >= requiredCrashes(Request) &&
         findQuarantine(Request, Now) == nullptr &&
         !m_Released.contains(Request);
}

bool CrashTracker::isSuspect(const RequestDigest &Request,
                             TimePoint Now) const {
  return m_Suspects.contains(Request) ||
         crashCount(Request, Now) >= MinSuspectCrashes;
}

} // namespace havenstair
