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

/// Clearances come in numbers, as many boxes run the same parts; they are
/// evaluated together.
constexpr Duration EvaluationDelay = 10ms;

/// Limits for digests and for parts in one log line.
constexpr std::size_t MaxLoggedSuspects = 16;

/// Limit for quarantines in one frame to a box that has just been linked, which
/// keeps it below 20 KB.
constexpr std::size_t MaxEntriesPerFrame = 128;

Json logged(const auto &Suspects) {
  Json Result = Json::array();
  for (const auto &Each : Suspects)
    if (Result.size() < MaxLoggedSuspects)
      Result.push_back(Each.str());
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
                         const std::set<RequestSuspects> &Running) {
    m_Hooks.m_ProbeEnded("ended");
    reportEnd(Upstream, Running);
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
    const std::optional<RequestSuspects> &Request) {
  m_Detector.onConnectionBroken(Upstream, Request, EventLoop::now());
}

void CrashExchange::onConnectFailed(const UpstreamIncarnation &Upstream) {
  const TimePoint Now = EventLoop::now();
  for (const Run &Completed : m_Runs)
    if (Completed.m_Upstream == Upstream)
      m_Detector.onConnectionBroken(Upstream, Completed.m_Request, Now);
}

void CrashExchange::onCompleted(const UpstreamIncarnation &Upstream,
                                const RequestSuspects &Request,
                                TimePoint Began) {
  if (m_Runs.size() >= MaxRuns)
    m_Runs.pop_front();
  m_Runs.push_back({.m_Upstream = Upstream,
                    .m_Request = Request,
                    .m_Began = Began,
                    .m_At = EventLoop::now()});
}

void CrashExchange::onHarmless(const std::vector<CrashSuspect> &Parts,
                               TimePoint Began) {
  for (const CrashSuspect &Each : Parts)
    clear(Each, Began);
}

/// Probes the upstreams of completed runs that would clear a suspect: without
/// other requests nothing might show that the upstream has crashed.
void CrashExchange::probeAfterRuns(TimePoint Now) {
  for (Run &Completed : m_Runs) {
    if (Completed.m_Probed ||
        Now - Completed.m_At < CrashGuard::BlameWindow / 2)
      continue;
    const std::vector<CrashSuspect> All = Completed.m_Request.all();
    if (std::none_of(All.begin(), All.end(), [&](const CrashSuspect &Each) {
          return m_Tracker.isSuspect(Each, Now);
        }))
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
    if (m_Detector.mayHaveEnded(Oldest.m_Upstream))
      continue;
    clear(Oldest.m_Request.m_Digest, Now);
    onHarmless(Oldest.m_Request.m_Parts, Oldest.m_Began);
  }
}

void CrashExchange::clear(const CrashSuspect &Suspect, TimePoint At) {
  if (!m_Tracker.recordCompletion(Suspect, At))
    return;
  m_Log.write("request_cleared",
              {{"digest", Suspect.str()}, {"by", m_Fleet.self().str()}});
  sendCleared(Suspect);
  // What shared its crashed upstreams becomes a more likely cause.
  evaluateSoon();
}

/// Tells all boxes that \p Suspect ran without harm, and how long ago.
void CrashExchange::sendCleared(const CrashSuspect &Suspect) {
  const TimePoint Now = EventLoop::now();
  const TimePoint At = m_Tracker.completedAt(Suspect).value_or(Now);
  m_Fleet.sendAll(RequestClearedFrame{.m_Suspect = Suspect, .m_Age = Now - At});
}

bool CrashExchange::mayProbe(const RequestSuspects &Request,
                             TimePoint Now) const {
  return m_Tracker.mayProbe(Request, m_Fleet.self(), m_Fleet.size(), Now);
}

void CrashExchange::onProbe(const RequestSuspects &Request, TimePoint Now) {
  m_Tracker.recordProbe(Request, Now);
  m_Log.write("bar_probed", {{"digest", Request.m_Digest.str()},
                             {"parts", logged(Request.m_Parts)}});
}

void CrashExchange::onProbeNotSent(const RequestSuspects &Request,
                                   TimePoint SentAt) {
  m_Tracker.withdrawProbe(Request, SentAt);
}

std::optional<Duration> CrashExchange::holdTime(const CrashSuspect &Suspect,
                                                TimePoint Now) const {
  if (const auto JudgedAt = m_Tracker.decisionTime(Suspect, Now))
    return *JudgedAt - Now + EvaluationSlack;
  // One more crash would quarantine it.
  if (m_Tracker.isSuspect(Suspect, Now) && m_Detector.probing(Suspect))
    return ProbeHold;
  return std::nullopt;
}

void CrashExchange::reportEnd(const UpstreamIncarnation &Upstream,
                              const std::set<RequestSuspects> &Running) {
  std::set<RequestSuspects> All = Running;
  for (const Run &Completed : m_Runs)
    if (Completed.m_Upstream == Upstream)
      All.insert(Completed.m_Request);
  const CrashFrame Frame{.m_Server = Upstream,
                         .m_Running = m_Tracker.uncleared(
                             {All.begin(), All.end()}, EventLoop::now())};
  std::set<RequestDigest> Digests;
  std::set<CrashSuspect> Parts;
  for (const RequestSuspects &Each : Frame.m_Running) {
    Digests.insert(Each.m_Digest);
    Parts.insert(Each.m_Parts.begin(), Each.m_Parts.end());
  }
  m_Log.write("server_ended", {{"upstream", Upstream.m_Id},
                               {"born", Upstream.m_StartTime},
                               {"requests", All.size()},
                               {"digests", logged(Digests)},
                               {"parts", logged(Parts)}});
  if (recordEnd(Frame))
    m_Fleet.sendRelays(Frame);
  m_Hooks.m_Changed();
}

/// Records a crash that this box or a peer has detected. \returns whether it is
/// new.
bool CrashExchange::recordEnd(const CrashFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  m_Hooks.m_UpstreamEnded(Frame.m_Server);
  const CrashTracker::RecordResult Result =
      m_Tracker.recordCrash(Frame.m_Server, Frame.m_Running, Now);
  for (const CrashSuspect &Each : Result.m_Completed)
    sendCleared(Each);
  if (!Result.m_New)
    return false;
  // Crashes are not reported to leaves, but these may know what ran without
  // harm.
  if (m_Fleet.topology().relay() && !m_Fleet.topology().flat())
    sendSuspects(Frame.m_Running);
  scheduleEvaluation();
  return true;
}

void CrashExchange::sendSuspects(const std::vector<RequestSuspects> &Among) {
  std::set<CrashSuspect> Suspects;
  for (const RequestSuspects &Request : Among)
    for (const CrashSuspect &Each : Request.all())
      if (m_Tracker.isSuspect(Each, EventLoop::now()))
        Suspects.insert(Each);
  if (!Suspects.empty())
    m_Fleet.sendLeaves(
        CrashSuspectsFrame{.m_Suspects = {Suspects.begin(), Suspects.end()}});
}

void CrashExchange::scheduleEvaluation() {
  const TimePoint Now = EventLoop::now();
  if (const auto First = m_Tracker.nextDecisionTime(Now))
    m_EvaluationTimer =
        m_Loop.after(*First - Now + TimerSlack, [this] { evaluate(); });
}

void CrashExchange::evaluateSoon() {
  if (std::exchange(m_EvaluatesSoon, true))
    return;
  m_SoonTimer = m_Loop.after(EvaluationDelay, [this] {
    m_EvaluatesSoon = false;
    evaluate();
  });
}

void CrashExchange::evaluate() {
  const TimePoint Now = EventLoop::now();
  const std::vector<CrashSuspect> Quarantined =
      m_Tracker.quarantineSuspects(m_Fleet.self(), Now);
  scheduleEvaluation();
  for (const CrashSuspect &Each : Quarantined)
    logQuarantined(Each, "judged");
  if (!Quarantined.empty())
    m_Fleet.sendAll(
        QuarantinesFrame{.m_Quarantines = quarantineEntries(Quarantined)});
  m_Hooks.m_Changed();
}

void CrashExchange::logQuarantined(const CrashSuspect &Suspect,
                                   std::string_view How) {
  const TimePoint Now = EventLoop::now();
  const Quarantine *Entry = m_Tracker.findQuarantine(Suspect, Now);
  if (Entry == nullptr)
    return;
  m_Log.write("request_barred", {{"digest", Suspect.str()},
                                 {"beside", logged(Entry->m_Beside)},
                                 {"servers", Entry->m_Upstreams},
                                 {"by", Entry->m_By.str()},
                                 {"certain", Entry->m_Certain},
                                 {"how", How},
                                 {"since_ms", (Now - Entry->m_Since) / 1ms},
                                 {"for_ms", (Entry->m_Until - Now) / 1ms}});
}

std::vector<ReportedQuarantine> CrashExchange::quarantineEntries(
    const std::vector<CrashSuspect> &Suspects) const {
  const TimePoint Now = EventLoop::now();
  std::vector<ReportedQuarantine> Result;
  for (const CrashSuspect &Suspect : Suspects)
    if (const Quarantine *Entry = m_Tracker.findQuarantine(Suspect, Now))
      Result.push_back({.m_Suspect = Suspect,
                        .m_Upstreams = Entry->m_Upstreams,
                        .m_Beside = Entry->m_Beside,
                        .m_By = Entry->m_By,
                        .m_Certain = Entry->m_Certain,
                        .m_Age = Now - Entry->m_Since,
                        .m_Left = Entry->m_Until - Now});
  return Result;
}

void CrashExchange::entriesChanged(
    const std::map<std::string, StoreItem> &Items, const StoreRevision &At) {
  const TimePoint Now = EventLoop::now();
  QuarantineStore::Changes Changes =
      m_Quarantine.entriesChanged(Items, At, Now);
  m_Tracker.setReleased(std::move(Changes.m_Released));
  for (auto &[Suspect, Added] : Changes.m_Added) {
    // The age of the quarantine is unknown: the boxes that knew it may all have
    // stopped.
    Added.m_Since = Now;
    Added.m_Until = TimePoint::max();
    if (m_Tracker.adopt(Suspect, Added, Now))
      logQuarantined(Suspect, "stored");
  }
  m_Hooks.m_Changed();
}

void CrashExchange::linkUp(const BoxName &Box) {
  std::vector<CrashSuspect> All;
  for (const auto &[Suspect, Entry] : m_Tracker.quarantines())
    All.push_back(Suspect);
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
  for (const CrashSuspect &Each : Frame.m_Suspects)
    if (m_Tracker.addSuspect(Each, Now))
      sendCleared(Each);
}

void CrashExchange::receive(const BoxName &From,
                            const RequestClearedFrame &Frame) {
  if (!m_Tracker.recordCompletion(Frame.m_Suspect,
                                  EventLoop::now() - Frame.m_Age))
    return;
  m_Log.write("request_cleared",
              {{"digest", Frame.m_Suspect.str()}, {"by", From.str()}});
  m_Fleet.passOn(Frame, From);
  evaluateSoon();
}

void CrashExchange::receive(const BoxName &From,
                            const QuarantinesFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  QuarantinesFrame Adopted;
  for (const ReportedQuarantine &Received : Frame.m_Quarantines) {
    // A box that was disconnected when the quarantine was lifted would
    // otherwise bring it back.
    if (m_Tracker.wasLifted(Received.m_Suspect))
      m_Fleet.send(From, RequestClearedFrame{.m_Suspect = Received.m_Suspect,
                                             .m_Age = 0us});
    const Quarantine Declared{.m_Upstreams = Received.m_Upstreams,
                              .m_Beside = Received.m_Beside,
                              .m_By = Received.m_By,
                              .m_Certain = Received.m_Certain,
                              .m_Since = Now - Received.m_Age,
                              .m_Until = Now + Received.m_Left};
    if (!m_Tracker.adopt(Received.m_Suspect, Declared, Now))
      continue;
    logQuarantined(Received.m_Suspect, "told");
    Adopted.m_Quarantines.push_back(Received);
  }
  if (Adopted.m_Quarantines.empty())
    return;
  m_Fleet.passOn(Adopted, From);
  m_Hooks.m_Changed();
}

} // namespace havenstair
