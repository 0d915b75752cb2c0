#include "decisions/request/UpstreamEligibility.h"

namespace havenstair {

bool UpstreamEligibility::restricted() const {
  return m_Regions.restricted() || m_Software;
}

bool UpstreamEligibility::forbidden(const InstanceId &Id) const {
  if (!restricted())
    return false;
  const UpstreamInstance *Upstream = m_View.find(Id);
  if (Upstream == nullptr ||
      (m_Software && Upstream->m_Software != *m_Software))
    return true;
  return m_Regions.restricted() &&
         !m_Regions.allows(m_Map.regionOf(DataCentreName(Upstream->m_Zone)));
}

std::vector<const UpstreamInstance *> UpstreamEligibility::candidates(
    const std::function<bool(const InstanceId &)> &Excluded,
    TimePoint Now) const {
  return m_View.candidates(
      m_Service, m_Request.m_Model, m_Request.m_Adapter,
      [&](const InstanceId &Id) { return Excluded(Id) || forbidden(Id); }, Now);
}

bool UpstreamEligibility::any() const {
  return !restricted() ||
         m_View.anyAvailable(
             m_Service, [&](const InstanceId &Id) { return forbidden(Id); });
}

std::optional<TimePoint> UpstreamEligibility::servesAt(TimePoint Now) const {
  return m_View.servesAt(
      m_Service, m_Request.m_Model,
      [&](const InstanceId &Id) { return forbidden(Id); }, Now);
}

} // namespace havenstair
