#include "decisions/request/FairQueue.h"

#include <algorithm>

namespace havenstair {

FairQueue::FairQueue(Options Opts) : m_Opts(std::move(Opts)) {}

void FairQueue::push(QueuedRequest Request) {
  Flow &Target = m_Flows[Request.m_Group];
  // An idle group starts at the current virtual time; it gets no credit for the
  // time that it did not use.
  if (Target.m_Requests.empty())
    Target.m_NextStart = std::max(Target.m_NextStart, m_VirtualTime);
  Target.m_QueuedCost += Request.m_Cost;
  m_QueuedCost += Request.m_Cost;
  ++m_Size;
  const auto Place = std::find_if(
      Target.m_Requests.begin(), Target.m_Requests.end(),
      [&](const auto &Other) { return Other.m_Priority < Request.m_Priority; });
  Target.m_Requests.insert(Place, std::move(Request));
}

std::optional<QueuedRequest> FairQueue::pop(const Allowed &IsAllowed) {
  Flow *Next = nullptr;
  for (auto &[Group, Candidate] : m_Flows) {
    if (Candidate.m_Requests.empty() || (IsAllowed && !IsAllowed(Group)))
      continue;
    if (Next == nullptr || Candidate.m_NextStart < Next->m_NextStart)
      Next = &Candidate;
  }
  if (Next == nullptr)
    return std::nullopt;
  QueuedRequest Request = std::move(Next->m_Requests.front());
  Next->m_Requests.pop_front();
  m_VirtualTime = std::max(m_VirtualTime, Next->m_NextStart);
  Next->m_NextStart += Request.m_Cost / m_Opts.m_WeightOf(Request.m_Group);
  Next->m_QueuedCost -= Request.m_Cost;
  m_QueuedCost -= Request.m_Cost;
  --m_Size;
  forgetIdleFlows();
  return Request;
}

bool FairQueue::remove(const RequestId &Id) {
  for (auto &[Group, From] : m_Flows) {
    const auto Found =
        std::find_if(From.m_Requests.begin(), From.m_Requests.end(),
                     [&](const auto &Item) { return Item.m_Id == Id; });
    if (Found == From.m_Requests.end())
      continue;
    From.m_QueuedCost -= Found->m_Cost;
    m_QueuedCost -= Found->m_Cost;
    --m_Size;
    From.m_Requests.erase(Found);
    return true;
  }
  return false;
}

void FairQueue::charge(const GroupName &Group, double Cost) {
  Flow &Charged = m_Flows[Group];
  if (Charged.m_Requests.empty())
    Charged.m_NextStart = std::max(Charged.m_NextStart, m_VirtualTime);
  Charged.m_NextStart += Cost / m_Opts.m_WeightOf(Group);
  Charged.m_NextStart =
      std::min(Charged.m_NextStart, m_VirtualTime + m_Opts.m_MaxDebt);
}

double FairQueue::queuedCost(const GroupName &Group) const {
  const auto Found = m_Flows.find(Group);
  return Found == m_Flows.end() ? 0 : Found->second.m_QueuedCost;
}

double FairQueue::shareOf(const GroupName &Group) const {
  const double Own = m_Opts.m_WeightOf(Group);
  double Sum = Own;
  for (const auto &[Other, Flow] : m_Flows)
    if (Other != Group && !Flow.m_Requests.empty())
      Sum += m_Opts.m_WeightOf(Other);
  return Own / Sum;
}

std::vector<QueuedRequest> FairQueue::waiting() const {
  std::vector<QueuedRequest> All;
  All.reserve(m_Size);
  for (const auto &[Group, Flow] : m_Flows)
    All.insert(All.end(), Flow.m_Requests.begin(), Flow.m_Requests.end());
  return All;
}

/// Drops flows without waiting requests and without debt: they have no state.
void FairQueue::forgetIdleFlows() {
  std::erase_if(m_Flows, [&](const auto &Item) {
    return Item.second.m_Requests.empty() &&
           Item.second.m_NextStart <= m_VirtualTime;
  });
}

} // namespace havenstair
