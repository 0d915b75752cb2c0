#include "decisions/request/AllowedRegions.h"

#include <algorithm>
#include <iterator>

namespace havenstair {

AllowedRegions::AllowedRegions(const Route &MatchedRoute,
                               const Organisation *Caller) {
  const std::set<RegionName> &ByRoute = MatchedRoute.m_AllowedRegions;
  if (!ByRoute.empty())
    m_Regions = ByRoute;
  if (Caller == nullptr || Caller->m_AllowedRegions.empty())
    return;
  const std::set<RegionName> &ByCaller = Caller->m_AllowedRegions;
  if (!m_Regions) {
    m_Regions = ByCaller;
    return;
  }
  std::set<RegionName> Common;
  std::set_intersection(ByRoute.begin(), ByRoute.end(), ByCaller.begin(),
                        ByCaller.end(), std::inserter(Common, Common.end()));
  m_Regions = std::move(Common);
}

bool AllowedRegions::allows(const RegionName &Region) const {
  return !restricted() || (!Region.empty() && m_Regions->contains(Region));
}

std::string AllowedRegions::text() const {
  if (!restricted())
    return "all";
  std::string Text;
  for (const RegionName &Region : *m_Regions)
    Text += (Text.empty() ? "" : ",") + Region.str();
  return Text.empty() ? "none in common" : Text;
}

} // namespace havenstair
