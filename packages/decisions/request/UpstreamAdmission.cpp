#include "decisions/request/UpstreamAdmission.h"

#include <algorithm>
#include <cmath>

namespace havenstair {

namespace {

/// Weight of the newest sample in the mean service time.
constexpr double ServiceTimeGain = 0.1;
constexpr Duration MinRetryAfter = 100ms;
/// Only a group that runs more than this many times its share leaves slots
/// free. With 1, groups that differ by chance delayed each other too:
/// attainment of targets under a moving burst was 2 points lower.
constexpr int ShareMultiple = 2;

} // namespace

UpstreamAdmission::UpstreamAdmission(Options Opts)
    : m_Opts(std::move(Opts)), m_Queue({.m_WeightOf = m_Opts.m_WeightOf}),
      m_MeanService(m_Opts.m_InitialServiceTime) {}

AdmissionActions UpstreamAdmission::offer(QueuedRequest Request,
                                          TimePoint Now) {
  AdmissionActions Actions;
  m_LastSeen[Request.m_Group] = Now;
  if (m_Queue.empty() && mayStart(Request.m_Group, Now)) {
    // The cost counts for the groups' shares on an idle upstream too.
    m_Queue.push(Request);
    m_Queue.pop();
    start(Request, Now, Actions);
    return Actions;
  }
  const Duration Wait = expectedWait(Request.m_Group);
  const bool Full = static_cast<int>(m_Queue.size()) >= m_Opts.m_MaxWaiting;
  if (Full || Now + Wait > Request.m_Deadline) {
    Actions.push_back(refuse(Request, ErrorKind::Overloaded, Now));
    return Actions;
  }
  m_Arrived[Request.m_Id] = Now;
  ++m_WaitingOf[Request.m_Group];
  m_Queue.push(std::move(Request));
  startWaiting(Now, Actions);
  return Actions;
}

void UpstreamAdmission::start(const QueuedRequest &Request, TimePoint Now,
                              AdmissionActions &Actions) {
  Duration Waited = 0us;
  if (const auto Found = m_Arrived.find(Request.m_Id);
      Found != m_Arrived.end()) {
    Waited = Now - Found->second;
    m_Arrived.erase(Found);
    --m_WaitingOf[Request.m_Group];
  }
  ++m_RunningOf[Request.m_Group];
  m_Running[Request.m_Id] = {.m_Group = Request.m_Group,
                             .m_Estimate = Request.m_Cost,
                             .m_Started = Now};
  Actions.push_back(StartRequest{Request.m_Id, Waited});
}

void UpstreamAdmission::startWaiting(TimePoint Now, AdmissionActions &Actions) {
  const auto Allowed = [&](const GroupName &Group) {
    return mayStart(Group, Now);
  };
  while (const std::optional<QueuedRequest> Next = m_Queue.pop(Allowed))
    start(*Next, Now, Actions);
}

/// Reserves the last slots for groups below their share, so that they need not
/// wait for the end of a long answer of another group when they return.
bool UpstreamAdmission::mayStart(const GroupName &Group, TimePoint Now) const {
  const int Free = m_Opts.m_Slots - static_cast<int>(m_Running.size());
  if (Free <= 0)
    return false;
  const bool Reserving = m_Opts.m_Slots >= m_Opts.m_MinSlotsToReserve;
  if (!Reserving || Free > m_Opts.m_ReservedSlots)
    return true;
  if (!aboveShare(Group, runningOf(Group) / ShareMultiple + 1, Now))
    return true;
  return std::none_of(m_LastSeen.begin(), m_LastSeen.end(),
                      [&](const auto &Item) {
                        const GroupName &Other = Item.first;
                        return Other != Group && active(Other, Now) &&
                               !aboveShare(Other, runningOf(Other) + 1, Now);
                      });
}

bool UpstreamAdmission::active(const GroupName &Group, TimePoint Now) const {
  const auto Found = m_LastSeen.find(Group);
  return runningOf(Group) > 0 || (Found != m_LastSeen.end() &&
                                  Now - Found->second < m_Opts.m_ActiveFor);
}

/// Whether \p Running requests are more than the group's share of the slots, by
/// weight among the active groups. One request never is.
bool UpstreamAdmission::aboveShare(const GroupName &Group, int Running,
                                   TimePoint Now) const {
  const double Own = m_Opts.m_WeightOf(Group);
  double Sum = Own;
  for (const auto &[Other, Seen] : m_LastSeen)
    if (Other != Group && active(Other, Now))
      Sum += m_Opts.m_WeightOf(Other);
  return Running > std::max(1.0, Own / Sum * m_Opts.m_Slots);
}

int UpstreamAdmission::runningOf(const GroupName &Group) const {
  const auto Found = m_RunningOf.find(Group);
  return Found == m_RunningOf.end() ? 0 : Found->second;
}

AdmissionActions UpstreamAdmission::finished(const RequestId &Id, double Cost,
                                             TimePoint Now) {
  AdmissionActions Actions;
  const auto Found = m_Running.find(Id);
  if (Found == m_Running.end())
    return Actions;
  const Running Ended = Found->second;
  m_Running.erase(Found);
  --m_RunningOf[Ended.m_Group];
  const Duration Took = Now - Ended.m_Started;
  const double Step =
      ServiceTimeGain * static_cast<double>((Took - m_MeanService).count());
  m_MeanService += Duration(static_cast<Duration::rep>(Step));
  m_Queue.charge(Ended.m_Group, Cost - Ended.m_Estimate);
  m_Served[Ended.m_Group] += Cost;
  startWaiting(Now, Actions);
  return Actions;
}

AdmissionActions UpstreamAdmission::cancelled(const RequestId &Id,
                                              TimePoint Now) {
  if (const auto Found = m_Running.find(Id); Found != m_Running.end())
    return finished(Id, Found->second.m_Estimate, Now);
  for (const QueuedRequest &Request : m_Queue.waiting())
    if (Request.m_Id == Id)
      --m_WaitingOf[Request.m_Group];
  m_Queue.remove(Id);
  m_Arrived.erase(Id);
  return {};
}

AdmissionActions UpstreamAdmission::sweep(TimePoint Now) {
  AdmissionActions Actions;
  std::erase_if(m_LastSeen,
                [&](const auto &Item) { return !active(Item.first, Now); });
  std::map<GroupName, int> Ahead;
  for (const QueuedRequest &Request : m_Queue.waiting()) {
    int &AheadOfGroup = Ahead[Request.m_Group];
    if (Now + waitBehind(Request.m_Group, AheadOfGroup) <= Request.m_Deadline) {
      ++AheadOfGroup;
      continue;
    }
    const ErrorKind Kind = Now > Request.m_Deadline ? ErrorKind::DeadlinePassed
                                                    : ErrorKind::Overloaded;
    m_Queue.remove(Request.m_Id);
    m_Arrived.erase(Request.m_Id);
    --m_WaitingOf[Request.m_Group];
    Actions.push_back(refuse(Request, Kind, Now));
  }
  return Actions;
}

void UpstreamAdmission::chargeElsewhere(const GroupName &Group, double Cost) {
  m_Queue.charge(Group, Cost);
}

std::map<GroupName, double> UpstreamAdmission::takeServed() {
  return std::exchange(m_Served, {});
}

UpstreamLoad UpstreamAdmission::load(TimePoint Now) const {
  return {.m_Running = static_cast<int>(m_Running.size()),
          .m_Waiting = static_cast<int>(m_Queue.size()),
          .m_Slots = m_Opts.m_Slots,
          .m_Refused = static_cast<int>(refusedLoad(Now))};
}

Duration UpstreamAdmission::expectedWait(const GroupName &Group) const {
  const auto Found = m_WaitingOf.find(Group);
  return waitBehind(Group, Found == m_WaitingOf.end() ? 0 : Found->second);
}

/// With S slots and mean service time T, a slot becomes free every T/S, and the
/// group gets its share of them. The wait is never longer than behind the whole
/// queue.
Duration UpstreamAdmission::waitBehind(const GroupName &Group,
                                       int Ahead) const {
  const double PerSlot =
      static_cast<double>(m_MeanService.count()) / m_Opts.m_Slots;
  const double ByShare = (Ahead + 1) / m_Queue.shareOf(Group);
  const double WholeQueue = static_cast<double>(m_Queue.size() + 1);
  const double SlotsNeeded = std::min(ByShare, WholeQueue);
  return Duration(static_cast<Duration::rep>(SlotsNeeded * PerSlot));
}

RefuseRequest UpstreamAdmission::refuse(const QueuedRequest &Request,
                                        ErrorKind Kind, TimePoint Now) {
  m_RefusedLoad = refusedLoad(Now) + 1;
  m_RefusedAt = Now;
  return {
      Request.m_Id,
      {.m_Kind = Kind,
       .m_RetryAfter = std::max(expectedWait(Request.m_Group), MinRetryAfter),
       .m_Detail = {}}};
}

/// By Little's law, a refused request counts for about the mean service time,
/// for which it would have run.
double UpstreamAdmission::refusedLoad(TimePoint Now) const {
  const auto Since = static_cast<double>((Now - m_RefusedAt).count());
  const auto Mean =
      static_cast<double>(std::max<Duration>(m_MeanService, 1us).count());
  return m_RefusedLoad * std::exp(-Since / Mean);
}

} // namespace havenstair
