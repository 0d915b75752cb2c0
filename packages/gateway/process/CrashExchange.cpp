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

/// Interval at which quarantines are written to the store and old state is
/// dropped.
constexpr Duration TickInterval = 250ms;

/// Limit for completed runs that wait to be confirmed: ten times as many as a
/// box completes within the blame window.
constexpr std::size_t MaxRuns = 2048;

/// How long a request is held for a running probe, which is answered or refused
/// within this time.
constexpr Duration ProbeHold = 300ms;

/// A timer may expire some milliseconds early.
constexpr Duration TimerSlack = 2ms;

/// A request that waits for an evaluation continues this long after it was due:
/// a busy event loop runs its timers late.
constexpr Duration EvaluationSlack = 100ms;

/// Limit for digests in one log line.
constexpr std::size_t MaxLoggedDigests = 16;

/// Limit for quarantines in one frame to a box that has just been linked, which
/// keeps it below 20 KB.
constexpr std::size_t MaxEntriesPerFrame = 128;

Json loggedDigests(const std::vector<RequestDigest> &Requests) {
  Json Result = Json::array();
  for (const RequestDigest &Each : Requests)
    if (Result.size() < MaxLoggedDigests)
      Result.push_back(Each.str());
  return Result;
}

} // namespace

CrashExchange::CrashExchange(EventLoop &Loop, HttpClient &Client,
                             CoordinationStore &Store, Fleet &Boxes,
                             const ServingView &View, CrashBook &Tracker,
                             DecisionLog &Log, const std::string &Prefix,
                             Hooks Callbacks)
    : m_Loop(Loop), m_Fleet(Boxes), m_Tracker(Tracker), m_Log(Log),
      m_Hooks(std::move(Callbacks)),
      m_Detector(Client, View, detectorHooks(m_Hooks.m_Detector)),
      m_Quarantine(Store, Log, Prefix) {
  m_TickTimer = Loop.every(TickInterval, [this] { tick(); });
}

CrashDetector::Hooks CrashExchange::detectorHooks(CrashDetector::Hooks Outer) {
  Outer.m_Ended = [this](const UpstreamLife &Upstream,
                         const std::set<RequestDigest> &Running) {
    m_Hooks.m_ProbeEnded("ended");
    reportEnd(Upstream, {Running.begin(), Running.end()});
  };
  Outer.m_NotEnded = [this, Lives = std::move(Outer.m_NotEnded)](
                         const UpstreamLife &Upstream,
                         const AnswerFacts &Answer, TimePoint AskedAt) {
    m_Hooks.m_ProbeEnded("lives");
    Lives(Upstream, Answer, AskedAt);
    m_Hooks.m_Changed();
  };
  return Outer;
}

void CrashExchange::tick() {
  const TimePoint Now = EventLoop::now();
  probeAfterRuns(Now);
  confirmRuns(Now);
  m_Detector.prune(Now);
  m_Tracker.prune(Now);
  if (m_Hooks.m_IsWriter())
    m_Quarantine.reconcile(m_Tracker.bars(), Now);
}

void CrashExchange::onConnectionBroken(
    const UpstreamLife &Upstream, const std::optional<RequestDigest> &Request) {
  m_Detector.onConnectionBroken(Upstream, Request, EventLoop::now());
}

void CrashExchange::onConnectFailed(const UpstreamLife &Upstream) {
  const TimePoint Now = EventLoop::now();
  for (const Run &Each : m_Runs)
    if (Each.m_Upstream == Upstream)
      m_Detector.onConnectionBroken(Upstream, Each.m_Request, Now);
}

void CrashExchange::onCompleted(const UpstreamLife &Upstream,
                                const RequestDigest &Request) {
  if (m_Runs.size() >= MaxRuns)
    m_Runs.pop_front();
  m_Runs.push_back(
      {.m_Upstream = Upstream, .m_Request = Request, .m_At = EventLoop::now()});
}

/// Probes the upstreams of completed runs that would clear a suspicious
/// request: without other requests nothing might show that the upstream has
/// crashed.
void CrashExchange::probeAfterRuns(TimePoint Now) {
  for (Run &Each : m_Runs) {
    if (Each.m_Probed || Now - Each.m_At < CrashGuard::BlameWindow / 2 ||
        !m_Tracker.suspicious(Each.m_Request, Now))
      continue;
    Each.m_Probed = true;
    m_Detector.onConnectionBroken(Each.m_Upstream, Each.m_Request, Now);
  }
}

/// Clears requests whose upstreams are still up after the blame window: a
/// request may crash its upstream shortly after the answer.
void CrashExchange::confirmRuns(TimePoint Now) {
  while (!m_Runs.empty() &&
         Now - m_Runs.front().m_At >= CrashGuard::BlameWindow) {
    const Run Oldest = m_Runs.front();
    m_Runs.pop_front();
    if (!m_Detector.mayHaveEnded(Oldest.m_Upstream))
      clear(Oldest.m_Request);
  }
}

void CrashExchange::clear(const RequestDigest &Request) {
  if (!m_Tracker.ranWell(Request, EventLoop::now()))
    return;
  m_Log.write("request_cleared",
              {{"digest", Request.str()}, {"by", m_Fleet.self().str()}});
  m_Fleet.sendAll(RanWellFrame{.m_Request = Request});
  // The requests that shared its crashed upstreams become more likely causes.
  evaluate();
}

std::optional<Duration> CrashExchange::holdTime(const RequestDigest &Request,
                                                TimePoint Now) const {
  if (const auto JudgedAt = m_Tracker.judgedAt(Request, Now))
    return *JudgedAt - Now + EvaluationSlack;
  // One more crash would quarantine it.
  if (m_Tracker.suspicious(Request, Now) && m_Detector.probing(Request))
    return ProbeHold;
  return std::nullopt;
}

void CrashExchange::reportEnd(const UpstreamLife &Upstream,
                              const std::vector<RequestDigest> &Running) {
  std::set<RequestDigest> All(Running.begin(), Running.end());
  for (const Run &Each : m_Runs)
    if (Each.m_Upstream == Upstream)
      All.insert(Each.m_Request);
  const CrashFrame Frame{.m_Server = Upstream,
                         .m_Running = {All.begin(), All.end()}};
  m_Log.write("server_ended", {{"upstream", Upstream.m_Id},
                               {"born", Upstream.m_Born},
                               {"requests", Frame.m_Running.size()},
                               {"digests", loggedDigests(Frame.m_Running)}});
  if (recordEnd(Frame))
    m_Fleet.sendRelays(Frame);
  m_Hooks.m_Changed();
}

/// Records a crash that this box or a peer has detected. \returns whether it is
/// new.
bool CrashExchange::recordEnd(const CrashFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  const CrashBook::Heard Result =
      m_Tracker.crashed(Frame.m_Server, Frame.m_Running, Now);
  for (const RequestDigest &Each : Result.m_RanWell)
    m_Fleet.sendAll(RanWellFrame{.m_Request = Each});
  if (!Result.m_New)
    return false;
  // Leaves are not told of crashes, but may know which of the requests
  // completed without harm.
  if (m_Fleet.topology().relay() && !m_Fleet.topology().flat())
    sendSuspects(Frame.m_Running);
  scheduleEvaluation();
  return true;
}

void CrashExchange::sendSuspects(const std::vector<RequestDigest> &Among) {
  CrashSuspectsFrame Frame;
  for (const RequestDigest &Each : Among)
    if (m_Tracker.suspicious(Each, EventLoop::now()))
      Frame.m_Requests.push_back(Each);
  if (!Frame.m_Requests.empty())
    m_Fleet.sendLeaves(Frame);
}

void CrashExchange::scheduleEvaluation() {
  const TimePoint Now = EventLoop::now();
  if (const auto First = m_Tracker.settlesAt(Now))
    m_EvaluationTimer =
        m_Loop.after(*First - Now + TimerSlack, [this] { evaluate(); });
}

void CrashExchange::evaluate() {
  const TimePoint Now = EventLoop::now();
  const std::vector<RequestDigest> Barred =
      m_Tracker.judge(m_Fleet.self(), Now);
  scheduleEvaluation();
  for (const RequestDigest &Each : Barred)
    logQuarantined(Each, "judged");
  if (!Barred.empty())
    m_Fleet.sendAll(RequestBarsFrame{.m_Bars = quarantineEntries(Barred)});
  m_Hooks.m_Changed();
}

void CrashExchange::logQuarantined(const RequestDigest &Request,
                                   std::string_view How) {
  const TimePoint Now = EventLoop::now();
  const RequestBar *Bar = m_Tracker.bar(Request, Now);
  if (Bar == nullptr)
    return;
  m_Log.write("request_barred", {{"digest", Request.str()},
                                 {"servers", Bar->m_Servers},
                                 {"by", Bar->m_By.str()},
                                 {"how", How},
                                 {"since_ms", (Now - Bar->m_Since) / 1ms},
                                 {"for_ms", (Bar->m_Until - Now) / 1ms}});
}

std::vector<ToldBar> CrashExchange::quarantineEntries(
    const std::vector<RequestDigest> &Requests) const {
  const TimePoint Now = EventLoop::now();
  std::vector<ToldBar> Result;
  for (const RequestDigest &Each : Requests)
    if (const RequestBar *Bar = m_Tracker.bar(Each, Now))
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
  QuarantineStore::Changes Changes = m_Quarantine.entriesChanged(Items);
  m_Tracker.letThrough(std::move(Changes.m_Released));
  for (auto &[Request, Bar] : Changes.m_Added) {
    // The age of the quarantine is unknown: the boxes that knew it may all have
    // stopped.
    Bar.m_Since = Now;
    Bar.m_Until = TimePoint::max();
    if (m_Tracker.adopt(Request, Bar, Now))
      logQuarantined(Request, "stored");
  }
  m_Hooks.m_Changed();
}

void CrashExchange::linkUp(const BoxName &Box) {
  std::vector<RequestDigest> All;
  for (const auto &[Request, Bar] : m_Tracker.bars())
    All.push_back(Request);
  std::vector<ToldBar> Bars = quarantineEntries(All);
  for (std::size_t First = 0; First < Bars.size();
       First += MaxEntriesPerFrame) {
    const auto From = Bars.begin() + static_cast<std::ptrdiff_t>(First);
    const auto Count = std::min(MaxEntriesPerFrame, Bars.size() - First);
    m_Fleet.send(
        Box, RequestBarsFrame{
                 .m_Bars = {From, From + static_cast<std::ptrdiff_t>(Count)}});
  }
}

void CrashExchange::onFrame(const BoxName &From, const PeerFrame &Frame) {
  std::visit(
      [&](const auto &Each) {
        if constexpr (requires { receive(From, Each); })
          receive(From, Each);
      },
      Frame);
}

void CrashExchange::receive(const BoxName &From, const CrashFrame &Frame) {
  if (!recordEnd(Frame))
    return;
  m_Detector.onEndReported(Frame.m_Server);
  const FleetTopology &Topology = m_Fleet.topology();
  if (Topology.relay() && !Topology.flat() && !Topology.isRelay(From))
    m_Fleet.sendRelays(Frame, From);
  m_Hooks.m_Changed();
}

void CrashExchange::receive(const BoxName &, const CrashSuspectsFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  for (const RequestDigest &Each : Frame.m_Requests)
    if (m_Tracker.suspected(Each, Now))
      m_Fleet.sendAll(RanWellFrame{.m_Request = Each});
}

void CrashExchange::receive(const BoxName &From, const RanWellFrame &Frame) {
  if (!m_Tracker.ranWell(Frame.m_Request, EventLoop::now()))
    return;
  m_Log.write("request_cleared",
              {{"digest", Frame.m_Request.str()}, {"by", From.str()}});
  m_Fleet.passOn(Frame, From);
  evaluate();
}

void CrashExchange::receive(const BoxName &From,
                            const RequestBarsFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  RequestBarsFrame New;
  for (const ToldBar &Each : Frame.m_Bars) {
    // A box that was disconnected when the quarantine was lifted would
    // otherwise bring it back.
    if (m_Tracker.pardoned(Each.m_Request))
      m_Fleet.send(From, RanWellFrame{.m_Request = Each.m_Request});
    const RequestBar Bar{.m_Servers = Each.m_Servers,
                         .m_By = Each.m_By,
                         .m_Since = Now - Each.m_Age,
                         .m_Until = Now + Each.m_Left};
    if (!m_Tracker.adopt(Each.m_Request, Bar, Now))
      continue;
    logQuarantined(Each.m_Request, "told");
    New.m_Bars.push_back(Each);
  }
  if (New.m_Bars.empty())
    return;
  m_Fleet.passOn(New, From);
  m_Hooks.m_Changed();
}

} // namespace havenstair
