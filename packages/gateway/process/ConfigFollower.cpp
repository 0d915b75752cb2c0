#include "gateway/process/ConfigFollower.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/Fleet.h"
#include "gateway/process/PrefixMirror.h"
#include <algorithm>
#include <utility>

namespace havenstair {

ConfigFollower::ConfigFollower(Parts Of, Hooks Callbacks)
    : m_Of(Of), m_Hooks(std::move(Callbacks)) {}

Duration ConfigFollower::behind(TimePoint Now) const {
  return m_Pursuit.behind(m_Of.m_State.configVersion(), Now);
}

bool ConfigFollower::asksUplink() const {
  const BoxName Uplink = m_Hooks.m_TowardsGiver();
  return !m_Of.m_Fleet.topology().relay() && !Uplink.empty() &&
         m_Of.m_Fleet.understands(Uplink, PackingProtocol);
}

/// A small relay would need most of a second for each read that it makes, as
/// long as a leaf; a strong box reads in some ms, and sends its copy packed.
bool ConfigFollower::leavesReads() const {
  if (m_Of.m_Mirror.running())
    return false;
  const BoxName &Holder = m_Pursuit.source();
  return asksUplink() || (m_Of.m_Fleet.topology().stronger(Holder) &&
                          m_Of.m_Fleet.understands(Holder, PackingProtocol));
}

void ConfigFollower::heard(const BoxName &From, const FleetDigestFrame &Frame,
                           TimePoint Now) {
  const ConfigVersion Known = m_Of.m_State.configVersion();
  const ConfigFetchPolicy::PeerVersions Word{.m_Held = Frame.m_Config,
                                             .m_Known = Frame.m_ConfigKnown};
  if (std::max(Word.m_Held, Word.m_Known) <= Known)
    return;
  if (m_Pursuit.recordReport(From, Word, Now))
    m_Of.m_Log.write("config_told", {{"version", m_Pursuit.newest().m_Version},
                                     {"known", Known},
                                     {"peer", From.str()},
                                     {"held", Word.m_Held},
                                     {"age_ms", m_Hooks.m_Age(Now) / 1ms}});
  pursue(Now);
}

void ConfigFollower::pursue(TimePoint Now) {
  const ConfigVersion Known = m_Of.m_State.configVersion();
  // Who is stronger is looked up in the whole fleet, and seldom matters.
  const bool Behind = m_Pursuit.newest().m_Version > Known;
  const ConfigStep Step =
      m_Pursuit.next({.m_Known = Known,
                      .m_Reading = m_Of.m_Mirror.reading(),
                      .m_Watching = m_Of.m_Mirror.running(),
                      .m_DefersReads = Behind && leavesReads()},
                     Now);
  switch (Step) {
  case ConfigStep::None:
    return;
  case ConfigStep::AskPeer:
    return ask(m_Pursuit.source());
  case ConfigStep::ReadStale:
    return m_Of.m_Mirror.readOnce(ReadKind::Stale);
  case ConfigStep::ReadCurrent:
    return m_Of.m_Mirror.readOnce(ReadKind::Current);
  case ConfigStep::RestartWatch:
    m_Hooks.m_DropConnections();
    return m_Of.m_Mirror.resync();
  }
}

void ConfigFollower::ask(const BoxName &Holder) {
  m_Of.m_Log.write("config_asked", {{"peer", Holder.str()},
                                    {"version", m_Pursuit.newest().m_Version},
                                    {"known", m_Of.m_State.configVersion()},
                                    {"next_ms", m_Pursuit.askPause() / 1ms}});
  m_Hooks.m_Ask(Holder);
}

} // namespace havenstair
