#include "decisions/process/ServingView.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// How long upstreams that left are remembered.
constexpr Duration RememberFor = 60s;

} // namespace

std::vector<InstanceId> ServingView::update(InstanceList List, TimePoint Now) {
  std::vector<InstanceId> Gone;
  if (m_Known && List.m_Revision < m_List.m_Revision)
    return Gone;
  std::erase_if(m_Leaving, [&](const auto &Each) {
    return Now - Each.second.m_Since > RememberFor;
  });
  for (const auto &[Id, Before] : m_List.m_Instances) {
    if (List.m_Instances.contains(Id))
      continue;
    m_Leaving.try_emplace(Id, Leaving{.m_Instance = Before, .m_Since = Now});
    Gone.push_back(Id);
  }
  for (const auto &[Id, Each] : List.m_Instances) {
    if (Each.m_Draining)
      m_Leaving.try_emplace(Id, Leaving{.m_Instance = Each, .m_Since = Now});
    else
      m_Leaving.erase(Id);
  }
  for (const auto &[Id, Each] : List.m_Instances) {
    const auto Before = m_List.m_Instances.find(Id);
    if (Before == m_List.m_Instances.end() || Before->second != Each)
      m_ListedAt[Id] = Now;
  }
  m_List = std::move(List);
  m_Known = true;
  for (const InstanceId &Id : Gone) {
    m_Told.erase(Id);
    m_Loads.erase(Id);
    m_ListedAt.erase(Id);
  }
  m_Current.clear();
  for (const auto &[Id, Each] : m_List.m_Instances)
    refresh(Id, Now);
  return Gone;
}

void ServingView::refresh(const InstanceId &Id, TimePoint Now) {
  const auto Listed = m_List.m_Instances.find(Id);
  if (Listed == m_List.m_Instances.end())
    return;
  UpstreamInstance &Current = m_Current[Id] = Listed->second;
  const auto Word = m_Told.find(Id);
  if (Word == m_Told.end())
    return;
  const TimePoint At = Word->second.m_At;
  if (Now - At <= m_Opts.m_WordFresh || At >= m_ListedAt[Id])
    Current.m_Models = Word->second.m_Models;
}

void ServingView::told(const InstanceId &Engine,
                       std::vector<ResidentModel> Models,
                       std::set<std::string> Retiring, TimePoint Now) {
  m_Told[Engine] = {.m_Models = std::move(Models),
                    .m_Retiring = std::move(Retiring),
                    .m_At = Now};
  refresh(Engine, Now);
}

void ServingView::toldLoad(const InstanceId &Engine, const std::string &Model,
                           TimePoint ServesAt) {
  if (Model.empty())
    m_Loads.erase(Engine);
  else
    m_Loads[Engine] = {.m_Model = Model, .m_ServesAt = ServesAt};
}

bool ServingView::anyOf(
    const std::string &Service,
    const std::function<bool(const InstanceId &)> &Excluded) const {
  return std::any_of(m_Current.begin(), m_Current.end(), [&](const auto &Each) {
    return Each.second.m_Service == Service && !Each.second.m_Draining &&
           !Excluded(Each.first);
  });
}

std::optional<TimePoint>
ServingView::servesAt(const std::string &Service, const std::string &Model,
                      const std::function<bool(const InstanceId &)> &Excluded,
                      TimePoint Now) const {
  std::optional<TimePoint> Soonest;
  for (const auto &[Id, Each] : m_Loads) {
    if (Each.m_Model != Model || Now - Each.m_ServesAt > m_Opts.m_LoadOverdue)
      continue;
    const auto Engine = m_Current.find(Id);
    if (Engine == m_Current.end() || Engine->second.m_Draining ||
        Engine->second.m_Service != Service ||
        Engine->second.holds(Model, "") || Excluded(Id))
      continue;
    Soonest = std::min(Soonest.value_or(Each.m_ServesAt), Each.m_ServesAt);
  }
  return Soonest;
}

bool ServingView::retiring(const InstanceId &Id, const std::string &Model,
                           TimePoint Now) const {
  const auto Found = m_Told.find(Id);
  return Found != m_Told.end() && Found->second.m_Retiring.contains(Model) &&
         Now - Found->second.m_At <= m_Opts.m_RetiringHolds;
}

const UpstreamInstance *ServingView::find(const InstanceId &Id) const {
  const auto Listed = m_Current.find(Id);
  if (Listed != m_Current.end())
    return &Listed->second;
  const auto Left = m_Leaving.find(Id);
  return Left == m_Leaving.end() ? nullptr : &Left->second.m_Instance;
}

std::vector<const UpstreamInstance *>
ServingView::candidates(const std::string &Service, const std::string &Model,
                        const std::string &Adapter,
                        const std::function<bool(const InstanceId &)> &Excluded,
                        TimePoint Now) const {
  const auto Fits = [&](const UpstreamInstance &Each) {
    return Each.m_Service == Service &&
           (Model.empty() || Each.holds(Model, Adapter)) &&
           !retiring(Each.m_Id, Model, Now) && !Excluded(Each.m_Id);
  };
  std::vector<const UpstreamInstance *> Result;
  for (const auto &[Id, Each] : m_Current)
    if (!Each.m_Draining && Fits(Each))
      Result.push_back(&Each);
  if (!Result.empty())
    return Result;
  for (const auto &[Id, Each] : m_Leaving)
    if (Now - Each.m_Since <= m_Opts.m_LastResort && Fits(Each.m_Instance))
      Result.push_back(&Each.m_Instance);
  return Result;
}

} // namespace havenstair
