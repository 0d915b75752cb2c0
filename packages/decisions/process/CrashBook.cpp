#include "decisions/process/CrashBook.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// Named in a bar, for people.
constexpr std::size_t MostNamed = 8;

/// Suspicion among other boxes begins with the second end.
constexpr std::size_t SuspiciousFrom = 2;

/// Drops the earliest tenth of \p Times when there are more than \p Most.
void boundByTime(std::map<RequestDigest, TimePoint> &Times, std::size_t Most) {
  if (Times.size() <= Most)
    return;
  // A tenth at once: each search looks at all.
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

CrashBook::Heard CrashBook::crashed(const UpstreamIncarnation &Server,
                                    const std::vector<RequestDigest> &Running,
                                    TimePoint Now) {
  Heard Result;
  if (!m_Crashes.contains(Server) && m_Crashes.size() >= m_Opts.m_MostCrashes)
    forgetCrash(std::min_element(m_Crashes.begin(), m_Crashes.end(),
                                 [](const auto &A, const auto &B) {
                                   return A.second.m_At < B.second.m_At;
                                 })
                    ->first);
  Crash &Of = m_Crashes.try_emplace(Server, Crash{.m_At = Now}).first->second;
  for (const RequestDigest &Each : Running) {
    if (ranWellLately(Each, Now)) {
      Result.m_RanWell.push_back(Each);
      continue;
    }
    if (Of.m_Running.size() >= m_Opts.m_MostRunning ||
        !Of.m_Running.insert(Each).second)
      continue;
    m_Under[Each].insert(Server);
    Of.m_NewsAt = Now;
    Result.m_New = true;
  }
  return Result;
}

bool CrashBook::ranWellLately(const RequestDigest &Request,
                              TimePoint Now) const {
  const auto Found = m_RanWell.find(Request);
  return Found != m_RanWell.end() && Now - Found->second < m_Opts.m_RanWellFor;
}

bool CrashBook::ranWell(const RequestDigest &Request, TimePoint Now) {
  const bool Known = m_Under.contains(Request) ||
                     m_Suspects.contains(Request) || m_Bars.contains(Request);
  m_RanWell[Request] = Now;
  boundByTime(m_RanWell, m_Opts.m_MostRanWell);
  if (m_Bars.contains(Request))
    m_Pardoned[Request] = Now;
  boundByTime(m_Pardoned, m_Opts.m_MostBars);
  clear(Request);
  return Known;
}

/// A request that ends each server that runs it never runs to an end, so one
/// that did is not to blame for any of the ends.
void CrashBook::clear(const RequestDigest &Request) {
  if (const auto Found = m_Under.find(Request); Found != m_Under.end()) {
    for (const UpstreamIncarnation &Server : Found->second)
      m_Crashes.at(Server).m_Running.erase(Request);
    m_Under.erase(Found);
  }
  m_Suspects.erase(Request);
  m_Bars.erase(Request);
  m_Ended.erase(Request);
}

bool CrashBook::suspected(const RequestDigest &Request, TimePoint Now) {
  if (ranWellLately(Request, Now))
    return true;
  m_Suspects[Request] = Now;
  boundByTime(m_Suspects, m_Opts.m_MostSuspects);
  return false;
}

std::size_t CrashBook::needed(const RequestDigest &Request) const {
  return m_Ended.contains(Request) ? 1 : m_Opts.m_Servers;
}

bool CrashBook::explained(const Crash &Of, const RequestDigest &Request,
                          TimePoint Now) const {
  if (m_Bars.empty())
    return false;
  return std::any_of(Of.m_Running.begin(), Of.m_Running.end(),
                     [&](const RequestDigest &Other) {
                       return Other != Request && bar(Other, Now) != nullptr;
                     });
}

std::vector<const CrashBook::Crash *>
CrashBook::unexplained(const RequestDigest &Request, TimePoint Now) const {
  std::vector<const Crash *> Result;
  const auto Found = m_Under.find(Request);
  if (Found == m_Under.end())
    return Result;
  for (const UpstreamIncarnation &Server : Found->second) {
    const Crash &Of = m_Crashes.at(Server);
    if (Now - Of.m_At < m_Opts.m_Remembers && !explained(Of, Request, Now))
      Result.push_back(&Of);
  }
  return Result;
}

std::vector<const CrashBook::Crash *>
CrashBook::settled(const RequestDigest &Request, TimePoint Now) const {
  std::vector<const Crash *> Result = unexplained(Request, Now);
  std::erase_if(Result, [&](const Crash *Each) {
    return Now < Each->m_NewsAt + m_Opts.m_Settles;
  });
  return Result;
}

std::optional<TimePoint> CrashBook::settlesAt(TimePoint Now) const {
  std::optional<TimePoint> Result;
  for (const auto &[Server, Of] : m_Crashes)
    if (const TimePoint At = Of.m_NewsAt + m_Opts.m_Settles; At > Now)
      Result = std::min(Result.value_or(At), At);
  return Result;
}

std::size_t CrashBook::crashes(const RequestDigest &Request,
                               TimePoint Now) const {
  return count(unexplained(Request, Now), Request, Now);
}

/// A request that ends servers was on most of those that ended with it. One
/// that is fine was on a few of a herd.
std::size_t CrashBook::count(std::vector<const Crash *> Of,
                             const RequestDigest &Request,
                             TimePoint Now) const {
  std::sort(Of.begin(), Of.end(),
            [](const Crash *A, const Crash *B) { return A->m_At < B->m_At; });
  std::size_t Result = 0;
  for (auto First = Of.begin(); First != Of.end();) {
    const TimePoint End = (*First)->m_At + m_Opts.m_Herd;
    const auto Next = std::find_if(
        First, Of.end(), [&](const Crash *Each) { return Each->m_At >= End; });
    const auto Under = static_cast<std::size_t>(Next - First);
    const auto InHerd = static_cast<std::size_t>(std::count_if(
        m_Crashes.begin(), m_Crashes.end(), [&](const auto &Each) {
          const Crash &Other = Each.second;
          return Other.m_At > (*First)->m_At - m_Opts.m_Herd &&
                 Other.m_At < End && !explained(Other, Request, Now);
        }));
    Result += 2 * Under >= InHerd ? Under : 1;
    First = Next;
  }
  return Result;
}

/// Whether it may as well be another one that was there each time. Who ended
/// servers before is to blame rather than who was beside it.
bool CrashBook::tied(const RequestDigest &Request, TimePoint Now) const {
  const std::vector<const Crash *> All = settled(Request, Now);
  if (m_Ended.contains(Request) || All.empty())
    return false;
  const std::set<RequestDigest> &First = All.front()->m_Running;
  return std::any_of(First.begin(), First.end(), [&](const auto &Other) {
    return Other != Request &&
           std::all_of(All.begin(), All.end(), [&](const Crash *Each) {
             return Each->m_Running.contains(Other);
           });
  });
}

/// Of those that are to be barred the one that was there most often: it may
/// explain what the others were there for.
std::optional<RequestDigest> CrashBook::mostGuilty(TimePoint Now) const {
  std::optional<RequestDigest> Result;
  std::size_t Most = 0;
  for (const auto &[Request, Servers] : m_Under) {
    if (Servers.size() < needed(Request) || bar(Request, Now) != nullptr ||
        m_LetThrough.contains(Request))
      continue;
    const bool TooMany = Servers.size() >= m_Opts.m_MostServers;
    const std::size_t Count =
        TooMany ? Servers.size() : count(settled(Request, Now), Request, Now);
    if (Count < needed(Request) || Count <= Most ||
        (!TooMany && tied(Request, Now)))
      continue;
    Result = Request;
    Most = Count;
  }
  return Result;
}

std::vector<RequestDigest> CrashBook::judge(const BoxName &By, TimePoint Now) {
  std::vector<RequestDigest> Result;
  while (const auto Guilty = mostGuilty(Now)) {
    bar(*Guilty, By, Now);
    Result.push_back(*Guilty);
  }
  return Result;
}

void CrashBook::bar(const RequestDigest &Request, const BoxName &By,
                    TimePoint Now) {
  RequestBar Bar{
      .m_By = By, .m_Since = Now, .m_Until = Now + m_Opts.m_BarredFor};
  for (const UpstreamIncarnation &Server : m_Under.at(Request))
    if (Bar.m_Servers.size() < MostNamed)
      Bar.m_Servers.push_back(Server.m_Id);
  insertBar(Request, std::move(Bar));
}

void CrashBook::insertBar(const RequestDigest &Request, RequestBar Bar) {
  if (m_Bars.size() >= m_Opts.m_MostBars)
    m_Bars.erase(std::min_element(m_Bars.begin(), m_Bars.end(),
                                  [](const auto &A, const auto &B) {
                                    return A.second.m_Until < B.second.m_Until;
                                  }));
  m_Suspects.erase(Request);
  m_Ended.erase(Request);
  m_Pardoned.erase(Request);
  m_Bars[Request] = std::move(Bar);
}

bool CrashBook::adopt(const RequestDigest &Request, RequestBar Bar,
                      TimePoint Now) {
  // A box that has just learned of a bar would else keep it up for ever.
  if (m_Bars.contains(Request) || m_Ended.contains(Request) ||
      m_Pardoned.contains(Request) || m_LetThrough.contains(Request) ||
      ranWellLately(Request, Now))
    return false;
  Bar.m_Until = std::min(Bar.m_Until, Now + m_Opts.m_BarredFor);
  insertBar(Request, std::move(Bar));
  return true;
}

void CrashBook::letThrough(std::set<RequestDigest> Requests) {
  m_LetThrough = std::move(Requests);
  for (const RequestDigest &Each : m_LetThrough)
    clear(Each);
}

void CrashBook::forgetCrash(const UpstreamIncarnation &Server) {
  const auto Found = m_Crashes.find(Server);
  for (const RequestDigest &Each : Found->second.m_Running) {
    const auto Under = m_Under.find(Each);
    Under->second.erase(Server);
    if (Under->second.empty())
      m_Under.erase(Under);
  }
  m_Crashes.erase(Found);
}

void CrashBook::prune(TimePoint Now) {
  std::vector<UpstreamIncarnation> Old;
  for (const auto &[Server, Of] : m_Crashes)
    if (Now - Of.m_At >= m_Opts.m_Remembers)
      Old.push_back(Server);
  for (const UpstreamIncarnation &Server : Old)
    forgetCrash(Server);
  for (auto Each = m_Bars.begin(); Each != m_Bars.end();) {
    if (Now < Each->second.m_Until) {
      ++Each;
      continue;
    }
    m_Ended[Each->first] = Now;
    Each = m_Bars.erase(Each);
  }
  boundByTime(m_Ended, m_Opts.m_MostBars);
  pruneByTime(m_Ended, Now - m_Opts.m_BarredFor);
  pruneByTime(m_Pardoned, Now - m_Opts.m_BarredFor);
  pruneByTime(m_Suspects, Now - m_Opts.m_Remembers);
  pruneByTime(m_RanWell, Now - m_Opts.m_RanWellFor);
}

const RequestBar *CrashBook::bar(const RequestDigest &Request,
                                 TimePoint Now) const {
  const auto Found = m_Bars.find(Request);
  return Found == m_Bars.end() || Now >= Found->second.m_Until ? nullptr
                                                               : &Found->second;
}

std::optional<TimePoint> CrashBook::judgedAt(const RequestDigest &Request,
                                             TimePoint Now) const {
  if (bar(Request, Now) != nullptr || m_LetThrough.contains(Request) ||
      crashes(Request, Now) < needed(Request))
    return std::nullopt;
  TimePoint Result{};
  for (const Crash *Each : unexplained(Request, Now))
    Result = std::max(Result, Each->m_NewsAt + m_Opts.m_Settles);
  return Result > Now ? std::optional(Result) : std::nullopt;
}

bool CrashBook::doubtful(const RequestDigest &Request, TimePoint Now) const {
  const auto Found = m_Under.find(Request);
  return Found != m_Under.end() && Found->second.size() >= needed(Request) &&
         bar(Request, Now) == nullptr && !m_LetThrough.contains(Request);
}

bool CrashBook::suspicious(const RequestDigest &Request, TimePoint Now) const {
  return m_Suspects.contains(Request) ||
         crashes(Request, Now) >= SuspiciousFrom;
}

} // namespace havenstair
