#include "gateway/process/ReachMonitor.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/request/UpstreamCall.h"
#include "wire/common/Json.h"
#include <utility>

namespace havenstair {

ReachMonitor::ReachMonitor(EventLoop &Loop, HttpClient &Client,
                           ServingState &State, DecisionLog &Log, Options Opts,
                           Hooks Callbacks)
    : m_Loop(Loop), m_Client(Client), m_State(State), m_Log(Log), m_Opts(Opts),
      m_Hooks(std::move(Callbacks)) {}

void ReachMonitor::onReached(const UpstreamReach::Call &Call) {
  if (!Call.m_MayBeKept)
    m_Hooks.m_Reached(Call.m_StartedAt);
  // recordReached() empties the set.
  const std::set<InstanceId> Failed = m_State.m_Reach.failed();
  const bool WasPartitioned = m_State.m_Reach.recordReached(Call);
  if (!Failed.empty() && m_State.m_Reach.failed().empty())
    m_Hooks.m_Reachable(WasPartitioned);
  if (!WasPartitioned)
    return;
  const TimePoint Now = EventLoop::now();
  // What failed for want of a way says nothing about the upstreams.
  for (const InstanceId &Each : Failed)
    if (!hasEnded(Each, Now))
      m_State.m_Failures.forget(Each);
  m_Log.write("reconnected", {{"upstream", Call.m_Upstream},
                              {"failed", Failed.size()},
                              {"partitioned_ms", (Now - m_Since) / 1ms}});
  m_Hooks.m_Changed(false);
}

void ReachMonitor::onFailed(const UpstreamReach::Call &Call) {
  const TimePoint Now = EventLoop::now();
  if (hasEnded(Call.m_Upstream, Now))
    return;
  const std::size_t Known = m_State.m_Upstreams.current().size();
  const bool Began = m_State.m_Reach.recordFailed(Call, Known, Now);
  if (Began) {
    m_Since = Now;
    m_Log.write("partitioned", {{"upstream", Call.m_Upstream},
                                {"failed", m_State.m_Reach.failed().size()},
                                {"known", Known},
                                {"after_ms", (Now - Call.m_StartedAt) / 1ms}});
  }
  if (!m_Probing)
    probeLater(0us);
  if (Began)
    m_Hooks.m_Changed(true);
}

bool ReachMonitor::hasEnded(const InstanceId &Id, TimePoint Now) const {
  const UpstreamInstance *Listed = m_State.m_Upstreams.find(Id);
  return Listed != nullptr &&
         m_State.m_Ended.contains(Listed->incarnation(), Now);
}

void ReachMonitor::probeLater(Duration Pause) {
  m_Probing = true;
  m_Timer = m_Loop.after(Pause, [this] { probe(); });
}

void ReachMonitor::probe() {
  const UpstreamInstance *At = nextUpstream();
  m_Probing = At != nullptr && m_State.m_Reach.doubtful(EventLoop::now()) &&
              m_State.m_Config;
  if (!m_Probing)
    return;
  m_Probed = At->m_Id;
  const UpstreamReach::Call Sent{.m_Upstream = At->m_Id,
                                 .m_StartedAt = EventLoop::now()};
  HttpCall Call = healthCall(*At, m_State.m_Config->service(At->m_Service),
                             m_Opts.m_ProbeTimeout);
  Call.m_OnEnd = [this, Sent](HttpEnd End) { onProbeEnd(Sent, End); };
  m_Call = m_Client.start(std::move(Call));
}

void ReachMonitor::onProbeEnd(const UpstreamReach::Call &Call, HttpEnd End) {
  if (received(End))
    onReached(Call);
  else
    onFailed(Call);
  if (m_State.m_Reach.doubtful(EventLoop::now()))
    probeLater(m_State.m_Reach.partitioned() ? m_Opts.m_ProbePause : 0us);
  else
    m_Probing = false;
}

/// \returns an upstream whose connections have not failed yet, else the one
/// after that which was probed last; null if none is known.
const UpstreamInstance *ReachMonitor::nextUpstream() const {
  const auto &Known = m_State.m_Upstreams.current();
  const std::set<InstanceId> &Failed = m_State.m_Reach.failed();
  const TimePoint Now = EventLoop::now();
  const UpstreamInstance *Next = nullptr;
  auto At = Known.upper_bound(m_Probed);
  for (std::size_t Count = 0; Count < Known.size(); ++Count, ++At) {
    if (At == Known.end())
      At = Known.begin();
    if (!Failed.contains(At->first) && !hasEnded(At->first, Now))
      return &At->second;
    if (Next == nullptr)
      Next = &At->second;
  }
  return Next;
}

} // namespace havenstair
