#include "gateway/process/CrashExchange.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/Fleet.h"
#include "gateway/request/CrashGuard.h"
#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace havenstair {

namespace {

/// How often bars are brought to the store, and what is old is forgotten.
constexpr Duration TickEvery = 250ms;

/// Runs that wait for that: ten times what a box answers in such a time.
constexpr std::size_t MostRuns = 2048;

/// A server that is asked answers or refuses within this time.
constexpr Duration AskedFor = 300ms;

/// A timer may end some milliseconds before its time.
constexpr Duration TimerEarly = 2ms;

/// What waits to be judged goes on without it after as long: a loop that is
/// busy comes late to its timers.
constexpr Duration JudgedWithin = 100ms;

/// Named in one log line.
constexpr std::size_t MostLogged = 16;

/// Bars in one frame to a box that has come: 20 KB.
constexpr std::size_t MostTold = 128;

Json logged(const std::vector<RequestDigest> &Requests) {
  Json Result = Json::array();
  for (const RequestDigest &Each : Requests)
    if (Result.size() < MostLogged)
      Result.push_back(Each.str());
  return Result;
}

} // namespace

CrashExchange::CrashExchange(EventLoop &Loop, HttpClient &Client,
                             CoordinationStore &Store, Fleet &Boxes,
                             const ServingView &View, CrashTracker &Book,
                             DecisionLog &Log, const std::string &Prefix,
                             Hooks Callbacks)
    : m_Loop(Loop), m_Fleet(Boxes), m_Book(Book), m_Log(Log),
      m_Hooks(std::move(Callbacks)),
      m_Watch(Client, View, watchHooks(m_Hooks.m_Watch)),
      m_Keeper(Store, Log, Prefix) {
  m_TickTimer = Loop.every(TickEvery, [this] { tick(); });
}

CrashWatch::Hooks CrashExchange::watchHooks(CrashWatch::Hooks Outer) {
  Outer.m_Crashed = [this](const UpstreamIncarnation &Server,
                           const std::set<RequestDigest> &Running) {
    m_Hooks.m_Asked("ended");
    crashed(Server, {Running.begin(), Running.end()});
  };
  Outer.m_Lives = [this, Lives = std::move(Outer.m_Lives)](
                      const UpstreamIncarnation &Server,
                      const AnswerFacts &Answer, TimePoint AskedAt) {
    m_Hooks.m_Asked("lives");
    Lives(Server, Answer, AskedAt);
    m_Hooks.m_Changed();
  };
  return Outer;
}

void CrashExchange::tick() {
  const TimePoint Now = EventLoop::now();
  askAfterRuns(Now);
  confirmRuns(Now);
  m_Watch.prune(Now);
  m_Book.prune(Now);
  if (m_Hooks.m_Writes())
    m_Keeper.write(m_Book.quarantines(), Now);
}

void CrashExchange::broke(const UpstreamIncarnation &Server,
                          const std::optional<RequestDigest> &Request) {
  m_Watch.broke(Server, Request, EventLoop::now());
}

void CrashExchange::unreachable(const UpstreamIncarnation &Server) {
  const TimePoint Now = EventLoop::now();
  for (const Run &Each : m_Runs)
    if (Each.m_Server == Server)
      m_Watch.broke(Server, Each.m_Request, Now);
}

void CrashExchange::ranWell(const UpstreamIncarnation &Server,
                            const RequestDigest &Request) {
  if (m_Runs.size() >= MostRuns)
    m_Runs.pop_front();
  m_Runs.push_back(
      {.m_Server = Server, .m_Request = Request, .m_At = EventLoop::now()});
}

/// Where a run would clear a request that servers ended under, its server is
/// asked: without other requests nobody might notice that it has ended.
void CrashExchange::askAfterRuns(TimePoint Now) {
  for (Run &Each : m_Runs) {
    if (Each.m_Asked || Now - Each.m_At < CrashGuard::LivesOnFor / 2 ||
        !m_Book.isSuspect(Each.m_Request, Now))
      continue;
    Each.m_Asked = true;
    m_Watch.broke(Each.m_Server, Each.m_Request, Now);
  }
}

/// A server may end by a request just after it has answered.
void CrashExchange::confirmRuns(TimePoint Now) {
  while (!m_Runs.empty() &&
         Now - m_Runs.front().m_At >= CrashGuard::LivesOnFor) {
    const Run Of = m_Runs.front();
    m_Runs.pop_front();
    if (!m_Watch.mayHaveEnded(Of.m_Server))
      cleared(Of.m_Request);
  }
}

void CrashExchange::cleared(const RequestDigest &Request) {
  if (!m_Book.recordCompletion(Request, EventLoop::now()))
    return;
  m_Log.write("request_cleared",
              {{"digest", Request.str()}, {"by", m_Fleet.self().str()}});
  m_Fleet.sendAll(RanWellFrame{.m_Request = Request});
  // What was there with it each time is left alone with the blame.
  judge();
}

std::optional<Duration> CrashExchange::hold(const RequestDigest &Request,
                                            TimePoint Now) const {
  if (const auto JudgedAt = m_Book.decisionTime(Request, Now))
    return *JudgedAt - Now + JudgedWithin;
  // One end more, and it would be barred.
  if (m_Book.isSuspect(Request, Now) && m_Watch.asking(Request))
    return AskedFor;
  return std::nullopt;
}

void CrashExchange::crashed(const UpstreamIncarnation &Server,
                            const std::vector<RequestDigest> &Running) {
  std::set<RequestDigest> All(Running.begin(), Running.end());
  for (const Run &Each : m_Runs)
    if (Each.m_Server == Server)
      All.insert(Each.m_Request);
  const CrashFrame Frame{.m_Server = Server,
                         .m_Running = {All.begin(), All.end()}};
  m_Log.write("server_ended", {{"upstream", Server.m_Id},
                               {"born", Server.m_StartTime},
                               {"requests", Frame.m_Running.size()},
                               {"digests", logged(Frame.m_Running)}});
  if (heard(Frame))
    m_Fleet.sendRelays(Frame);
  m_Hooks.m_Changed();
}

/// \returns whether it is new.
bool CrashExchange::heard(const CrashFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  const CrashTracker::RecordResult Heard =
      m_Book.recordCrash(Frame.m_Server, Frame.m_Running, Now);
  for (const RequestDigest &Each : Heard.m_Completed)
    m_Fleet.sendAll(RanWellFrame{.m_Request = Each});
  if (!Heard.m_New)
    return false;
  // Leaves hear of no ends; those may know which requests ran well.
  if (m_Fleet.topology().relay() && !m_Fleet.topology().flat())
    tellSuspects(Frame.m_Running);
  judgeLater();
  return true;
}

void CrashExchange::tellSuspects(const std::vector<RequestDigest> &Among) {
  CrashSuspectsFrame Frame;
  for (const RequestDigest &Each : Among)
    if (m_Book.isSuspect(Each, EventLoop::now()))
      Frame.m_Requests.push_back(Each);
  if (!Frame.m_Requests.empty())
    m_Fleet.sendLeaves(Frame);
}

void CrashExchange::judgeLater() {
  const TimePoint Now = EventLoop::now();
  if (const auto At = m_Book.nextDecisionTime(Now))
    m_JudgeTimer = m_Loop.after(*At - Now + TimerEarly, [this] { judge(); });
}

void CrashExchange::judge() {
  const TimePoint Now = EventLoop::now();
  const std::vector<RequestDigest> Barred =
      m_Book.quarantineSuspects(m_Fleet.self(), Now);
  judgeLater();
  for (const RequestDigest &Each : Barred)
    noteBarred(Each, "judged");
  if (!Barred.empty())
    m_Fleet.sendAll(RequestBarsFrame{.m_Bars = toldBars(Barred)});
  m_Hooks.m_Changed();
}

void CrashExchange::noteBarred(const RequestDigest &Request,
                               std::string_view How) {
  const TimePoint Now = EventLoop::now();
  const RequestQuarantine *Bar = m_Book.findQuarantine(Request, Now);
  if (Bar == nullptr)
    return;
  m_Log.write("request_barred", {{"digest", Request.str()},
                                 {"servers", Bar->m_Servers},
                                 {"by", Bar->m_By.str()},
                                 {"how", How},
                                 {"since_ms", (Now - Bar->m_Since) / 1ms},
                                 {"for_ms", (Bar->m_Until - Now) / 1ms}});
}

std::vector<ToldBar>
CrashExchange::toldBars(const std::vector<RequestDigest> &Of) const {
  const TimePoint Now = EventLoop::now();
  std::vector<ToldBar> Result;
  for (const RequestDigest &Each : Of)
    if (const RequestQuarantine *Bar = m_Book.findQuarantine(Each, Now))
      Result.push_back({.m_Request = Each,
                        .m_Servers = Bar->m_Servers,
                        .m_By = Bar->m_By,
                        .m_Age = Now - Bar->m_Since,
                        .m_Left = Bar->m_Until - Now});
  return Result;
}

void CrashExchange::entriesChanged(
    const std::map<std::string, StoreItem> &Items) {
  const TimePoint Now = EventLoop::now();
  BarKeeper::News News = m_Keeper.entriesChanged(Items);
  m_Book.setReleased(std::move(News.m_LetThrough));
  for (auto &[Request, Bar] : News.m_Bars) {
    // How old it is nobody can tell: the boxes that knew may all have ended.
    Bar.m_Since = Now;
    Bar.m_Until = TimePoint::max();
    if (m_Book.adopt(Request, Bar, Now))
      noteBarred(Request, "stored");
  }
  m_Hooks.m_Changed();
}

void CrashExchange::linkUp(const BoxName &Box) {
  std::vector<RequestDigest> All;
  for (const auto &[Request, Bar] : m_Book.quarantines())
    All.push_back(Request);
  std::vector<ToldBar> Bars = toldBars(All);
  for (std::size_t At = 0; At < Bars.size(); At += MostTold) {
    const auto From = Bars.begin() + static_cast<std::ptrdiff_t>(At);
    const auto Count = std::min(MostTold, Bars.size() - At);
    m_Fleet.send(
        Box, RequestBarsFrame{
                 .m_Bars = {From, From + static_cast<std::ptrdiff_t>(Count)}});
  }
}

void CrashExchange::onFrame(const BoxName &From, const PeerFrame &Frame) {
  std::visit(
      [&](const auto &Each) {
        if constexpr (requires { take(From, Each); })
          take(From, Each);
      },
      Frame);
}

void CrashExchange::take(const BoxName &From, const CrashFrame &Frame) {
  if (!heard(Frame))
    return;
  m_Watch.heardOfEnd(Frame.m_Server);
  const FleetTopology &Topology = m_Fleet.topology();
  if (Topology.relay() && !Topology.flat() && !Topology.isRelay(From))
    m_Fleet.sendRelays(Frame, From);
  m_Hooks.m_Changed();
}

void CrashExchange::take(const BoxName &, const CrashSuspectsFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  for (const RequestDigest &Each : Frame.m_Requests)
    if (m_Book.addSuspect(Each, Now))
      m_Fleet.sendAll(RanWellFrame{.m_Request = Each});
}

void CrashExchange::take(const BoxName &From, const RanWellFrame &Frame) {
  if (!m_Book.recordCompletion(Frame.m_Request, EventLoop::now()))
    return;
  m_Log.write("request_cleared",
              {{"digest", Frame.m_Request.str()}, {"by", From.str()}});
  m_Fleet.passOn(Frame, From);
  judge();
}

void CrashExchange::take(const BoxName &From, const RequestBarsFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  RequestBarsFrame New;
  for (const ToldBar &Each : Frame.m_Bars) {
    // Who was cut off as the bar was lifted would keep it up.
    if (m_Book.wasLifted(Each.m_Request))
      m_Fleet.send(From, RanWellFrame{.m_Request = Each.m_Request});
    const RequestQuarantine Bar{.m_Servers = Each.m_Servers,
                                .m_By = Each.m_By,
                                .m_Since = Now - Each.m_Age,
                                .m_Until = Now + Each.m_Left};
    if (!m_Book.adopt(Each.m_Request, Bar, Now))
      continue;
    noteBarred(Each.m_Request, "told");
    New.m_Bars.push_back(Each);
  }
  if (New.m_Bars.empty())
    return;
  m_Fleet.passOn(New, From);
  m_Hooks.m_Changed();
}

} // namespace havenstair
