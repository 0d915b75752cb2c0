#include "gateway/process/CrashDetector.h"

#include "wire/common/EventLoop.h"
#include <algorithm>
#include <utility>
#include <vector>

namespace havenstair {

namespace {

/// Time for which broken connections count as one crash: they break within
/// milliseconds of each other, and a later start of the upstream is listed
/// within three of its heartbeats plus the lag of the list.
constexpr Duration SuspectRetention = 10s;

/// Limit for upstreams that are tracked; broken connections to further ones are
/// ignored.
constexpr std::size_t MaxSuspects = 256;
constexpr std::size_t MaxRunning = 256;

} // namespace

CrashDetector::CrashDetector(HttpClient &Client, const ServingView &View,
                             Hooks Callbacks)
    : m_Client(Client), m_View(View), m_Hooks(std::move(Callbacks)) {}

void CrashDetector::onConnectionBroken(
    const UpstreamIncarnation &Upstream,
    const std::optional<RequestSuspects> &Request, TimePoint Now) {
  const UpstreamInstance *At = m_View.find(Upstream.m_Id);
  // An upstream that leaves as planned breaks the connections of what still
  // runs.
  if (At == nullptr || m_View.isLeaving(*At) || At->m_Remaining)
    return;
  if (!m_Suspects.contains(Upstream) && m_Suspects.size() >= MaxSuspects)
    return;
  const auto [Found, New] =
      m_Suspects.try_emplace(Upstream, Suspect{.m_At = Now});
  Suspect &Entry = Found->second;
  Entry.m_At = Now;
  const bool AlreadyKnown = !Request || Entry.m_Running.contains(*Request);
  if (Request && Entry.m_Running.size() < MaxRunning)
    Entry.m_Running.insert(*Request);
  if (Entry.m_State == State::Ended && AlreadyKnown)
    return;
  if (Entry.m_State == State::Ended)
    return m_Hooks.m_Ended(Upstream, {*Request});
  if (m_View.superseded(Upstream))
    return markEnded(Upstream);
  if (New || Entry.m_State != State::Probing)
    probe(Upstream, *At);
}

void CrashDetector::probe(const UpstreamIncarnation &Upstream,
                          const UpstreamInstance &At) {
  HttpCall Call = m_Hooks.m_Probe(At);
  const TimePoint ProbedAt = EventLoop::now();
  const TimePoint Until = ProbedAt + Call.m_ConnectTimeout;
  Suspect &Entry = m_Suspects.at(Upstream);
  Entry.m_State = State::Probing;
  Entry.m_Probe =
      m_Client.fetchHeld(std::move(Call), [this, Upstream, ProbedAt,
                                           Until](const HttpAnswer &Answer) {
        onProbeAnswer(Upstream, Answer, ProbedAt, EventLoop::now() < Until);
      });
}

void CrashDetector::onProbeAnswer(const UpstreamIncarnation &Upstream,
                                  const HttpAnswer &Answer, TimePoint ProbedAt,
                                  bool InTime) {
  const auto Found = m_Suspects.find(Upstream);
  if (Found == m_Suspects.end() || Found->second.m_State == State::Ended)
    return;
  const bool Refused = Answer.m_End == HttpEnd::NotWritten && InTime;
  const AnswerFacts Facts =
      m_Hooks.m_ReadAnswer(Answer.m_Status, Answer.m_Headers);
  const bool OtherInstance =
      !Facts.m_Instance.empty() && Facts.m_Instance != Upstream.m_Id;
  if (OtherInstance || m_View.superseded(Upstream))
    return markEnded(Upstream);
  if (Refused && m_FirstRefused.empty()) {
    m_FirstRefused = Upstream.m_Id;
    m_FirstRefusedAt = EventLoop::now();
  }
  // One upstream alone has rather ended than been cut off from this box.
  if (Refused && m_FirstRefused == Upstream.m_Id)
    return markEnded(Upstream);
  if (Refused) {
    Found->second.m_State = State::Refused;
    return m_Hooks.m_Refused(
        {.m_Upstream = Upstream.m_Id, .m_StartedAt = ProbedAt});
  }
  const bool Answered = Answer.received();
  Found->second.m_State = Answered ? State::Alive : State::Silent;
  m_Hooks.m_NotEnded(Upstream, Facts, ProbedAt);
}

void CrashDetector::markEnded(const UpstreamIncarnation &Upstream) {
  Suspect &Entry = m_Suspects.at(Upstream);
  Entry.m_State = State::Ended;
  const std::set<RequestSuspects> Running = Entry.m_Running;
  m_Hooks.m_Ended(Upstream, Running);
}

void CrashDetector::onReached(TimePoint StartedAt) {
  if (StartedAt >= m_FirstRefusedAt)
    m_FirstRefused.clear();
}

void CrashDetector::onReachable(bool WasPartitioned) {
  std::vector<UpstreamIncarnation> Refused;
  for (const auto &[Upstream, Entry] : m_Suspects)
    if (Entry.m_State == State::Refused)
      Refused.push_back(Upstream);
  for (const UpstreamIncarnation &Upstream : Refused) {
    const UpstreamInstance *At = m_View.find(Upstream.m_Id);
    if (WasPartitioned && At != nullptr)
      probe(Upstream, *At);
    else
      markEnded(Upstream);
  }
}

bool CrashDetector::probing(const CrashSuspect &Suspect) const {
  return std::any_of(
      m_Suspects.begin(), m_Suspects.end(), [&](const auto &Entry) {
        const std::set<RequestSuspects> &Running = Entry.second.m_Running;
        return (Entry.second.m_State == State::Probing ||
                Entry.second.m_State == State::Refused) &&
               std::any_of(Running.begin(), Running.end(),
                           [&](const RequestSuspects &Each) {
                             return Each.holds(Suspect);
                           });
      });
}

void CrashDetector::onEndReported(const UpstreamIncarnation &Upstream) {
  const auto Found = m_Suspects.find(Upstream);
  if (Found != m_Suspects.end() && Found->second.m_State != State::Alive &&
      Found->second.m_State != State::Ended)
    markEnded(Upstream);
}

bool CrashDetector::mayHaveEnded(const UpstreamIncarnation &Upstream) const {
  const auto Found = m_Suspects.find(Upstream);
  return Found != m_Suspects.end() && Found->second.m_State != State::Alive;
}

void CrashDetector::onListChanged(TimePoint Now) {
  std::vector<UpstreamIncarnation> Ended;
  for (const auto &[Upstream, Entry] : m_Suspects) {
    const bool Gone =
        (Entry.m_State == State::Silent || Entry.m_State == State::Refused) &&
        !m_View.list().m_Instances.contains(Upstream.m_Id) &&
        Now - Entry.m_At < SuspectRetention;
    if (Entry.m_State != State::Ended && (Gone || m_View.superseded(Upstream)))
      Ended.push_back(Upstream);
  }
  for (const UpstreamIncarnation &Upstream : Ended)
    markEnded(Upstream);
}

void CrashDetector::prune(TimePoint Now) {
  std::erase_if(m_Suspects, [&](const auto &Entry) {
    return Now - Entry.second.m_At > SuspectRetention;
  });
}

} // namespace havenstair
