#include "decisions/request/RequestReach.h"

namespace havenstair {

bool RequestReach::elsewhere(const InstanceId &Id) const {
  if (!m_Regions.bound())
    return false;
  const UpstreamInstance *At = m_View.find(Id);
  return At == nullptr ||
         !m_Regions.allows(m_Map.regionOf(DataCentreName(At->m_Zone)));
}

std::vector<const UpstreamInstance *> RequestReach::candidates(
    const std::function<bool(const InstanceId &)> &Excluded,
    TimePoint Now) const {
  return m_View.candidates(
      m_Service, m_Request.m_Model, m_Request.m_Adapter,
      [&](const InstanceId &Id) { return Excluded(Id) || elsewhere(Id); }, Now);
}

bool RequestReach::any() const {
  return !m_Regions.bound() ||
         m_View.anyAvailable(
             m_Service, [&](const InstanceId &Id) { return elsewhere(Id); });
}

std::optional<TimePoint> RequestReach::servesAt(TimePoint Now) const {
  return m_View.servesAt(
      m_Service, m_Request.m_Model,
      [&](const InstanceId &Id) { return elsewhere(Id); }, Now);
}

} // namespace havenstair
