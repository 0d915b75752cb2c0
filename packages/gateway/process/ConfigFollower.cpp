#include "gateway/process/ConfigFollower.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/Fleet.h"
#include "gateway/process/WatchCache.h"
#include <algorithm>
#include <utility>

namespace havenstair {

ConfigFollower::ConfigFollower(Dependencies Deps, Hooks Callbacks)
    : m_Deps(Deps), m_Hooks(std::move(Callbacks)) {}

Duration ConfigFollower::behind(TimePoint Now) const {
  return m_FetchPolicy.behind(m_Deps.m_State.configVersion(), Now);
}

bool ConfigFollower::asksUplink() const {
  const BoxName Uplink = m_Hooks.m_NextHopToLeader();
  return !m_Deps.m_Fleet.topology().relay() && !Uplink.empty() &&
         m_Deps.m_Fleet.understands(Uplink, PackingProtocol);
}

/// Whether another box is asked for a copy instead of the store. A small relay
/// needs most of a second for each read, as long as a leaf does; a strong box
/// reads in a few milliseconds and sends its copy compressed.
bool ConfigFollower::delegatesReads() const {
  if (m_Deps.m_Cache.running())
    return false;
  const BoxName &Source = m_FetchPolicy.source();
  return asksUplink() || (m_Deps.m_Fleet.topology().stronger(Source) &&
                          m_Deps.m_Fleet.understands(Source, PackingProtocol));
}

void ConfigFollower::recordDigest(const BoxName &From,
                                  const FleetDigestFrame &Frame,
                                  TimePoint Now) {
  const ConfigVersion Current = m_Deps.m_State.configVersion();
  const ConfigFetchPolicy::PeerVersions Report{.m_Held = Frame.m_Config,
                                               .m_Known = Frame.m_ConfigKnown};
  if (std::max(Report.m_Held, Report.m_Known) <= Current)
    return;
  if (m_FetchPolicy.recordReport(From, Report, Now))
    m_Deps.m_Log.write("config_told",
                       {{"version", m_FetchPolicy.newest().m_Version},
                        {"known", Current},
                        {"peer", From.str()},
                        {"held", Report.m_Held},
                        {"age_ms", m_Hooks.m_Age(Now) / 1ms}});
  proceed(Now);
}

void ConfigFollower::proceed(TimePoint Now) {
  const ConfigVersion Current = m_Deps.m_State.configVersion();
  // Comparing strengths looks through the whole fleet, and is needed only when
  // this box is behind.
  const bool Behind = m_FetchPolicy.newest().m_Version > Current;
  const ConfigStep Step =
      m_FetchPolicy.next({.m_Known = Current,
                          .m_Reading = m_Deps.m_Cache.reading(),
                          .m_Watching = m_Deps.m_Cache.running(),
                          .m_DefersReads = Behind && delegatesReads()},
                         Now);
  switch (Step) {
  case ConfigStep::None:
    return;
  case ConfigStep::AskPeer:
    return requestFrom(m_FetchPolicy.source());
  case ConfigStep::ReadStale:
    return m_Deps.m_Cache.readOnce(ReadKind::Stale);
  case ConfigStep::ReadCurrent:
    return m_Deps.m_Cache.readOnce(ReadKind::Current);
  case ConfigStep::RestartWatch:
    m_Hooks.m_DropConnections();
    return m_Deps.m_Cache.resync();
  }
}

void ConfigFollower::requestFrom(const BoxName &Source) {
  m_Deps.m_Log.write("config_asked",
                     {{"peer", Source.str()},
                      {"version", m_FetchPolicy.newest().m_Version},
                      {"known", m_Deps.m_State.configVersion()},
                      {"next_ms", m_FetchPolicy.askPause() / 1ms}});
  m_Hooks.m_Ask(Source);
}

} // namespace havenstair
