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
/// box completes while they wait.
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
  for (const RequestDigest &Request : Requests)
    if (Result.size() < MaxLoggedDigests)
      Result.push_back(Request.str());
  return Result;
}

} // namespace

CrashExchange::CrashExchange(EventLoop &Loop, HttpClient &Client,
                             CoordinationStore &Store, Fleet &Boxes,
                             const ServingView &View, CrashTracker &Tracker,
                             DecisionLog &Log, const std::string &Prefix,
                             Hooks Callbacks)
    : m_Loop(Loop), m_Fleet(Boxes), m_Tracker(Tracker), m_Log(Log),
      m_Hooks(std::move(Callbacks)),
      m_Detector(Client, View, detectorHooks(m_Hooks.m_Detector)),
      m_Quarantine(Store, Log, Prefix) {
  m_TickTimer = Loop.every(TickInterval, [this] { tick(); });
}

CrashDetector::Hooks CrashExchange::detectorHooks(CrashDetector::Hooks Outer) {
  Outer.m_Ended = [this](const UpstreamIncarnation &Upstream,
                         const std::set<RequestDigest> &Running) {
    m_Hooks.m_ProbeEnded("ended");
    reportEnd(Upstream, {Running.begin(), Running.end()});
  };
  Outer.m_NotEnded = [this, NotEnded = std::move(Outer.m_NotEnded)](
                         const UpstreamIncarnation &Upstream,
                         const AnswerFacts &Answer, TimePoint AskedAt) {
    m_Hooks.m_ProbeEnded("lives");
    NotEnded(Upstream, Answer, AskedAt);
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
    m_Quarantine.reconcile(m_Tracker.quarantines(), Now);
}

void CrashExchange::onConnectionBroken(
    const UpstreamIncarnation &Upstream,
    const std::optional<RequestDigest> &Request) {
  m_Detector.onConnectionBroken(Upstream, Request, EventLoop::now());
}

void CrashExchange::onConnectFailed(const UpstreamIncarnation &Upstream) {
  const TimePoint Now = EventLoop::now();
  for (const Run &Completed : m_Runs)
    if (Completed.m_Upstream == Upstream)
      m_Detector.onConnectionBroken(Upstream, Completed.m_Request, Now);
}

void CrashExchange::onCompleted(const UpstreamIncarnation &Upstream,
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
  for (Run &Completed : m_Runs) {
    if (Completed.m_Probed ||
        Now - Completed.m_At < CrashGuard::BlameWindow / 2 ||
        !m_Tracker.isSuspect(Completed.m_Request, Now))
      continue;
    Completed.m_Probed = true;
    m_Detector.onConnectionBroken(Completed.m_Upstream, Completed.m_Request,
                                  Now);
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
  if (!m_Tracker.recordCompletion(Request, EventLoop::now()))
    return;
  m_Log.write("request_cleared",
              {{"digest", Request.str()}, {"by", m_Fleet.self().str()}});
  m_Fleet.sendAll(RequestClearedFrame{.m_Request = Request});
  // The requests that shared its crashed upstreams become more likely causes.
  evaluate();
}

std::optional<Duration> CrashExchange::holdTime(const RequestDigest &Request,
                                                TimePoint Now) const {
  if (const auto JudgedAt = m_Tracker.decisionTime(Request, Now))
    return *JudgedAt - Now + EvaluationSlack;
  // One more crash would quarantine it.
  if (m_Tracker.isSuspect(Request, Now) && m_Detector.probing(Request))
    return ProbeHold;
  return std::nullopt;
}

void CrashExchange::reportEnd(const UpstreamIncarnation &Upstream,
                              const std::vector<RequestDigest> &Running) {
  std::set<RequestDigest> All(Running.begin(), Running.end());
  for (const Run &Completed : m_Runs)
    if (Completed.m_Upstream == Upstream)
      All.insert(Completed.m_Request);
  const CrashFrame Frame{.m_Server = Upstream,
                         .m_Running = {All.begin(), All.end()}};
  m_Log.write("server_ended", {{"upstream", Upstream.m_Id},
                               {"born", Upstream.m_StartTime},
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
  const CrashTracker::RecordResult Result =
      m_Tracker.recordCrash(Frame.m_Server, Frame.m_Running, Now);
  for (const RequestDigest &Request : Result.m_Completed)
    m_Fleet.sendAll(RequestClearedFrame{.m_Request = Request});
  if (!Result.m_New)
    return false;
  // Crashes are not reported to leaves, but these may know which of the
  // requests completed without harm.
  if (m_Fleet.topology().relay() && !m_Fleet.topology().flat())
    sendSuspects(Frame.m_Running);
  scheduleEvaluation();
  return true;
}

void CrashExchange::sendSuspects(const std::vector<RequestDigest> &Among) {
  CrashSuspectsFrame Frame;
  for (const RequestDigest &Request : Among)
    if (m_Tracker.isSuspect(Request, EventLoop::now()))
      Frame.m_Requests.push_back(Request);
  if (!Frame.m_Requests.empty())
    m_Fleet.sendLeaves(Frame);
}

void CrashExchange::scheduleEvaluation() {
  const TimePoint Now = EventLoop::now();
  if (const auto First = m_Tracker.nextDecisionTime(Now))
    m_EvaluationTimer =
        m_Loop.after(*First - Now + TimerSlack, [this] { evaluate(); });
}

void CrashExchange::evaluate() {
  const TimePoint Now = EventLoop::now();
  const std::vector<RequestDigest> Quarantined =
      m_Tracker.quarantineSuspects(m_Fleet.self(), Now);
  scheduleEvaluation();
  for (const RequestDigest &Request : Quarantined)
    logQuarantined(Request, "judged");
  if (!Quarantined.empty())
    m_Fleet.sendAll(
        QuarantinesFrame{.m_Quarantines = quarantineEntries(Quarantined)});
  m_Hooks.m_Changed();
}

void CrashExchange::logQuarantined(const RequestDigest &Request,
                                   std::string_view How) {
  const TimePoint Now = EventLoop::now();
  const RequestQuarantine *Quarantine = m_Tracker.findQuarantine(Request, Now);
  if (Quarantine == nullptr)
    return;
  m_Log.write("request_barred",
              {{"digest", Request.str()},
               {"servers", Quarantine->m_Upstreams},
               {"by", Quarantine->m_By.str()},
               {"how", How},
               {"since_ms", (Now - Quarantine->m_Since) / 1ms},
               {"for_ms", (Quarantine->m_Until - Now) / 1ms}});
}

std::vector<ReportedQuarantine> CrashExchange::quarantineEntries(
    const std::vector<RequestDigest> &Requests) const {
  const TimePoint Now = EventLoop::now();
  std::vector<ReportedQuarantine> Result;
  for (const RequestDigest &Request : Requests)
    if (const RequestQuarantine *Quarantine =
            m_Tracker.findQuarantine(Request, Now))
      Result.push_back({.m_Request = Request,
                        .m_Upstreams = Quarantine->m_Upstreams,
                        .m_By = Quarantine->m_By,
                        .m_Age = Now - Quarantine->m_Since,
                        .m_Left = Quarantine->m_Until - Now});
  return Result;
}

void CrashExchange::entriesChanged(
    const std::map<std::string, StoreItem> &Items, const StoreRevision &At) {
  const TimePoint Now = EventLoop::now();
  QuarantineStore::Changes Changes =
      m_Quarantine.entriesChanged(Items, At, Now);
  m_Tracker.setReleased(std::move(Changes.m_Released));
  for (auto &[Request, Quarantine] : Changes.m_Added) {
    // The age of the quarantine is unknown: the boxes that knew it may all have
    // stopped.
    Quarantine.m_Since = Now;
    Quarantine.m_Until = TimePoint::max();
    if (m_Tracker.adopt(Request, Quarantine, Now))
      logQuarantined(Request, "stored");
  }
  m_Hooks.m_Changed();
}

void CrashExchange::linkUp(const BoxName &Box) {
  std::vector<RequestDigest> All;
  for (const auto &[Request, Quarantine] : m_Tracker.quarantines())
    All.push_back(Request);
  std::vector<ReportedQuarantine> Quarantines = quarantineEntries(All);
  for (std::size_t First = 0; First < Quarantines.size();
       First += MaxEntriesPerFrame) {
    const auto From = Quarantines.begin() + static_cast<std::ptrdiff_t>(First);
    const auto Count = std::min(MaxEntriesPerFrame, Quarantines.size() - First);
    m_Fleet.send(
        Box,
        QuarantinesFrame{.m_Quarantines = {
                             From, From + static_cast<std::ptrdiff_t>(Count)}});
  }
}

void CrashExchange::onFrame(const BoxName &From, const PeerFrame &Frame) {
  std::visit(
      [&](const auto &Content) {
        if constexpr (requires { receive(From, Content); })
          receive(From, Content);
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
  for (const RequestDigest &Request : Frame.m_Requests)
    if (m_Tracker.addSuspect(Request, Now))
      m_Fleet.sendAll(RequestClearedFrame{.m_Request = Request});
}

void CrashExchange::receive(const BoxName &From,
                            const RequestClearedFrame &Frame) {
  if (!m_Tracker.recordCompletion(Frame.m_Request, EventLoop::now()))
    return;
  m_Log.write("request_cleared",
              {{"digest", Frame.m_Request.str()}, {"by", From.str()}});
  m_Fleet.passOn(Frame, From);
  evaluate();
}

void CrashExchange::receive(const BoxName &From,
                            const QuarantinesFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  QuarantinesFrame Adopted;
  for (const ReportedQuarantine &Received : Frame.m_Quarantines) {
    // A box that was disconnected when the quarantine was lifted would
    // otherwise bring it back.
    if (m_Tracker.wasLifted(Received.m_Request))
      m_Fleet.send(From, RequestClearedFrame{.m_Request = Received.m_Request});
    const RequestQuarantine Quarantine{.m_Upstreams = Received.m_Upstreams,
                                       .m_By = Received.m_By,
                                       .m_Since = Now - Received.m_Age,
                                       .m_Until = Now + Received.m_Left};
    if (!m_Tracker.adopt(Received.m_Request, Quarantine, Now))
      continue;
    logQuarantined(Received.m_Request, "told");
    Adopted.m_Quarantines.push_back(Received);
  }
  if (Adopted.m_Quarantines.empty())
    return;
  m_Fleet.passOn(Adopted, From);
  m_Hooks.m_Changed();
}

} // namespace havenstair
