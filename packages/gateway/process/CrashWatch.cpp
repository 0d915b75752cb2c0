#include "gateway/process/CrashWatch.h"

#include "wire/common/EventLoop.h"
#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// How long breaks of one server belong together: connections break within
/// milliseconds, and a later start of it is listed within three of its
/// heartbeats and the lag of the list.
constexpr Duration Remembered = 10s;

/// Servers of which breaks are remembered; more are not looked at.
constexpr std::size_t MostServers = 256;
constexpr std::size_t MostRunning = 256;

} // namespace

CrashWatch::CrashWatch(HttpClient &Client, const ServingView &View,
                       Hooks Callbacks)
    : m_Client(Client), m_View(View), m_Hooks(std::move(Callbacks)) {}

void CrashWatch::broke(const UpstreamIncarnation &Server,
                       const std::optional<RequestDigest> &Request,
                       TimePoint Now) {
  const UpstreamInstance *At = m_View.find(Server.m_Id);
  // Who leaves as planned takes with it what still runs.
  if (At == nullptr || m_View.isLeaving(*At) || At->m_Remaining)
    return;
  if (!m_Broken.contains(Server) && m_Broken.size() >= MostServers)
    return;
  const auto [Found, New] = m_Broken.try_emplace(Server, Broken{.m_At = Now});
  Broken &Of = Found->second;
  Of.m_At = Now;
  const bool Noted = !Request || Of.m_Running.contains(*Request);
  if (Request && Of.m_Running.size() < MostRunning)
    Of.m_Running.insert(*Request);
  if (Of.m_State == State::Ended && Noted)
    return;
  if (Of.m_State == State::Ended)
    return m_Hooks.m_Crashed(Server, {*Request});
  if (m_View.superseded(Server))
    return ended(Server);
  if (New || Of.m_State != State::Asked)
    ask(Server, *At);
}

void CrashWatch::ask(const UpstreamIncarnation &Server,
                     const UpstreamInstance &At) {
  HttpCall Call = m_Hooks.m_Question(At);
  const TimePoint AskedAt = EventLoop::now();
  const TimePoint Until = AskedAt + Call.m_ConnectTimeout;
  Broken &Of = m_Broken.at(Server);
  Of.m_State = State::Asked;
  Of.m_Question =
      m_Client.fetchHeld(std::move(Call), [this, Server, AskedAt,
                                           Until](const HttpAnswer &Answer) {
        answered(Server, Answer, AskedAt, EventLoop::now() < Until);
      });
}

void CrashWatch::answered(const UpstreamIncarnation &Server,
                          const HttpAnswer &Answer, TimePoint AskedAt,
                          bool InTime) {
  const auto Found = m_Broken.find(Server);
  if (Found == m_Broken.end() || Found->second.m_State == State::Ended)
    return;
  const bool Refused = Answer.m_End == HttpEnd::NotWritten && InTime;
  const AnswerFacts Facts =
      m_Hooks.m_ReadAnswer(Answer.m_Status, Answer.m_Headers);
  const bool Other =
      !Facts.m_Instance.empty() && Facts.m_Instance != Server.m_Id;
  if (Refused || Other || m_View.superseded(Server))
    return ended(Server);
  const bool Answered = Answer.m_End == HttpEnd::Complete;
  Found->second.m_State = Answered ? State::Lives : State::Silent;
  m_Hooks.m_Lives(Server, Facts, AskedAt);
}

void CrashWatch::ended(const UpstreamIncarnation &Server) {
  Broken &Of = m_Broken.at(Server);
  Of.m_State = State::Ended;
  const std::set<RequestDigest> Running = Of.m_Running;
  m_Hooks.m_Crashed(Server, Running);
}

bool CrashWatch::asking(const RequestDigest &Request) const {
  return std::any_of(m_Broken.begin(), m_Broken.end(), [&](const auto &Each) {
    return Each.second.m_State == State::Asked &&
           Each.second.m_Running.contains(Request);
  });
}

void CrashWatch::heardOfEnd(const UpstreamIncarnation &Server) {
  const auto Found = m_Broken.find(Server);
  if (Found != m_Broken.end() && (Found->second.m_State == State::Asked ||
                                  Found->second.m_State == State::Silent))
    ended(Server);
}

bool CrashWatch::mayHaveEnded(const UpstreamIncarnation &Server) const {
  const auto Found = m_Broken.find(Server);
  return Found != m_Broken.end() && Found->second.m_State != State::Lives;
}

void CrashWatch::listed(TimePoint Now) {
  std::vector<UpstreamIncarnation> Ended;
  for (const auto &[Server, Of] : m_Broken) {
    const bool Gone = Of.m_State == State::Silent &&
                      !m_View.list().m_Instances.contains(Server.m_Id) &&
                      Now - Of.m_At < Remembered;
    if (Of.m_State != State::Ended && (Gone || m_View.superseded(Server)))
      Ended.push_back(Server);
  }
  for (const UpstreamIncarnation &Server : Ended)
    ended(Server);
}

void CrashWatch::prune(TimePoint Now) {
  std::erase_if(m_Broken, [&](const auto &Each) {
    return Now - Each.second.m_At > Remembered;
  });
}

} // namespace havenstair
