/// \file
/// The upstreams that may take one request. See docs/design/regions.md.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_UPSTREAMELIGIBILITY_H
#define HAVENSTAIR_DECISIONS_REQUEST_UPSTREAMELIGIBILITY_H

#include "decisions/common/DataCentreMap.h"
#include "decisions/process/ServingView.h"
#include "decisions/request/AllowedRegions.h"
#include "decisions/request/RequestDescriptor.h"
#include <functional>
#include <string>

namespace havenstair {

/// What a box knows of the upstreams, as far as the request's regions go. Made
/// for one decision; refers to what it is made from.
class UpstreamEligibility {
public:
  UpstreamEligibility(const ServingView &View, const DataCentreMap &Map,
                      const AllowedRegions &Regions, const std::string &Service,
                      const RequestDescriptor &Request)
      : m_View(View), m_Map(Map), m_Regions(Regions), m_Service(Service),
        m_Request(Request) {}

  /// Upstreams that can run it now, but for those that \p Excluded names.
  std::vector<const UpstreamInstance *>
  candidates(const std::function<bool(const InstanceId &)> &Excluded,
             TimePoint Now) const;
  /// Whether any could run it now, or after a load.
  bool any() const;
  /// When the next load of its model is expected to serve; none when none is
  /// under way.
  std::optional<TimePoint> servesAt(TimePoint Now) const;

private:
  /// Whether \p Id is in a region that may not serve the request.
  bool inForbiddenRegion(const InstanceId &Id) const;

  const ServingView &m_View;
  const DataCentreMap &m_Map;
  const AllowedRegions &m_Regions;
  const std::string &m_Service;
  const RequestDescriptor &m_Request;
};

} // namespace havenstair

#endif
