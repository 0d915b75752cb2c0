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

/// A small relay would need most of a second for each read that it makes, as
/// long as a leaf; a strong box reads in some ms, and sends its copy packed.
bool ConfigFollower::delegatesReads() const {
  if (m_Deps.m_Cache.running())
    return false;
  const BoxName &Holder = m_FetchPolicy.holder();
  return asksUplink() || (m_Deps.m_Fleet.topology().stronger(Holder) &&
                          m_Deps.m_Fleet.understands(Holder, PackingProtocol));
}

void ConfigFollower::recordDigest(const BoxName &From,
                                  const FleetDigestFrame &Frame,
                                  TimePoint Now) {
  const ConfigVersion Known = m_Deps.m_State.configVersion();
  const ConfigPursuit::Word Word{.m_Held = Frame.m_Config,
                                 .m_Known = Frame.m_ConfigKnown};
  if (std::max(Word.m_Held, Word.m_Known) <= Known)
    return;
  if (m_FetchPolicy.told(From, Word, Now))
    m_Deps.m_Log.write("config_told",
                       {{"version", m_FetchPolicy.newest().m_Version},
                        {"known", Known},
                        {"peer", From.str()},
                        {"held", Word.m_Held},
                        {"age_ms", m_Hooks.m_Age(Now) / 1ms}});
  proceed(Now);
}

void ConfigFollower::proceed(TimePoint Now) {
  const ConfigVersion Known = m_Deps.m_State.configVersion();
  // Who is stronger is looked up in the whole fleet, and seldom matters.
  const bool Behind = m_FetchPolicy.newest().m_Version > Known;
  const ConfigStep Step =
      m_FetchPolicy.next({.m_Known = Known,
                          .m_Reading = m_Deps.m_Cache.reading(),
                          .m_Watching = m_Deps.m_Cache.running(),
                          .m_LeavesReads = Behind && delegatesReads()},
                         Now);
  switch (Step) {
  case ConfigStep::None:
    return;
  case ConfigStep::Ask:
    return ask(m_FetchPolicy.holder());
  case ConfigStep::ReadStale:
    return m_Deps.m_Cache.readOnce(ReadKind::Stale);
  case ConfigStep::ReadCurrent:
    return m_Deps.m_Cache.readOnce(ReadKind::Current);
  case ConfigStep::ReadAnew:
    m_Hooks.m_DropConnections();
    return m_Deps.m_Cache.resync();
  }
}

void ConfigFollower::ask(const BoxName &Holder) {
  m_Deps.m_Log.write("config_asked",
                     {{"peer", Holder.str()},
                      {"version", m_FetchPolicy.newest().m_Version},
                      {"known", m_Deps.m_State.configVersion()},
                      {"next_ms", m_FetchPolicy.askPause() / 1ms}});
  m_Hooks.m_Ask(Holder);
}

} // namespace havenstair
