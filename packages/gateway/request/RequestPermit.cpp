#include "gateway/request/RequestPermit.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// A server that refused is not asked again for the same request before.
constexpr Duration LeastRefused = 50ms;

} // namespace

RequestPermit::RequestPermit(EventLoop &Loop, std::weak_ptr<PermitDesk> Desk,
                             const SendBounds &Bounds,
                             std::function<void()> Resume)
    : m_Loop(Loop), m_Desk(std::move(Desk)), m_Bounds(Bounds),
      m_Resume(std::move(Resume)),
      m_Self(std::make_shared<RequestPermit *>(this)) {}

bool RequestPermit::excludes(const InstanceId &Server, TimePoint Now) const {
  if (m_Held && Now <= m_Held->m_Permit.m_Until)
    return Server != m_Held->m_Server;
  const auto Found = m_Refused.find(Server);
  return Found != m_Refused.end() && Now < Found->second;
}

bool RequestPermit::holds(TimePoint Now) const {
  return m_Held && Now >= m_Held->m_Permit.m_From &&
         Now <= m_Held->m_Permit.m_Until;
}

bool RequestPermit::drop() {
  // An answer that is still on its way is not waited for.
  m_Asked.clear();
  m_Timer = Timer();
  return std::exchange(m_Held, std::nullopt).has_value();
}

std::optional<RequestPermit::Away> RequestPermit::away(TimePoint Now) const {
  std::optional<Away> Soonest;
  for (const auto &[Server, Free] : m_Refused)
    if (Free > Now && (!Soonest || Free - Now < Soonest->m_After))
      Soonest = {.m_After = Free - Now, .m_Limited = m_Bounds.limited(Server)};
  return Soonest;
}

bool RequestPermit::ready(const InstanceId &Server, Duration Patience,
                          TimePoint Now) {
  if (!m_Bounds.needsPermit(Server, Now)) {
    drop();
    return true;
  }
  if (holds(Now) && m_Held->m_Server == Server)
    return true;
  const bool Coming =
      m_Held && m_Held->m_Server == Server && Now < m_Held->m_Permit.m_From;
  // A timer may end some ms before its time.
  if (Coming)
    resumeAfter(m_Held->m_Permit.m_From - Now);
  if (Coming || m_Asked == Server)
    return false;
  drop();
  m_Asked = Server;
  const std::shared_ptr<PermitDesk> Desk = m_Desk.lock();
  if (!Desk) {
    answered(Server, {});
    return false;
  }
  Desk->ask(Server, Patience,
            [Weak = std::weak_ptr(m_Self), Server](const PermitAnswer &Answer) {
              if (const auto Self = Weak.lock())
                (*Self)->answered(Server, Answer);
            });
  if (!holds(Now))
    return false;
  // It was granted at once: there is nothing to resume.
  m_Timer = Timer();
  return true;
}

void RequestPermit::heard(const AnswerFacts &Answer, const InstanceId &Server,
                          TimePoint SentAt) {
  const bool Other = !Answer.m_Instance.empty() && Answer.m_Instance != Server;
  const std::shared_ptr<PermitDesk> Desk = m_Desk.lock();
  if (Desk && Answer.m_ColdFor && !Other)
    Desk->heard(Server, *Answer.m_ColdFor, SentAt);
}

void RequestPermit::answered(const InstanceId &Server,
                             const PermitAnswer &Answer) {
  // The request has gone elsewhere meanwhile.
  if (m_Asked != Server)
    return;
  m_Asked.clear();
  const TimePoint Now = EventLoop::now();
  Duration Wait = 0us;
  if (Answer.m_Permit) {
    m_Held = Held{.m_Server = Server, .m_Permit = *Answer.m_Permit};
    Wait = std::max<Duration>(0us, Answer.m_Permit->m_From - Now);
  } else {
    m_Refused[Server] = std::max(Answer.m_Free, Now + LeastRefused);
  }
  resumeAfter(Wait);
}

void RequestPermit::resumeAfter(Duration Wait) {
  m_Timer = m_Loop.after(Wait, [this] { m_Resume(); });
}

} // namespace havenstair
