#include "gateway/request/RequestPermit.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// Minimum time before an upstream that was refused is asked for again by the
/// same request.
constexpr Duration MinRefusal = 50ms;

} // namespace

RequestPermit::RequestPermit(EventLoop &Loop,
                             std::weak_ptr<PermitService> Service,
                             const SendBounds &Bounds,
                             std::function<void()> Resume)
    : m_Loop(Loop), m_Service(std::move(Service)), m_Bounds(Bounds),
      m_Resume(std::move(Resume)),
      m_Self(std::make_shared<RequestPermit *>(this)) {}

bool RequestPermit::excludes(const InstanceId &Upstream, TimePoint Now) const {
  if (m_Held && Now <= m_Held->m_Permit.m_Until)
    return Upstream != m_Held->m_Upstream;
  const auto Found = m_RefusedUntil.find(Upstream);
  return Found != m_RefusedUntil.end() && Now < Found->second;
}

bool RequestPermit::hasValidPermit(TimePoint Now) const {
  return m_Held && Now >= m_Held->m_Permit.m_From &&
         Now <= m_Held->m_Permit.m_Until;
}

bool RequestPermit::drop() {
  // An outstanding answer is ignored from now on.
  m_PendingUpstream.clear();
  m_Timer = Timer();
  return std::exchange(m_Held, std::nullopt).has_value();
}

std::optional<RequestPermit::Deferral>
RequestPermit::deferral(TimePoint Now) const {
  std::optional<Deferral> Soonest;
  for (const auto &[Upstream, Free] : m_RefusedUntil)
    if (Free > Now && (!Soonest || Free - Now < Soonest->m_After))
      Soonest = {.m_After = Free - Now, .m_Kind = m_Bounds.kind(Upstream)};
  return Soonest;
}

bool RequestPermit::ready(const InstanceId &Upstream, Duration Patience,
                          TimePoint Now) {
  if (!m_Bounds.needsPermit(Upstream, Now)) {
    drop();
    return true;
  }
  if (hasValidPermit(Now) && m_Held->m_Upstream == Upstream)
    return true;
  const bool BeginsLater =
      m_Held && m_Held->m_Upstream == Upstream && Now < m_Held->m_Permit.m_From;
  // A timer may expire some milliseconds early.
  if (BeginsLater)
    resumeAfter(m_Held->m_Permit.m_From - Now);
  if (BeginsLater || m_PendingUpstream == Upstream)
    return false;
  drop();
  m_PendingUpstream = Upstream;
  const std::shared_ptr<PermitService> Service = m_Service.lock();
  if (!Service) {
    onAnswer(Upstream, {});
    return false;
  }
  Service->ask(
      Upstream, Patience,
      [Weak = std::weak_ptr(m_Self), Upstream](const PermitAnswer &Answer) {
        if (const auto Self = Weak.lock())
          (*Self)->onAnswer(Upstream, Answer);
      });
  if (!hasValidPermit(Now))
    return false;
  // The permit was granted during the call, so there is nothing to resume.
  m_Timer = Timer();
  return true;
}

void RequestPermit::reportCold(const AnswerFacts &Answer,
                               const InstanceId &Upstream, TimePoint SentAt) {
  const bool FromOther =
      !Answer.m_Instance.empty() && Answer.m_Instance != Upstream;
  const std::shared_ptr<PermitService> Service = m_Service.lock();
  if (Service && Answer.m_ColdFor && !FromOther)
    Service->reportCold(Upstream, *Answer.m_ColdFor, SentAt);
}

void RequestPermit::reportEnd(const InstanceId &Upstream, bool Refused) {
  if (const std::shared_ptr<PermitService> Service = m_Service.lock())
    Service->reportEnd(Upstream, Refused);
}

void RequestPermit::onAnswer(const InstanceId &Upstream,
                             const PermitAnswer &Answer) {
  // The request has turned to another upstream meanwhile.
  if (m_PendingUpstream != Upstream)
    return;
  m_PendingUpstream.clear();
  const TimePoint Now = EventLoop::now();
  Duration Wait = 0us;
  if (Answer.m_Permit) {
    m_Held = Held{.m_Upstream = Upstream, .m_Permit = *Answer.m_Permit};
    Wait = std::max<Duration>(0us, Answer.m_Permit->m_From - Now);
  } else {
    m_RefusedUntil[Upstream] = std::max(Answer.m_RetryAt, Now + MinRefusal);
  }
  resumeAfter(Wait);
}

void RequestPermit::resumeAfter(Duration Wait) {
  m_Timer = m_Loop.after(Wait, [this] { m_Resume(); });
}

} // namespace havenstair
