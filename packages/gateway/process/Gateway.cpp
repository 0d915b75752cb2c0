#include "gateway/process/Gateway.h"

#include "gateway/process/ObservedEngines.h"
#include "gateway/process/PartOptions.h"
#include "gateway/request/UpstreamCall.h"
#include "wire/common/Build.h"
#include "wire/common/Crypto.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace havenstair {

namespace {

/// Changes of upstreams that come together cost one call to the store.
constexpr Duration GatherUpstreams = 200ms;

/// The same for boxes; they start together.
constexpr Duration GatherBoxes = 300ms;
/// In a large fleet boxes come and go all the time, and relays that learn of
/// them a second later lose nothing.
constexpr Duration GatherBoxesInLarge = 1s;
/// A box that starts needs to find its relays: all may have started with it.
constexpr Duration StartsWithin = 5s;

/// How long a watch may wait before it is asked again. A watch whose connection
/// was lost on the way says nothing until then: the list of upstreams must not
/// be older than the time in which a leaving one may still get work. The other
/// boxes tell of a newer configuration, and new boxes make themselves known.
constexpr Duration WaitForConfig = 20s;
constexpr Duration WaitForBoxes = 10s;

/// How often the settings are read without a signal.
constexpr Duration ReloadEvery = 2s;

/// The balancer needs two questions, a second apart, to see that a box stops.
constexpr Duration LeastStop = 3s;

/// What is left of the grace period when the process ends by itself.
constexpr Duration GraceMargin = 600ms;
constexpr Duration StopCheckEvery = 100ms;
constexpr Duration FlushFor = 400ms;

/// Callers' connections may rest longer than the callers themselves use them.
constexpr Duration IdleMargin = 10s;

/// Upstreams named in one log line.
constexpr std::size_t MostLogged = 16;

/// Tells one start of a box from another.
constexpr std::size_t NameBytes = 3;

constexpr const char *MetricsPath = "/metrics";

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
                                               m_Giver.giving()};
                   }),
      m_Random(std::random_device()()), m_UpstreamHttp(Loop), m_StoreHttp(Loop),
      m_Store(std::make_unique<MeteredStore>(
          m_Binding.m_MakeStore(Loop, m_StoreHttp, m_Options.m_Store),
          MeteredStore::Hooks{
              .m_Called =
                  [this](auto Call, auto Subject) {
                    m_Metrics.recordStoreCall(Call, Subject);
                    m_StoreCalls.called(Call, Subject);
                  },
              .m_Reached =
                  [this] { m_Fleet.noteStoreReached(EventLoop::now()); }})),
      m_Engines(std::make_unique<ObservedEngines>(
          m_Binding.m_MakeEngines(m_UpstreamHttp),
          [this](const auto &Of, const auto &Report, TimePoint AskedAt) {
            m_Permits->reportCold(Of.m_Id, Report.m_ColdFor, AskedAt);
            if (Report.m_Leaving)
              m_Words->recordLeaving(Of.incarnation());
          })),
      m_Forwarder(
          Loop, m_UpstreamHttp, m_State, m_Binding.m_Dialect, m_Log,
          forwarderOptions(m_Policy),
          {.m_Missing =
               [this](const ModelKey &Key) { m_Exchange.missing(Key); },
           .m_Ended =
               [this](const RequestResult &Result) {
                 m_Metrics.recordRequest(Result);
                 if (!m_State.m_Upstreams.evacuations().m_DataCentres.empty())
                   m_Metrics.recordRequestInEvacuation(Result.m_Outcome);
               },
           .m_SendEnded =
               [this](std::string_view Outcome) {
                 m_Metrics.recordSend(Outcome);
               },
           .m_MayTrustKeys = [this] { return mayTrustKeys(); },
           .m_ConfigFreshness =
               [this](TimePoint Now) {
                 return m_Exchange.lists().configVouch(Now);
               },
           .m_Random = [this] { return drawUnit(m_Random); }}),
      m_Registry(m_Binding.m_DecodeUpstream, m_Log),
      m_ConfigMirror(
          Loop, *m_Store,
          mirrorOptions(m_Binding.m_ConfigPrefix, 0us, WaitForConfig),
          {.m_Changed = [this] { configChanged(); },
           .m_ReadEnded = [this](const auto &End) { logConfigRead(End); }}),
      m_UpstreamMirror(Loop, *m_Store,
                       mirrorOptions(m_Binding.m_UpstreamPrefix,
                                     GatherUpstreams, PrefixMirror::CloseWait),
                       {.m_Changed = [this] { upstreamsChanged(); }}),
      m_OwnMirror(Loop, *m_Store,
                  mirrorOptions(m_Binding.m_OwnPrefix, GatherBoxes,
                                WaitForBoxes, ReadKind::Stale),
                  {.m_Changed = [this] { ownKeysChanged(); }}),
      m_EvacuationMirror(Loop, *m_Store,
                         mirrorOptions(m_Binding.m_EvacuationPrefix, 0us,
                                       PrefixMirror::CloseWait),
                         {.m_Changed = [this] { evacuationsChanged(); }}),
      m_Process(m_Options.m_Box.str() + "." + randomHex(NameBytes)),
      m_Fleet(Loop, *m_Store, m_Log,
              fleetOptions(m_Options, m_Binding, m_Process,
                           [this] { return drawUnit(m_Random); }),
              fleetHooks()),
      m_Giver(Loop, *m_Store, *m_Engines, m_State, m_Log,
              giverOptions(m_Options, m_Binding, m_Policy, m_Process),
              {.m_Contents =
                   [this](const FleetContentsFrame &Frame) {
                     m_Exchange.tellContents(Frame);
                   },
               .m_Ordered =
                   [this](std::string_view Operation, std::string_view Answer) {
                     m_Metrics.recordOrder(Operation, Answer);
                   },
               .m_HolderRead = [this] { return m_OwnMirror.confirmedAt(); },
               .m_Random = [this] { return drawUnit(m_Random); }}),
      m_Exchange(
          Loop,
          {.m_Fleet = m_Fleet,
           .m_Giver = m_Giver,
           .m_State = m_State,
           .m_Config = m_ConfigMirror,
           .m_Upstreams = m_UpstreamMirror,
           .m_Registry = m_Registry,
           .m_Boxes = m_OwnMirror,
           .m_Evacuations = m_EvacuationMirror,
           .m_Log = m_Log},
          {.m_Lists = {.m_DrainTimeout = m_Options.m_Bounds.m_DrainTimeout,
                       .m_FirstStart = m_Options.m_FirstStart},
           .m_Random = [this] { return drawUnit(m_Random); }},
          {.m_ContentsChanged = [this] { m_Forwarder.upstreamsChanged(); },
           .m_DropConnections =
               [this] { m_StoreHttp.forget(m_Options.m_Store); }}),
      m_Quotas(std::make_shared<QuotaExchange>(
          Loop, m_Fleet, m_Log, m_Options.m_Bounds.quotaTolerance(),
          QuotaExchange::Hooks{
              .m_LeafCount = [this] { return m_Exchange.leaves(); }})),
      m_Permits(std::make_shared<PermitExchange>(
          Loop, m_Fleet,
          PermitExchange::Views{.m_WarmUp = m_State.m_WarmUp,
                                .m_Signals = m_State.m_Words,
                                .m_Bounds = m_State.m_SendBounds},
          m_Log, m_Options.m_Bounds.m_WarmUp,
          PermitExchange::Hooks{
              .m_PermitDecided =
                  [this](const auto &At, bool Limited, auto What) {
                    m_Metrics.recordPermit(At, Limited, What);
                  },
              .m_UnknownBound =
                  [this](const BoxName &Box, const InstanceId &Server) {
                    m_Words->sendNoLimit(Box,
                                         m_State.m_WarmUp.incarnation(Server));
                  }})),
      m_Crashes(std::make_shared<CrashExchange>(
          Loop, m_UpstreamHttp, *m_Store, m_Fleet, m_State.m_Upstreams,
          m_State.m_Crashes, m_Log, m_Binding.m_OwnPrefix, crashHooks())),
      m_Words(std::make_shared<UpstreamSignalExchange>(
          Loop, m_Fleet, m_State.m_Upstreams, m_State.m_Words, m_Log,
          UpstreamSignalExchange::Hooks{
              .m_LimitsChanged = [this] { m_Permits->refreshRole(); },
              .m_UpstreamLeaving = [this] { serverLeaves(); }})) {
  m_Forwarder.setServices(m_Quotas, m_Permits, m_Crashes, m_Words);
  m_State.standsIn(m_Options.m_DataCentre, m_Options.m_Regions);
  applyBounds();
  startServers();
  m_OwnMirror.start();
  m_ReloadTimer = Loop.every(ReloadEvery, [this] { reload(); });
  m_Log.write("started", {{"box", m_Process.str()},
                          {"build", buildName()},
                          {"protocol", OwnProtocol},
                          {"zone", m_State.m_Zone},
                          {"callers", m_Options.m_Callers.str()},
                          {"store", m_Options.m_Store.str()}});
}

Gateway::~Gateway() = default;

PrefixMirror::Options Gateway::mirrorOptions(const std::string &Prefix,
                                             Duration Gather, Duration Wait,
                                             ReadKind FirstRead) {
  return {.m_Prefix = Prefix,
          .m_Wait = Wait,
          .m_Gather = Gather,
          .m_FirstRead = FirstRead,
          .m_Retry = {.m_First = 100ms, .m_Cap = 1s, .m_Random = [this] {
                        return drawUnit(m_Random);
                      }}};
}

Fleet::Hooks Gateway::fleetHooks() {
  return {.m_Frame =
              [this](const BoxName &From, const PeerFrame &Frame) {
                m_Exchange.onFrame(From, Frame);
                m_Quotas->onFrame(From, Frame);
                m_Permits->onFrame(From, Frame);
                m_Crashes->onFrame(From, Frame);
                m_Words->onFrame(From, Frame);
              },
          .m_Up =
              [this](const BoxName &Box) {
                m_Exchange.linkUp(Box);
                m_Permits->refreshRole();
                m_Crashes->linkUp(Box);
                m_Words->linkUp(Box);
              },
          .m_Down =
              [this](const BoxName &Box) {
                m_Exchange.linkDown(Box);
                m_Permits->refreshRole();
              },
          .m_StoreBack = [this] { resync(); }};
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
                     // It may have started again and be cold, and this word
                     // comes before the list's.
                     .m_NotEnded =
                         [this](const UpstreamIncarnation &Server,
                                const AnswerFacts &Answer, TimePoint AskedAt) {
                           if (Answer.m_ColdFor)
                             m_Permits->reportCold(Server.m_Id,
                                                   *Answer.m_ColdFor, AskedAt);
                           if (Answer.m_Leaving)
                             m_Words->recordLeaving(Server);
                         }},
      .m_Changed = [this] { m_Forwarder.crashesChanged(); },
      .m_ProbeEnded = [this](auto What) { m_Metrics.recordProbe(What); },
      .m_IsWriter = [this] { return m_Giver.giving(); }};
}

void Gateway::ownKeysChanged() {
  m_Fleet.entriesChanged(m_OwnMirror.items());
  m_Giver.entriesChanged(m_OwnMirror.items());
  m_Exchange.boxesChanged();
  m_Quotas->boxesChanged();
  m_Crashes->entriesChanged(m_OwnMirror.items());
  m_Permits->refreshRole();
  const bool Starting = EventLoop::now() - m_StartedAt < StartsWithin;
  m_OwnMirror.setGather(
      m_Fleet.topology().flat() || Starting ? GatherBoxes : GatherBoxesInLarge);
  m_State.m_Boxes = std::max(m_State.m_Boxes, static_cast<int>(m_Fleet.size()));
}

/// A connection to the store may be dead without saying so.
void Gateway::resync() {
  m_StoreHttp.forget(m_Options.m_Store);
  m_ConfigMirror.resync();
  m_UpstreamMirror.resync();
  m_OwnMirror.resync();
  m_EvacuationMirror.resync();
}

void Gateway::startServers() {
  HttpServer::Options Opts;
  Opts.m_Listen = m_Options.m_Callers;
  Opts.m_MaxBody = CallerLimits{}.m_BodyBytes;
  Opts.m_MaxHeaders = 2 * CallerLimits{}.m_HeaderBytes;
  Opts.m_IdleTimeout = CallerLimits{}.m_IdleTimeout + IdleMargin;
  m_Callers = std::make_unique<HttpServer>(
      m_Loop, Opts,
      [this](const HttpExchangePtr &Exchange) { takeRequest(Exchange); });
  Opts.m_Listen = m_Options.m_Readiness;
  m_Readiness = std::make_unique<HttpServer>(
      m_Loop, Opts,
      [this](const HttpExchangePtr &Exchange) { answerReadiness(Exchange); });
  Opts.m_Listen = m_Options.m_Metrics;
  m_MetricsServer = std::make_unique<HttpServer>(
      m_Loop, Opts,
      [this](const HttpExchangePtr &Exchange) { answerMetrics(Exchange); });
}

/// A request that comes late in a stop may not end before the process does.
void Gateway::takeRequest(const HttpExchangePtr &Exchange) {
  if (m_State.m_Stopping && EventLoop::now() >= m_LeaveAt)
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
  Now.m_ConfigAge = inSeconds(Lists.configVouch(EventLoop::now()).m_Age);
  Now.m_ConfigBehind = inSeconds(Lists.config().behind(EventLoop::now()));
  Now.m_ListRevision = Number(m_State.m_Upstreams.list().m_Revision);
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
  Now.m_StoreReached = m_Exchange.storeJustReached() ? 1 : 0;
  Now.m_IsOrderLeader = m_Giver.giving() ? 1 : 0;
  Now.m_FencingToken = Number(m_Giver.holder().m_Token);
  Now.m_DroppedLogLines = Number(m_Log.droppedLines());
  Now.m_QuarantinedRequests = Number(m_State.m_Crashes.quarantines().size());
  Now.m_BackedOffUpstreams =
      Number(m_State.m_Words.backedOffCount(EventLoop::now()));
  Now.m_LimitedUpstreams = Number(m_State.m_Words.limits().size());
  Now.m_Cold = m_State.m_WarmUp.coldByDataCentre(EventLoop::now());
  m_Metrics.set(Now);
  Exchange->reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                  m_Metrics.serialize());
}

void Gateway::answerReadiness(const HttpExchangePtr &Exchange) {
  if (Exchange->path() != m_Binding.m_ReadinessPath)
    return Exchange->reply(404, {}, "");
  Exchange->reply(m_State.ready() ? 200 : 503, {}, "");
}

void Gateway::applyBounds() {
  const ServingBounds &Bounds = m_Options.m_Bounds;
  m_State.m_Budget.configure({.m_Ratio = Bounds.m_RetryRatio,
                              .m_Allowance = Bounds.m_RetryAllowance,
                              .m_Window = Bounds.m_RetryWindow});
  m_Quotas->setTolerance(Bounds.quotaTolerance());
  m_Permits->setTolerance(Bounds.m_WarmUp);
  m_Exchange.lists().watchConfigClosely(Bounds.m_FailClosed);
  // A box that serves when operators begin to evacuate goes on meanwhile.
  const bool Evacuates = Bounds.m_EvacuationDelay.has_value();
  m_State.m_NeedsEvacuations =
      Evacuates && (m_State.m_NeedsEvacuations || !m_State.knowsAll());
  m_Exchange.lists().followEvacuations(Evacuates);
  if (!Evacuates)
    endEvacuations();
}

/// Nobody follows them any more, so none may stand for good.
void Gateway::endEvacuations() {
  if (m_State.m_Upstreams.evacuations().m_DataCentres.empty())
    return;
  applyEvacuations({.m_Revision = m_State.m_Upstreams.evacuations().m_Revision,
                    .m_DataCentres = {}});
}

/// Where operators ask for it, keys are not trusted when the configuration may
/// be older than the time in which a key that was taken away must be refused.
bool Gateway::mayTrustKeys() const {
  const ServingBounds &Bounds = m_Options.m_Bounds;
  return !Bounds.m_FailClosed ||
         EventLoop::now() - m_Exchange.lists().configAsOf() <=
             Bounds.m_RevocationDelay;
}

void Gateway::reload() {
  try {
    GatewayOptions Read = m_Binding.m_ReadOptions();
    if (Read.m_Bounds == m_Options.m_Bounds)
      return;
    m_Options.m_Bounds = Read.m_Bounds;
    applyBounds();
    m_Giver.setBounds(m_Options.m_Bounds);
    m_Log.write("settings_changed", {{"box", m_Options.m_Box.str()}});
  } catch (const std::exception &Error) {
    m_Log.write("bad_settings", {{"why", Error.what()}});
  }
}

void Gateway::logConfigRead(const PrefixMirror::ReadEnd &End) {
  const char *Outcome = toString(End.m_Status);
  m_Metrics.recordConfigRead(Outcome);
  m_Log.write("config_read", {{"kind", toString(End.m_Kind)},
                              {"outcome", Outcome},
                              {"took_ms", End.m_Took / 1ms},
                              {"bytes", End.m_Bytes},
                              {"at", End.m_At},
                              {"next_ms", End.m_NextTry / 1ms}});
}

void Gateway::logConfig(const ServingConfig &Read, StoreRevision Revision) {
  const TimePoint Now = EventLoop::now();
  const ConfigFetchPolicy::NewestVersion &Known =
      m_Exchange.lists().config().newest();
  const bool Told = Known.m_Version >= Read.m_Version;
  const char *Source = toString(m_ConfigMirror.source());
  m_Metrics.recordConfigAdoption(Source);
  m_Log.write("config",
              {{"version", Read.m_Version},
               {"before", m_State.configVersion()},
               {"routes", Read.m_Routes.size()},
               {"organisations", Read.m_Organisations.size()},
               {"revision", Revision},
               {"source", Source},
               {"age_ms", m_Exchange.lists().configVouch(Now).m_Age / 1ms},
               {"told_by", Told ? Known.m_By.str() : ""},
               {"told_ms", Told ? Json((Now - Known.m_At) / 1ms) : Json()}});
}

/// \returns whether \p Item is a newer configuration than the one in force.
bool Gateway::takeConfig(const StoreItem &Item) {
  const TimePoint Began = EventLoop::now();
  try {
    ServingConfig Read = m_Binding.m_DecodeConfig(Item.m_Value);
    if (m_State.m_Config && Read.m_Version <= m_State.configVersion())
      return false;
    logConfig(Read, Item.m_Revision);
    m_Callers->setIdleTimeout(Read.m_Limits.m_IdleTimeout + IdleMargin);
    m_State.m_Config = std::make_shared<const ServingConfig>(std::move(Read));
    m_Quotas->configure(m_State.m_Config->m_Organisations);
    m_State.m_WarmUp.configure(m_State.m_Config->m_Services);
    m_Log.write("config_in_force",
                {{"version", m_State.configVersion()},
                 {"bytes", Item.m_Value.size()},
                 {"held_ms", (EventLoop::now() - Began) / 1ms}});
    return true;
  } catch (const DecodeError &Error) {
    m_Metrics.recordConfigAdoption("unreadable");
    m_Log.write("bad_config", {{"key", Item.m_Key}, {"why", Error.what()}});
    return false;
  }
}

void Gateway::configChanged() {
  for (const auto &[Key, Item] : m_ConfigMirror.items())
    if (takeConfig(Item))
      m_Exchange.configChanged();
  m_Permits->refreshRole();
  m_Forwarder.upstreamsChanged();
  m_Forwarder.releaseStartupQueue();
}

InstanceList Gateway::readUpstreams() {
  const PrefixMirror &List = m_UpstreamMirror;
  return List.part() ? m_Registry.readShortlist(List.items(), List.revision())
                     : m_Registry.read(List.items(), List.revision(),
                                       m_State.m_DataCentres);
}

void Gateway::upstreamsChanged() {
  const std::vector<UpstreamInstance> Gone =
      m_State.m_Upstreams.update(readUpstreams(), EventLoop::now());
  Json Names = Json::array();
  for (const UpstreamInstance &Each : Gone) {
    m_State.forget(Each.m_Id);
    if (Names.size() < MostLogged)
      Names.push_back(Each.m_Id);
    // Connections that were kept ended with it; nothing may be sent on them.
    if (const auto Address = Endpoint::parse(Each.m_Address);
        Address && m_State.m_Upstreams.list().m_Instances.contains(Each.m_Id))
      m_UpstreamHttp.forget(*Address);
  }
  m_State.m_Words.update(m_State.m_Upstreams.list(), EventLoop::now());
  m_Permits->onListChanged(m_State.m_Upstreams.list());
  m_Crashes->onListChanged();
  m_Log.write("upstreams",
              {{"revision", m_UpstreamMirror.revision()},
               {"listed", m_Registry.size()},
               {"known", m_State.m_Upstreams.list().m_Instances.size()},
               {"tell_birth", m_State.m_Upstreams.countWithStartTime()},
               {"gone", std::move(Names)},
               {"all_gone", Gone.size()}});
  m_Exchange.upstreamsChanged();
  m_Giver.upstreamsChanged();
  m_Forwarder.upstreamsChanged();
  m_Forwarder.releaseStartupQueue();
}

/// A server said so itself.
void Gateway::serverLeaves() {
  m_Giver.upstreamsChanged();
  m_Forwarder.upstreamsChanged();
}

void Gateway::evacuationsChanged() {
  Evacuations Asked{.m_Revision = m_EvacuationMirror.revision()};
  for (const auto &[Key, Item] : m_EvacuationMirror.items())
    Asked.m_DataCentres.emplace(
        Key.substr(m_Binding.m_EvacuationPrefix.size()));
  applyEvacuations(std::move(Asked));
  m_Exchange.evacuationsChanged();
}

void Gateway::applyEvacuations(Evacuations Asked) {
  const TimePoint Now = EventLoop::now();
  ServingView &View = m_State.m_Upstreams;
  const Evacuations Before = View.evacuations();
  const bool Changed = View.setEvacuations(std::move(Asked), Now);
  if (!Changed && Before.m_Revision > 0)
    return;
  Json Names = Json::array();
  for (const DataCentreName &Each : View.evacuations().m_DataCentres)
    Names.push_back(Each.str());
  m_Log.write(
      "evacuations",
      {{"revision", View.evacuations().m_Revision},
       {"data_centres", std::move(Names)},
       {"age_ms", std::min<Duration>(
                      NoListAge, Now - m_Exchange.lists().evacuationsAsOf()) /
                      1ms}});
  // Engines that come back may have turned cold without a word.
  for (const DataCentreName &Each : Before.m_DataCentres)
    if (!View.evacuations().contains(Each))
      m_State.m_WarmUp.suspectAt(Each, Now);
  m_Giver.evacuationsChanged(Now);
  m_Forwarder.upstreamsChanged();
  m_Forwarder.releaseStartupQueue();
}

void Gateway::stop() {
  if (std::exchange(m_State.m_Stopping, true))
    return;
  const TimePoint Now = EventLoop::now();
  m_LeaveAt = Now + LeastStop;
  m_BusyAt = Now;
  m_StopAt = Now + m_Options.m_Bounds.m_GracePeriod - GraceMargin;
  m_Callers->closeAfterAnswers();
  // Those that wait for a load go elsewhere at once.
  m_Forwarder.upstreamsChanged();
  m_Forwarder.releaseStartupQueue();
  m_Giver.leave();
  m_Fleet.leave();
  m_Log.write("stopping", {{"open", m_Forwarder.open()}});
  m_StopTimer = m_Loop.every(StopCheckEvery, [this] { stopIfIdle(); });
}

void Gateway::stopIfIdle() {
  const TimePoint Now = EventLoop::now();
  if (m_Forwarder.open() > 0)
    m_BusyAt = Now;
  // The last bytes of an answer are still on their way when its request ends.
  const bool Idle = Now >= m_LeaveAt && Now - m_BusyAt >= FlushFor;
  if (!Idle && Now < m_StopAt)
    return;
  m_Log.write("stopped", {{"open", m_Forwarder.open()}});
  m_StopTimer = Timer();
  m_Stopped();
}

} // namespace havenstair
