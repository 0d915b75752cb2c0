#include "gateway/process/Gateway.h"

#include "gateway/process/ComponentOptions.h"
#include "gateway/process/ConnectionLimits.h"
#include "gateway/process/ObservedEngineControl.h"
#include "gateway/process/StreamOriginExchange.h"
#include "gateway/request/UpstreamCall.h"
#include "wire/common/Build.h"
#include "wire/common/Crypto.h"
#include "wire/common/ProcessorTime.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace havenstair {

namespace {

/// Changes of upstreams that come close together cost one call to the store.
constexpr Duration UpstreamCoalesceDelay = 200ms;

/// The same for boxes, which start together.
constexpr Duration BoxCoalesceDelay = 300ms;
/// In a large fleet boxes come and go all the time, and relays that learn of
/// them a second later lose nothing.
constexpr Duration LargeFleetBoxCoalesceDelay = 1s;
/// How long a box counts as starting. It needs to find its relays soon, and all
/// boxes may have started with it.
constexpr Duration StartupWindow = 5s;

/// How long a watch may wait before it is renewed. A watch whose connection was
/// lost reports nothing until then. These waits may be long because the other
/// boxes report newer configurations, and new boxes announce themselves. The
/// list of upstreams is watched with a short wait: it must not be older than
/// the time in which a draining upstream may still get work.
constexpr Duration ConfigWatchWait = 20s;
constexpr Duration BoxWatchWait = 10s;

/// How often the settings are reloaded without a signal.
constexpr Duration ReloadInterval = 2s;

/// A caller whose system has acknowledged nothing for longer is gone: while its
/// window is closed, it does so at intervals that grow to 3.2 s within the
/// grace period.
constexpr Duration MaxCallerSilence = 4s;

/// Shortest time after which a caller should retry that found no room for its
/// body; the longest is twice that.
constexpr Duration NoRoomRetryAfter = 250ms;

/// A timer may expire some milliseconds early.
constexpr Duration ReconcileSlack = 2ms;

/// Most upstreams that one log line names.
constexpr std::size_t MaxLoggedNames = 16;

/// Size of the random suffix that tells the processes of a box apart.
constexpr std::size_t ProcessSuffixBytes = 3;

constexpr const char *MetricsPath = "/metrics";

/// Number of listed upstreams by service and version of their software.
Json countByVersion(const InstanceList &List) {
  std::map<std::string, std::map<std::string, int>> Counts;
  for (const auto &[Id, Each] : List.m_Instances)
    ++Counts[Each.m_Service][Each.m_Software.str()];
  return Counts;
}

double drawUnit(std::mt19937_64 &Random) {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

} // namespace

Gateway::Gateway(EventLoop &Loop, PlatformBinding Binding,
                 GatewayOptions Options, GatewayPolicy Policy,
                 int LogDescriptor, std::function<void()> Stopped)
    : m_Loop(Loop), m_Binding(std::move(Binding)),
      m_Options(std::move(Options)), m_Policy(Policy),
      m_Stopped(std::move(Stopped)),
      m_Log(Loop, {.m_Descriptor = LogDescriptor}),
      m_StoreCalls(Loop, m_Log,
                   [this] {
                     return StoreCallLog::Role{m_Fleet.topology().relay(),
                                               m_Leader.leading()};
                   }),
      m_Startup(m_Log, m_StartedAt), m_Listeners(m_Log),
      m_Random(std::random_device()()),
      m_Memory(memoryBudget(m_Options.m_Memory)),
      m_UpstreamHttp(Loop,
                     {.m_Started = m_Memory, .m_Collected = ownCallsBudget()}),
      m_StoreHttp(Loop, {.m_Started = MemoryBudget(),
                         .m_Collected = storeCallsBudget()}),
      m_Eras(eraHooks()),
      m_Store(std::make_unique<MeteredStore>(
          m_Binding.m_MakeStore(m_StoreHttp, m_Options.m_Store, m_Eras),
          MeteredStore::Hooks{
              .m_Called =
                  [this](auto Call, auto Subject) {
                    m_Metrics.recordStoreCall(Call, Subject);
                    m_StoreCalls.called(Call, Subject);
                  },
              .m_Reached =
                  [this] { m_Fleet.noteStoreReached(EventLoop::now()); }})),
      m_Engines(std::make_unique<ObservedEngineControl>(
          m_Binding.m_MakeEngines(m_UpstreamHttp),
          [this](const auto &Engine, const auto &Report, TimePoint AskedAt) {
            m_Permits->reportCold(Engine.m_Id, Report.m_ColdFor, AskedAt);
            if (Report.m_Leaving)
              m_Signals->recordLeaving(Engine.incarnation());
          })),
      m_ReachMonitor(
          Loop, m_UpstreamHttp, m_State, m_Log,
          {.m_ProbeTimeout = Forwarder::Options{}.m_ConnectTimeout},
          {.m_Changed = [this](bool) { reachChanged(); },
           .m_Reached =
               [this](TimePoint StartedAt) { m_Crashes->onReached(StartedAt); },
           .m_Reachable =
               [this](bool WasPartitioned) {
                 m_Crashes->onReachable(WasPartitioned);
               }}),
      m_Forwarder(
          Loop, m_UpstreamHttp, m_State, m_Binding.m_Dialect, m_Log,
          forwarderOptions(m_Policy, m_Memory),
          {.m_Missing =
               [this](const ModelKey &Key) { m_Exchange.reportMissing(Key); },
           .m_Ended =
               [this](const RequestResult &Result) { onRequestEnded(Result); },
           .m_SendEnded =
               [this](std::string_view Outcome) {
                 m_Metrics.recordSend(Outcome);
               },
           .m_Resumed =
               [this](OriginSource Source) {
                 m_Metrics.recordResumed(originSourceName(Source));
               },
           .m_Reached =
               [this](const UpstreamReach::Call &Call) {
                 m_ReachMonitor.onReached(Call);
               },
           .m_PassedEnded =
               [this](std::string_view Outcome) {
                 m_Metrics.recordPassed("in", Outcome);
               },
           .m_ConnectFailed =
               [this](const UpstreamReach::Call &Call) {
                 m_ReachMonitor.onFailed(Call);
               },
           .m_MayTrustKeys = [this] { return mayTrustKeys(); },
           .m_ConfigFreshness =
               [this](TimePoint Now) {
                 return m_Exchange.lists().configFreshness(Now);
               },
           .m_Random = [this] { return drawUnit(m_Random); }}),
      m_Registry(m_Binding.m_DecodeUpstream, m_Log),
      m_ConfigCache(
          Loop, *m_Store,
          cacheOptions(m_Binding.m_ConfigPrefix, 0us, ConfigWatchWait),
          cacheHooks(m_Binding.m_ConfigPrefix, [this] { configChanged(); })),
      m_UpstreamCache(Loop, *m_Store,
                      cacheOptions(m_Binding.m_UpstreamPrefix,
                                   UpstreamCoalesceDelay,
                                   WatchCache::ShortWait),
                      cacheHooks(m_Binding.m_UpstreamPrefix,
                                 [this] { upstreamsChanged(); })),
      m_OwnKeysCache(
          Loop, *m_Store,
          cacheOptions(m_Binding.m_OwnPrefix, BoxCoalesceDelay, BoxWatchWait,
                       ReadKind::Stale),
          cacheHooks(m_Binding.m_OwnPrefix, [this] { ownKeysChanged(); })),
      m_EvacuationCache(Loop, *m_Store,
                        cacheOptions(m_Binding.m_EvacuationPrefix, 0us,
                                     WatchCache::ShortWait),
                        cacheHooks(m_Binding.m_EvacuationPrefix,
                                   [this] { evacuationsChanged(); })),
      m_ProcessName(m_Options.m_Box.str() + "." +
                    randomHex(ProcessSuffixBytes)),
      m_Fleet(Loop, *m_Store, m_Log,
              fleetOptions(m_Options, m_Binding, m_ProcessName,
                           [this] { return drawUnit(m_Random); }),
              fleetHooks()),
      m_Leader(
          Loop, *m_Store, *m_Engines, m_State, m_Log,
          leaderOptions(m_Options, m_Binding, m_Policy, m_ProcessName),
          {.m_ContentsChanged =
               [this](const FleetContentsFrame &Frame) {
                 m_Exchange.publishContents(Frame);
               },
           .m_OrderAnswered =
               [this](std::string_view Operation, std::string_view Answer) {
                 m_Metrics.recordOrder(Operation, Answer);
               },
           .m_KeysReadAt = [this] { return m_OwnKeysCache.confirmedAt(); },
           .m_Era = [this] { return m_Eras.current(); },
           .m_Random = [this] { return drawUnit(m_Random); }}),
      m_Exchange(
          Loop,
          {.m_Fleet = m_Fleet,
           .m_Leader = m_Leader,
           .m_State = m_State,
           .m_Config = m_ConfigCache,
           .m_Upstreams = m_UpstreamCache,
           .m_Registry = m_Registry,
           .m_Boxes = m_OwnKeysCache,
           .m_Evacuations = m_EvacuationCache,
           .m_Eras = m_Eras,
           .m_Log = m_Log},
          {.m_Lists = {.m_DrainTimeout = m_Options.m_Bounds.m_DrainTimeout,
                       .m_FirstStart = m_Options.m_FirstStart},
           .m_Random = [this] { return drawUnit(m_Random); }},
          {.m_ContentsChanged =
               [this] {
                 noteStartup(StartupStep::Contents,
                             m_Leader.leader().m_Box.str());
                 m_Forwarder.upstreamsChanged();
               },
           .m_DropConnections =
               [this] { m_StoreHttp.forget(m_Options.m_Store); },
           .m_OfferConfig =
               [this](const StoreItem &Each) { offerConfig(Each); }}),
      m_Quotas(std::make_shared<QuotaExchange>(
          Loop, m_Fleet, m_Log, m_Options.m_Bounds.quotaTolerance(),
          QuotaExchange::Hooks{
              .m_LeafCount = [this] { return m_Exchange.leafCount(); }})),
      m_Permits(std::make_shared<PermitExchange>(
          Loop, m_Fleet,
          PermitExchange::Views{.m_WarmUp = m_State.m_WarmUp,
                                .m_Signals = m_State.m_Signals,
                                .m_Bounds = m_State.m_SendBounds,
                                .m_Upstreams = m_State.m_Upstreams,
                                .m_Loads = m_State.m_Loads},
          m_Log, m_Options.m_Bounds.m_WarmUp,
          PermitExchange::Hooks{
              .m_PermitDecided =
                  [this](const auto &At, BoundKind Kind, auto What) {
                    m_Metrics.recordPermit(At, Kind, What);
                  },
              .m_UnknownBound =
                  [this](const BoxName &Box, const InstanceId &Server) {
                    m_Signals->sendLimits(Box,
                                          m_State.m_WarmUp.incarnation(Server));
                  }})),
      m_Crashes(std::make_shared<CrashExchange>(
          Loop, m_UpstreamHttp, *m_Store, m_Fleet, m_State.m_Upstreams,
          m_State.m_Crashes, m_Log, m_Binding.m_OwnPrefix, crashHooks())),
      m_Signals(std::make_shared<UpstreamSignalExchange>(
          Loop, m_Fleet, m_State.m_Upstreams, m_State.m_Signals, m_Log,
          UpstreamSignalExchange::Hooks{
              .m_LimitsChanged = [this] { m_Permits->refreshRole(); },
              .m_NoRoom = [this] { m_Metrics.recordNoRoom(); },
              .m_UpstreamLeaving = [this] { onUpstreamDraining(); }})),
      m_StreamOrigins(std::make_shared<StreamOriginExchange>(
          Loop, m_Fleet, *m_Store, m_Log,
          StreamOriginExchange::Options{.m_Prefix = m_Binding.m_OwnPrefix,
                                        .m_StreamPrefix =
                                            m_Binding.m_StreamPrefix,
                                        .m_Process = m_ProcessName.str(),
                                        .m_FirstStart = m_Options.m_FirstStart},
          StreamOriginExchange::Hooks{
              .m_IsWriter = [this] { return m_Leader.leading(); },
              .m_ListConfirmedAt =
                  [this] {
                    return m_UpstreamCache.partial()
                               ? TimePoint()
                               : m_Exchange.lists().listConfirmedAt();
                  }})),
      m_Stop(Loop, m_Log, m_State, stopHooks()) {
  m_Forwarder.setServices(m_Quotas, m_Permits, m_Crashes, m_Signals);
  m_Forwarder.setStreamOrigins(m_StreamOrigins);
  m_State.setLocation(m_Options.m_DataCentre, m_Options.m_Regions);
  applyBounds();
  startServers();
  m_OwnKeysCache.start();
  m_ReloadTimer = Loop.every(ReloadInterval, [this] { reload(); });
  m_Log.write("started", {{"box", m_ProcessName.str()},
                          {"build", buildName()},
                          {"protocol", OwnProtocol},
                          {"zone", m_State.m_Zone},
                          {"callers", m_Options.m_Callers.str()},
                          {"store", m_Options.m_Store.str()}});
}

Gateway::~Gateway() = default;

WatchCache::Options Gateway::cacheOptions(const std::string &Prefix,
                                          Duration CoalesceDelay, Duration Wait,
                                          ReadKind FirstRead) {
  return {.m_Prefix = Prefix,
          .m_Wait = Wait,
          .m_CoalesceDelay = CoalesceDelay,
          .m_FirstRead = FirstRead,
          .m_Retry = {.m_First = 100ms, .m_Cap = 1s, .m_Random = [this] {
                        return drawUnit(m_Random);
                      }}};
}

WatchCache::Hooks Gateway::cacheHooks(const std::string &Prefix,
                                      std::function<void()> Changed) {
  const bool Config = Prefix == m_Binding.m_ConfigPrefix;
  return {.m_Changed = std::move(Changed),
          .m_ReadEnded =
              [this, Prefix, Config](const auto &End) {
                if (Config)
                  logConfigRead(End);
                else
                  logRead(Prefix, End);
              },
          .m_WatchRefused =
              [this, Prefix](StoreRevision After) {
                m_Log.write("watch_refused", {{"prefix", Prefix},
                                              {"after", After.m_Number},
                                              {"era", After.m_Era}});
              }};
}

StoreEraTracker::Hooks Gateway::eraHooks() {
  return {.m_Changed =
              [this](const StoreEraTracker::Change &Learned) {
                onEraChanged(Learned);
              },
          .m_Ignored =
              [this](const EraReport &Report) {
                m_Log.write(
                    "store_era_ignored",
                    {{"era", Report.m_Era ? Json(*Report.m_Era) : Json()},
                     {"known", m_Eras.current()}});
              }};
}

void Gateway::onEraChanged(const StoreEraTracker::Change &Learned) {
  m_Log.write("store_era", {{"era", Learned.m_Now},
                            {"before", Learned.m_Before},
                            {"restored", Learned.m_Restored},
                            {"by", Learned.m_By.str()}});
  if (!Learned.m_Restored)
    return;
  const TimePoint Now = EventLoop::now();
  m_Fleet.onStoreRestored(Now);
  m_Leader.onStoreRestored(Now);
  resync();
}

Fleet::Hooks Gateway::fleetHooks() {
  return {.m_Frame =
              [this](const BoxName &From, const PeerFrame &Frame) {
                m_Exchange.onFrame(From, Frame);
                m_Quotas->onFrame(From, Frame);
                m_Permits->onFrame(From, Frame);
                m_Crashes->onFrame(From, Frame);
                m_Signals->onFrame(From, Frame);
                m_StreamOrigins->onFrame(From, Frame);
              },
          .m_Up =
              [this](const BoxName &Box) {
                m_Exchange.linkUp(Box);
                m_Permits->refreshRole();
                m_Crashes->linkUp(Box);
                m_Signals->linkUp(Box);
              },
          .m_Down =
              [this](const BoxName &Box) {
                m_Exchange.linkDown(Box);
                m_StreamOrigins->linkDown(Box);
                m_Permits->refreshRole();
              },
          .m_StoreBack = [this] { resync(); },
          .m_Listening = listenerHook(listener::Peers)};
}

CrashExchange::Hooks Gateway::crashHooks() {
  return {
      .m_Detector = {.m_Probe =
                         [this](const UpstreamInstance &At) {
                           return healthCall(
                               At, m_State.m_Config->service(At.m_Service),
                               Forwarder::Options{}.m_ConnectTimeout);
                         },
                     .m_ReadAnswer = m_Binding.m_Dialect.m_ReadAnswer,
                     .m_Refused =
                         [this](const UpstreamReach::Call &Probe) {
                           m_ReachMonitor.onFailed(Probe);
                         },
                     // The upstream may have restarted and be cold; its answer
                     // arrives before the updated list.
                     .m_NotEnded =
                         [this](const UpstreamIncarnation &Server,
                                const AnswerFacts &Answer, TimePoint AskedAt) {
                           if (Answer.m_ColdFor)
                             m_Permits->reportCold(Server.m_Id,
                                                   *Answer.m_ColdFor, AskedAt);
                           if (Answer.m_Leaving)
                             m_Signals->recordLeaving(Server);
                         }},
      .m_UpstreamEnded =
          [this](const UpstreamIncarnation &Upstream) {
            m_State.m_Ended.recordEnd(Upstream, EventLoop::now());
          },
      .m_Changed = [this] { m_Forwarder.crashesChanged(); },
      .m_ProbeEnded = [this](auto What) { m_Metrics.recordProbe(What); },
      .m_IsWriter = [this] { return m_Leader.leading(); }};
}

void Gateway::noteStartup(StartupStep Step, std::string_view From) {
  const TimePoint Now = EventLoop::now();
  m_Startup.reached(Step, From, Now);
  if (ready())
    m_Startup.reached(StartupStep::Ready, "", Now);
}

/// A box that takes no callers is not ready for them.
bool Gateway::ready() const {
  return m_State.ready() && m_Listeners.listening(listener::Callers);
}

PortListener::Reporter Gateway::listenerHook(std::string_view Name) {
  return
      [this, Name](const PortListener::Report &Now) { onListening(Name, Now); };
}

std::function<void(const TimedOutConnection &)>
Gateway::timeoutHook(std::string_view Name) {
  return [this, Name](const TimedOutConnection &Which) {
    const char *Stage = toString(Which.m_Stage);
    m_Metrics.recordTimedOut(Name, Stage);
    m_Log.write("connection_timed_out",
                {{"listener", Name},
                 {"stage", Stage},
                 {"limit_ms", Which.m_Limit / 1ms},
                 {"version", m_State.configVersion()},
                 {"since_read_ms", Which.m_SinceRead / 1ms},
                 {"since_sent_ms", Which.m_SinceSent / 1ms},
                 {"unsent", Which.m_Unsent}});
  };
}

void Gateway::onListening(std::string_view Name,
                          const PortListener::Report &Now) {
  m_Listeners.onReport(Name, Now);
  if (Name == listener::Passing && Now.listening())
    m_Fleet.setPassing(Now.m_Address);
  if (ready())
    m_Startup.reached(StartupStep::Ready, "", EventLoop::now());
}

void Gateway::onRequestEnded(const RequestResult &Result) {
  if (Result.m_Outcome == "ok")
    noteStartup(StartupStep::FirstAnswer, "");
  m_Metrics.recordRequest(Result);
  if (!m_State.m_Upstreams.evacuations().m_DataCentres.empty())
    m_Metrics.recordRequestInEvacuation(Result.m_Outcome);
}

void Gateway::ownKeysChanged() {
  const TimePoint Now = EventLoop::now();
  noteStartup(StartupStep::Boxes, toString(m_OwnKeysCache.source()));
  const StoreRevision &At = m_OwnKeysCache.revision();
  m_Fleet.entriesChanged(m_OwnKeysCache.items(), At, Now);
  if (const auto Until = m_Fleet.entriesKeptUntil())
    m_OwnKeysTimer = m_Loop.after(*Until - Now + ReconcileSlack,
                                  [this] { ownKeysChanged(); });
  m_Leader.entriesChanged(m_OwnKeysCache.items(), At);
  m_StreamOrigins->entriesChanged(m_OwnKeysCache.items(), At);
  m_Exchange.boxesChanged();
  m_Quotas->boxesChanged();
  m_Crashes->entriesChanged(m_OwnKeysCache.items(), At);
  m_Permits->refreshRole();
  const bool Starting = Now - m_StartedAt < StartupWindow;
  m_OwnKeysCache.setCoalesceDelay(m_Fleet.topology().flat() || Starting
                                      ? BoxCoalesceDelay
                                      : LargeFleetBoxCoalesceDelay);
  m_State.m_Boxes = std::max(m_State.m_Boxes, static_cast<int>(m_Fleet.size()));
}

/// Reads everything anew over a new connection: the old one may be dead without
/// an error.
void Gateway::resync() {
  m_StoreHttp.forget(m_Options.m_Store);
  m_ConfigCache.resync();
  m_UpstreamCache.resync();
  m_OwnKeysCache.resync();
  m_EvacuationCache.resync();
}

void Gateway::startServers() {
  HttpServer::Options Opts;
  Opts.m_Listen = m_Options.m_Callers;
  Opts.m_Limits = connectionLimits({});
  Opts.m_Memory = m_Memory;
  Opts.m_OnListening = listenerHook(listener::Callers);
  Opts.m_OnTimeout = timeoutHook(listener::Callers);
  Opts.m_OnConnection = [this](TimePoint Now) {
    return m_Gate->onConnection(Now);
  };
  Opts.m_OnFurtherRequest = [this](TimePoint Now) { m_Gate->onRequest(Now); };
  m_Callers = std::make_unique<HttpServer>(
      m_Loop, Opts,
      [this](const HttpExchangePtr &Exchange) { takeRequest(Exchange); },
      [this](const HttpExchangePtr &Exchange, TurnedAway Why) {
        turnAway(Exchange, Why);
      });
  Opts.m_OnConnection = nullptr;
  Opts.m_OnFurtherRequest = nullptr;
  watchLoad();
  Opts.m_Memory = MemoryBudget();
  Opts.m_Listen = m_Options.m_Readiness;
  Opts.m_OnListening = listenerHook(listener::Readiness);
  Opts.m_OnTimeout = timeoutHook(listener::Readiness);
  m_Readiness = std::make_unique<HttpServer>(
      m_Loop, Opts,
      [this](const HttpExchangePtr &Exchange) { answerReadiness(Exchange); });
  Opts.m_Listen = m_Options.m_Metrics;
  Opts.m_OnListening = listenerHook(listener::Metrics);
  Opts.m_OnTimeout = timeoutHook(listener::Metrics);
  m_MetricsServer = std::make_unique<HttpServer>(
      m_Loop, Opts,
      [this](const HttpExchangePtr &Exchange) { answerMetrics(Exchange); });
  if (!m_Options.m_Passing)
    return;
  Opts.m_Listen = *m_Options.m_Passing;
  Opts.m_OnListening = listenerHook(listener::Passing);
  Opts.m_OnTimeout = timeoutHook(listener::Passing);
  Opts.m_Memory = m_Memory;
  m_Passes = std::make_shared<PassExchange>(
      m_Loop, m_Fleet, m_State, m_Log,
      PassExchange::Options{.m_Server = Opts,
                            .m_DataCentre = m_Options.m_DataCentre,
                            .m_Secret = peerSecret(m_Options)},
      passHooks());
  m_Forwarder.setPassService(m_Passes);
}

void Gateway::watchLoad() {
  m_Load = std::make_unique<LoadMonitor>(
      m_Loop, m_Log, m_Options.m_Capacity,
      LoadMonitor::Hooks{
          .m_Open = [this] { return m_Callers->openExchanges(); },
          .m_Accepted = [this] { return m_Callers->accepted(); },
          .m_Waiting = [this] { return m_Callers->waiting(); },
          .m_OnTimer =
              [this](TimePoint Now) {
                m_Gate->sample(Now,
                               {.m_ProcessorTime = processorTime(),
                                .m_Open = m_Forwarder.open(),
                                .m_Accepted = m_Callers->accepted(),
                                .m_ClosedUnread = m_Callers->closedUnread()});
              }});
  m_Gate = std::make_unique<ConnectionGate>(m_Log, m_Options.m_Capacity,
                                            m_Load->lateness());
}

PassExchange::Hooks Gateway::passHooks() {
  return {
      .m_Handle =
          [this](const HttpExchangePtr &Exchange, std::shared_ptr<void> Token) {
            m_Gate->onRequest(EventLoop::now());
            m_Forwarder.handlePassed(Exchange, std::move(Token));
          },
      .m_ReadId =
          [this](const HttpExchange &Exchange) {
            return m_Forwarder.idOf(Exchange);
          },
      .m_Ended =
          [this](std::string_view Way, std::string_view Outcome) {
            m_Metrics.recordPassed(Way, Outcome);
          },
      .m_Random = [this] { return drawUnit(m_Random); }};
}

void Gateway::reachChanged() {
  m_ReachTimer = m_Loop.after(0us, [this] { m_Forwarder.upstreamsChanged(); });
}

/// Refuses requests that come late in a stop, as they may not end before the
/// process does.
void Gateway::takeRequest(const HttpExchangePtr &Exchange) {
  if (!m_State.takesRequests(EventLoop::now()))
    return m_Forwarder.refuse(Exchange,
                              {.m_Kind = ErrorKind::Stopping,
                               .m_RetryAfter = Forwarder::StoppingRetryAfter});
  m_Forwarder.handle(Exchange);
}

void Gateway::answerMetrics(const HttpExchangePtr &Exchange) {
  if (Exchange->path() != MetricsPath)
    return Exchange->reply(404, {}, "");
  const auto Number = [](auto Value) { return static_cast<double>(Value); };
  GatewayGauges Now;
  Now.m_OpenRequests = Number(m_Forwarder.open());
  Now.m_ConfigVersion = Number(m_State.configVersion());
  const ListFollower &Lists = m_Exchange.lists();
  Now.m_ConfigAnnounced = Number(Lists.config().newest().m_Version);
  Now.m_ConfigAge = inSeconds(Lists.configFreshness(EventLoop::now()).m_Age);
  Now.m_ConfigBehind = inSeconds(Lists.config().behind(EventLoop::now()));
  Now.m_ListRevision = Number(m_State.m_Upstreams.list().m_Revision.m_Number);
  Now.m_Upstreams = Number(m_State.m_Upstreams.current().size());
  Now.m_Listed = Number(m_Registry.size());
  Now.m_Evacuated =
      Number(m_State.m_Upstreams.evacuations().m_DataCentres.size());
  Now.m_Peers = Number(m_Fleet.linked().size());
  Now.m_Protocols = m_Fleet.protocols();
  for (const auto &[Kind, Sent] : m_Fleet.sent()) {
    Now.m_PeerFrames[Kind] = Number(Sent.m_Frames);
    Now.m_PeerBytes[Kind] = Number(Sent.m_Bytes);
  }
  Now.m_FramesSkipped = Number(m_Fleet.skipped());
  Now.m_StoreEra = Number(m_Eras.current());
  Now.m_StoreRestores = Number(m_Eras.restores());
  Now.m_StoreReached = m_Exchange.storeReachable() ? 1 : 0;
  Now.m_IsOrderLeader = m_Leader.leading() ? 1 : 0;
  Now.m_FencingToken = Number(m_Leader.leader().m_Token);
  Now.m_DroppedLogLines = Number(m_Log.droppedLines());
  Now.m_QuarantinedRequests = Number(m_State.m_Crashes.quarantines().size());
  Now.m_BackedOffUpstreams =
      Number(m_State.m_Signals.backedOffCount(EventLoop::now()));
  Now.m_StreamsKnown = Number(m_StreamOrigins->size());
  Now.m_MemoryLimit = m_Options.m_Memory == 0 ? 0 : Number(m_Memory.limit());
  Now.m_LargeBodies = Number(m_Memory.held(MemoryUse::LargeBody));
  Now.m_SmallBodies = Number(m_Memory.held(MemoryUse::SmallBody));
  Now.m_Answers = Number(m_Memory.held(MemoryUse::LargeAnswer) +
                         m_Memory.held(MemoryUse::SmallAnswer));
  Now.m_NoRoom = Number(m_Memory.refusals());
  Now.m_LateShare = m_Load->lateness().share();
  Now.m_ProcessorTime = inSeconds(processorTime());
  Now.m_Accepted = Number(m_Callers->accepted());
  Now.m_Waiting = Number(m_Callers->waiting());
  Now.m_ClosedUnread = Number(m_Callers->closedUnread());
  Now.m_Pauses = Number(m_Gate->pauses());
  Now.m_Paused = inSeconds(m_Gate->paused());
  Now.m_RequestCost = inSeconds(m_Gate->cost());
  Now.m_Partitioned = m_State.m_Reach.partitioned() ? 1 : 0;
  Now.m_LimitedUpstreams = Number(m_State.m_Signals.limits().size());
  Now.m_RefusalLimitedUpstreams =
      Number(m_State.m_Signals.refusalLimits().size());
  for (const auto &[Step, After] : m_Startup.reachedAfter())
    Now.m_Startup[toString(Step)] = inSeconds(After);
  for (const auto &[Name, Listening] : m_Listeners.all())
    Now.m_Listening[Name] = Listening ? 1 : 0;
  Now.m_Cold = m_State.m_WarmUp.coldByDataCentre(EventLoop::now());
  m_Metrics.set(Now);
  Exchange->reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                  m_Metrics.serialize());
}

void Gateway::answerReadiness(const HttpExchangePtr &Exchange) {
  if (Exchange->path() != m_Binding.m_ReadinessPath)
    return Exchange->reply(404, {}, "");
  Exchange->reply(ready() ? 200 : 503, {}, "");
}

/// Refuses a request whose body is too large, or for which this box lacks room
/// now. Callers come back spread out.
void Gateway::turnAway(const HttpExchangePtr &Exchange, TurnedAway Why) {
  if (Why == TurnedAway::BodyTooLarge)
    return m_Forwarder.refuse(Exchange, {.m_Kind = ErrorKind::BodyTooLarge});
  m_Log.write("no_room",
              {{"held", m_Memory.held()},
               {"large_bodies", m_Memory.held(MemoryUse::LargeBody)},
               {"small_bodies", m_Memory.held(MemoryUse::SmallBody)},
               {"large_answers", m_Memory.held(MemoryUse::LargeAnswer)},
               {"answers", m_Memory.held(MemoryUse::SmallAnswer)},
               {"limit", m_Memory.limit()},
               {"open", m_Callers->openExchanges()}});
  const Duration After =
      NoRoomRetryAfter +
      fromSeconds(drawUnit(m_Random) * inSeconds(NoRoomRetryAfter));
  m_Forwarder.refuse(Exchange, {.m_Kind = ErrorKind::Overloaded,
                                .m_RetryAfter = After,
                                .m_Detail = "memory"});
}

void Gateway::applyBounds() {
  const ServingBounds &Bounds = m_Options.m_Bounds;
  m_State.m_Budget.configure({.m_Ratio = Bounds.m_RetryRatio,
                              .m_Allowance = Bounds.m_RetryAllowance,
                              .m_Window = Bounds.m_RetryWindow});
  m_Quotas->setTolerance(Bounds.quotaTolerance());
  m_Permits->setTolerance(Bounds.m_WarmUp);
  m_Exchange.lists().watchConfigClosely(Bounds.m_FailClosed);
  // A box that already serves when operators enable evacuations continues to
  // serve until it knows them.
  const bool Evacuates = Bounds.m_EvacuationDelay.has_value();
  m_State.m_NeedsEvacuations =
      Evacuates && (m_State.m_NeedsEvacuations || !m_State.hasRequiredState());
  m_Exchange.lists().followEvacuations(Evacuates);
  if (!Evacuates)
    endEvacuations();
}

/// Without evacuations enabled nobody follows their list, so none may remain in
/// force.
void Gateway::endEvacuations() {
  if (m_State.m_Upstreams.evacuations().m_DataCentres.empty())
    return;
  applyEvacuations({.m_Revision = m_State.m_Upstreams.evacuations().m_Revision,
                    .m_DataCentres = {}});
}

/// Whether API keys may be trusted. With fail-closed set, they may not when the
/// configuration may be older than the time in which a revoked key must be
/// refused.
bool Gateway::mayTrustKeys() const {
  const ServingBounds &Bounds = m_Options.m_Bounds;
  return !Bounds.m_FailClosed ||
         EventLoop::now() - m_Exchange.lists().configConfirmedAt() <=
             Bounds.m_RevocationDelay;
}

void Gateway::reload() {
  try {
    GatewayOptions NewOptions = m_Binding.m_ReadOptions();
    if (NewOptions.m_Bounds == m_Options.m_Bounds)
      return;
    m_Options.m_Bounds = NewOptions.m_Bounds;
    applyBounds();
    m_Leader.setBounds(m_Options.m_Bounds);
    m_Log.write("settings_changed", {{"box", m_Options.m_Box.str()}});
  } catch (const std::exception &Error) {
    m_Log.write("bad_settings", {{"why", Error.what()}});
  }
}

void Gateway::logConfigRead(const WatchCache::ReadOutcome &End) {
  const char *Outcome = toString(End.m_Status);
  m_Metrics.recordConfigRead(Outcome);
  m_Log.write("config_read", {{"kind", toString(End.m_Kind)},
                              {"outcome", Outcome},
                              {"took_ms", End.m_Took / 1ms},
                              {"bytes", End.m_Bytes},
                              {"at", End.m_At.m_Number},
                              {"era", End.m_At.m_Era},
                              {"copy", End.m_CopyAt.m_Number},
                              {"dropped", End.m_Dropped},
                              {"next_ms", End.m_NextTry / 1ms}});
}

/// Logs a read of \p Prefix that brought nothing.
void Gateway::logRead(const std::string &Prefix,
                      const WatchCache::ReadOutcome &End) {
  if (End.m_Status == StoreStatus::Ok && !End.m_Dropped)
    return;
  m_Log.write("list_read", {{"prefix", Prefix},
                            {"outcome", toString(End.m_Status)},
                            {"at", End.m_At.m_Number},
                            {"era", End.m_At.m_Era},
                            {"copy", End.m_CopyAt.m_Number},
                            {"dropped", End.m_Dropped},
                            {"next_ms", End.m_NextTry / 1ms}});
}

void Gateway::logConfig(const ServingConfig &Config, StoreRevision Revision) {
  const TimePoint Now = EventLoop::now();
  const ConfigFetchPolicy::NewestVersion &Newest =
      m_Exchange.lists().config().newest();
  const bool WasReported = Newest.m_Version >= Config.m_Version;
  const char *Source = toString(m_ConfigCache.source());
  m_Metrics.recordConfigAdoption(Source);
  m_Log.write(
      "config",
      {{"version", Config.m_Version},
       {"before", m_State.configVersion()},
       {"routes", Config.m_Routes.size()},
       {"organisations", Config.m_Organisations.size()},
       {"revision", Revision.m_Number},
       {"era", Revision.m_Era},
       {"source", Source},
       {"age_ms", m_Exchange.lists().configFreshness(Now).m_Age / 1ms},
       {"told_by", WasReported ? Newest.m_By.str() : ""},
       {"told_ms", WasReported ? Json((Now - Newest.m_At) / 1ms) : Json()}});
}

/// Puts the configuration of \p Item into force if it is newer than the one in
/// force.
Gateway::ConfigUse Gateway::takeConfig(const StoreItem &Item) {
  const TimePoint Began = EventLoop::now();
  try {
    ServingConfig Config = m_Binding.m_DecodeConfig(Item.m_Value);
    if (m_State.m_Config && Config.m_Version <= m_State.configVersion())
      return Config.m_Version < m_State.configVersion() ? ConfigUse::Older
                                                        : ConfigUse::Known;
    logConfig(Config, Item.m_Revision);
    m_State.m_Config = std::make_shared<const ServingConfig>(std::move(Config));
    m_ConfigItem = Item;
    applyLimits(m_State.m_Config->m_Limits);
    m_Quotas->configure(m_State.m_Config->m_Organisations);
    m_State.m_WarmUp.configure(m_State.m_Config->m_Services);
    m_Log.write("config_in_force",
                {{"version", m_State.configVersion()},
                 {"bytes", Item.m_Value.size()},
                 {"held_ms", (EventLoop::now() - Began) / 1ms}});
    return ConfigUse::Adopted;
  } catch (const DecodeError &Error) {
    m_Metrics.recordConfigAdoption("unreadable");
    m_Log.write("bad_config", {{"key", Item.m_Key}, {"why", Error.what()}});
    return ConfigUse::Unreadable;
  }
}

void Gateway::applyLimits(const CallerLimits &Limits) {
  const InboundConnection::Limits OfConnections = connectionLimits(Limits);
  m_Callers->setLimits(OfConnections);
  m_Readiness->setLimits(OfConnections);
  m_MetricsServer->setLimits(OfConnections);
  if (m_Passes)
    m_Passes->setLimits(OfConnections);
}

/// A restored store has an older configuration, or none, until the operators'
/// is written again; what it acknowledged before stays in force, and is what
/// other boxes are sent.
void Gateway::keepConfig() {
  m_Log.write("config_kept", {{"version", m_State.configVersion()},
                              {"revision", m_ConfigCache.revision().m_Number},
                              {"era", m_ConfigCache.revision().m_Era}});
  m_ConfigCache.keep(m_ConfigItem);
}

void Gateway::offerConfig(const StoreItem &Item) {
  if (takeConfig(Item) != ConfigUse::Adopted)
    return;
  m_ConfigCache.keep(Item);
  m_Exchange.configChanged();
  onConfigTaken();
}

void Gateway::configChanged() {
  bool Older =
      m_State.m_Config && !m_ConfigCache.items().contains(m_ConfigItem.m_Key);
  for (const auto &[Key, Item] : m_ConfigCache.items()) {
    const ConfigUse Use = takeConfig(Item);
    if (Use == ConfigUse::Adopted)
      m_Exchange.configChanged();
    Older = Older || Use == ConfigUse::Older;
  }
  if (Older)
    keepConfig();
  onConfigTaken();
}

void Gateway::onConfigTaken() {
  if (m_State.m_Config)
    noteStartup(StartupStep::Config, toString(m_ConfigCache.source()));
  m_Permits->refreshRole();
  m_Forwarder.upstreamsChanged();
  m_Forwarder.releaseStartupQueue();
}

InstanceList Gateway::readUpstreams() {
  const WatchCache &List = m_UpstreamCache;
  return List.partial() ? m_Registry.readSubset(List.items(), List.revision())
                        : m_Registry.read(List.items(), List.revision(),
                                          m_State.m_DataCentres);
}

/// A box that has started since the store was restored, or learned late of a
/// leaving before, finds it in no list.
void Gateway::shareLeaving() {
  if (!m_Fleet.topology().relay())
    return;
  const InstanceList Known = m_State.m_Upstreams.list();
  for (const auto &[Id, Each] : Known.m_Instances)
    if (Each.m_Draining)
      m_Signals->recordLeaving(Each.incarnation());
}

void Gateway::reconcileLater() {
  const TimePoint Now = EventLoop::now();
  if (const auto At = m_State.m_Upstreams.nextReconciliation(Now))
    m_ReconcileTimer = m_Loop.after(*At - Now + ReconcileSlack,
                                    [this] { upstreamsChanged(); });
}

void Gateway::upstreamsChanged() {
  const StoreRevision Before = m_State.m_Upstreams.list().m_Revision;
  if (!Before.none() && m_UpstreamCache.revision().m_Era > Before.m_Era)
    shareLeaving();
  const std::vector<UpstreamInstance> Gone =
      m_State.m_Upstreams.update(readUpstreams(), EventLoop::now());
  noteStartup(StartupStep::Upstreams, toString(m_UpstreamCache.source()));
  reconcileLater();
  Json Names = Json::array();
  for (const UpstreamInstance &Each : Gone) {
    m_State.forget(Each.m_Id);
    if (Names.size() < MaxLoggedNames)
      Names.push_back(Each.m_Id);
    // Kept connections ended with the upstream's former process; nothing may be
    // sent on them.
    if (const auto Address = Endpoint::parse(Each.m_Address);
        Address && m_State.m_Upstreams.list().m_Instances.contains(Each.m_Id))
      m_UpstreamHttp.forget(*Address);
  }
  m_State.m_Signals.update(m_State.m_Upstreams.list(), EventLoop::now());
  m_StreamOrigins->onListChanged(m_State.m_Upstreams.list());
  m_Permits->onListChanged(m_State.m_Upstreams.list());
  m_Crashes->onListChanged();
  m_Log.write("upstreams",
              {{"revision", m_UpstreamCache.revision().m_Number},
               {"era", m_UpstreamCache.revision().m_Era},
               {"listed", m_Registry.size()},
               {"known", m_State.m_Upstreams.list().m_Instances.size()},
               {"tell_birth", m_State.m_Upstreams.countWithStartTime()},
               {"versions", countByVersion(m_State.m_Upstreams.list())},
               {"kept", m_State.m_Upstreams.reconciler().keptCount()},
               {"held_back", m_State.m_Upstreams.reconciler().heldBackCount()},
               {"gone", std::move(Names)},
               {"all_gone", Gone.size()}});
  m_Exchange.upstreamsChanged();
  m_Leader.upstreamsChanged();
  m_Forwarder.upstreamsChanged();
  m_Forwarder.releaseStartupQueue();
}

/// An upstream has announced that it is draining.
void Gateway::onUpstreamDraining() {
  m_Leader.upstreamsChanged();
  m_Forwarder.upstreamsChanged();
}

void Gateway::evacuationsChanged() {
  Evacuations Asked{.m_Revision = m_EvacuationCache.revision()};
  for (const auto &[Key, Item] : m_EvacuationCache.items())
    Asked.m_DataCentres.emplace(
        Key.substr(m_Binding.m_EvacuationPrefix.size()));
  applyEvacuations(std::move(Asked));
  noteStartup(StartupStep::Evacuations, toString(m_EvacuationCache.source()));
  m_Exchange.evacuationsChanged();
  const TimePoint Now = EventLoop::now();
  if (const auto Until = m_State.m_Upstreams.evacuationsKeptUntil())
    m_EvacuationTimer = m_Loop.after(*Until - Now + ReconcileSlack,
                                     [this] { evacuationsChanged(); });
}

void Gateway::applyEvacuations(Evacuations Asked) {
  const TimePoint Now = EventLoop::now();
  ServingView &View = m_State.m_Upstreams;
  const Evacuations Before = View.evacuations();
  const bool Changed = View.setEvacuations(std::move(Asked), Now);
  if (!Changed && !Before.m_Revision.none())
    return;
  Json Names = Json::array();
  for (const DataCentreName &Each : View.evacuations().m_DataCentres)
    Names.push_back(Each.str());
  m_Log.write(
      "evacuations",
      {{"revision", View.evacuations().m_Revision.m_Number},
       {"era", View.evacuations().m_Revision.m_Era},
       {"data_centres", std::move(Names)},
       {"age_ms",
        std::min<Duration>(NoListAge,
                           Now - m_Exchange.lists().evacuationsConfirmedAt()) /
            1ms}});
  // Engines that return may have become cold without a report.
  for (const DataCentreName &Each : Before.m_DataCentres)
    if (!View.evacuations().contains(Each))
      m_State.m_WarmUp.suspectAt(Each, Now);
  m_Leader.evacuationsChanged(Now);
  m_Forwarder.upstreamsChanged();
  m_Forwarder.releaseStartupQueue();
}

void Gateway::stop() {
  if (!m_Stop.begin(m_Options.m_Bounds.m_GracePeriod, EventLoop::now()))
    return;
  m_Callers->closeAfterAnswers();
  // Requests that wait for a load, or for units of a quota, go elsewhere at
  // once.
  m_Forwarder.upstreamsChanged();
  m_Quotas->stopWaiting();
  m_Forwarder.releaseStartupQueue();
  m_Leader.resign();
  m_Fleet.leave();
}

StopSequence::Hooks Gateway::stopHooks() {
  return {.m_Open = [this] { return m_Forwarder.open(); },
          .m_Unsent = [this] { return unsentAnswers(); },
          .m_AnswerRest =
              [this] {
                m_Callers->stopAccepting();
                m_Forwarder.endAll();
              },
          .m_Stopped = m_Stopped};
}

/// \returns on how many connections answers wait to be sent to callers that
/// may still read them.
std::size_t Gateway::unsentAnswers() const {
  return m_Callers->unsentAnswers(MaxCallerSilence) +
         (m_Passes ? m_Passes->unsentAnswers(MaxCallerSilence) : 0);
}

} // namespace havenstair
