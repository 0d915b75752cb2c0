#include "gateway/process/Gateway.h"

#include <utility>

namespace havenstair {

namespace {

/// Changes of upstreams that come together cost one call to the store.
constexpr Duration GatherUpstreams = 200ms;

/// How often the settings are read without a signal.
constexpr Duration ReloadEvery = 2s;

/// The balancer needs two questions, a second apart, to see that a box stops.
constexpr Duration LeastStop = 3s;

/// What is left of the grace period when the process ends by itself.
constexpr Duration GraceMargin = 600ms;
constexpr Duration StopCheckEvery = 100ms;

/// Callers' connections may rest longer than the callers themselves use them.
constexpr Duration IdleMargin = 10s;

double drawUnit(std::mt19937_64 &Random) {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

} // namespace

Gateway::Gateway(EventLoop &Loop, PlatformBinding Binding,
                 GatewayOptions Options, std::function<void()> Stopped)
    : m_Loop(Loop), m_Binding(std::move(Binding)),
      m_Options(std::move(Options)), m_Stopped(std::move(Stopped)),
      m_Log(Loop, {}), m_Random(std::random_device()()), m_UpstreamHttp(Loop),
      m_StoreHttp(Loop),
      m_Store(m_Binding.m_MakeStore(Loop, m_StoreHttp, m_Options.m_Store)),
      m_Engines(m_Binding.m_MakeEngines(m_UpstreamHttp)),
      m_Forwarder(Loop, m_UpstreamHttp, m_State, m_Binding.m_Dialect, m_Log, {},
                  {.m_Missing = [](const ModelKey &) {},
                   .m_Ended = [](const RequestResult &) {},
                   .m_Random = [this] { return drawUnit(m_Random); }}),
      m_Registry(m_Binding.m_DecodeUpstream, m_Log),
      m_ConfigMirror(
          Loop, *m_Store,
          {.m_Prefix = m_Binding.m_ConfigPrefix,
           .m_Retry = {.m_Random = [this] { return drawUnit(m_Random); }}},
          {.m_Changed = [this] { configChanged(); }, .m_Reached = [] {}}),
      m_UpstreamMirror(
          Loop, *m_Store,
          {.m_Prefix = m_Binding.m_UpstreamPrefix,
           .m_Gather = GatherUpstreams,
           .m_Retry = {.m_Random = [this] { return drawUnit(m_Random); }}},
          {.m_Changed = [this] { upstreamsChanged(); }, .m_Reached = [] {}}) {
  m_State.m_Zone = m_Options.m_DataCentre.str();
  applyBounds();
  startServers();
  m_ConfigMirror.start();
  m_UpstreamMirror.start();
  m_ReloadTimer = Loop.every(ReloadEvery, [this] { reload(); });
  m_Log.write("started", {{"box", m_Options.m_Box.str()},
                          {"zone", m_State.m_Zone},
                          {"callers", m_Options.m_Callers.str()},
                          {"store", m_Options.m_Store.str()}});
}

Gateway::~Gateway() = default;

void Gateway::startServers() {
  HttpServer::Options Opts;
  Opts.m_Listen = m_Options.m_Callers;
  Opts.m_MaxBody = CallerLimits{}.m_BodyBytes;
  Opts.m_MaxHeaders = 2 * CallerLimits{}.m_HeaderBytes;
  Opts.m_IdleTimeout = CallerLimits{}.m_IdleTimeout + IdleMargin;
  m_Callers = std::make_unique<HttpServer>(
      m_Loop, Opts, [this](const HttpExchangePtr &Exchange) {
        m_Forwarder.handle(Exchange);
      });
  Opts.m_Listen = m_Options.m_Readiness;
  m_Readiness = std::make_unique<HttpServer>(
      m_Loop, Opts,
      [this](const HttpExchangePtr &Exchange) { answerReadiness(Exchange); });
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
}

void Gateway::reload() {
  try {
    GatewayOptions Read = m_Binding.m_ReadOptions();
    if (Read.m_Bounds == m_Options.m_Bounds)
      return;
    m_Options.m_Bounds = Read.m_Bounds;
    applyBounds();
    m_Log.write("settings_changed", {{"box", m_Options.m_Box.str()}});
  } catch (const std::exception &Error) {
    m_Log.write("bad_settings", {{"why", Error.what()}});
  }
}

void Gateway::configChanged() {
  for (const auto &[Key, Item] : m_ConfigMirror.items()) {
    try {
      ServingConfig Read = m_Binding.m_DecodeConfig(Item.m_Value);
      const ConfigVersion Before =
          m_State.m_Config ? m_State.m_Config->m_Version : 0;
      if (m_State.m_Config && Read.m_Version <= Before)
        continue;
      m_Log.write("config", {{"version", Read.m_Version},
                             {"before", Before},
                             {"routes", Read.m_Routes.size()},
                             {"revision", Item.m_Revision}});
      m_Callers->setIdleTimeout(Read.m_Limits.m_IdleTimeout + IdleMargin);
      m_State.m_Config = std::make_shared<const ServingConfig>(std::move(Read));
    } catch (const DecodeError &Error) {
      m_Log.write("bad_config", {{"key", Key}, {"why", Error.what()}});
    }
  }
}

void Gateway::upstreamsChanged() {
  const std::vector<InstanceId> Gone = m_State.m_Upstreams.update(
      m_Registry.read(m_UpstreamMirror.items(), m_UpstreamMirror.revision()),
      EventLoop::now());
  for (const InstanceId &Id : Gone) {
    m_State.m_Prefixes.forget(Id);
    m_State.m_Latency.forget(Id);
  }
  m_Log.write("upstreams",
              {{"revision", m_UpstreamMirror.revision()},
               {"listed", m_State.m_Upstreams.list().m_Instances.size()},
               {"gone", Gone}});
  m_Forwarder.upstreamsChanged();
}

void Gateway::stop() {
  if (std::exchange(m_State.m_Stopping, true))
    return;
  const TimePoint Now = EventLoop::now();
  m_LeaveAt = Now + LeastStop;
  m_StopAt = Now + m_Options.m_Bounds.m_GracePeriod - GraceMargin;
  m_Callers->closeAfterAnswers();
  m_Log.write("stopping", {{"open", m_Forwarder.open()}});
  m_StopTimer = m_Loop.every(StopCheckEvery, [this] { stopIfIdle(); });
}

void Gateway::stopIfIdle() {
  const TimePoint Now = EventLoop::now();
  const bool Idle = m_Forwarder.open() == 0 && Now >= m_LeaveAt;
  if (!Idle && Now < m_StopAt)
    return;
  m_Log.write("stopped", {{"open", m_Forwarder.open()}});
  m_StopTimer = Timer();
  m_Stopped();
}

} // namespace havenstair
