#include "decisions/process/ServingView.h"

#include <utility>

namespace havenstair {

namespace {

/// How long upstreams that left are remembered.
constexpr Duration RememberFor = 60s;

} // namespace

std::vector<InstanceId> ServingView::update(UpstreamList List, TimePoint Now) {
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
  m_List = std::move(List);
  m_Known = true;
  return Gone;
}

const UpstreamInstance *ServingView::find(const InstanceId &Id) const {
  const auto Listed = m_List.m_Instances.find(Id);
  if (Listed != m_List.m_Instances.end())
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
           !Excluded(Each.m_Id);
  };
  std::vector<const UpstreamInstance *> Result;
  for (const auto &[Id, Each] : m_List.m_Instances)
    if (!Each.m_Draining && Fits(Each))
      Result.push_back(&Each);
  if (!Result.empty())
    return Result;
  for (const auto &[Id, Each] : m_Leaving)
    if (Now - Each.m_Since <= m_Opts.m_LastResort && Fits(Each.m_Instance))
      Result.push_back(&Each.m_Instance);
  return Result;
}

std::vector<const UpstreamInstance *>
ServingView::active(const std::string &Service) const {
  std::vector<const UpstreamInstance *> Result;
  for (const auto &[Id, Each] : m_List.m_Instances)
    if (!Each.m_Draining && Each.m_Service == Service)
      Result.push_back(&Each);
  return Result;
}

} // namespace havenstair
