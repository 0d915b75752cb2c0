/// \file
/// The upstreams that may serve one request. See docs/design/regions.md.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_UPSTREAMELIGIBILITY_H
#define HAVENSTAIR_DECISIONS_REQUEST_UPSTREAMELIGIBILITY_H

#include "decisions/common/DataCentreMap.h"
#include "decisions/process/ServingView.h"
#include "decisions/request/AllowedRegions.h"
#include "decisions/request/RequestDescriptor.h"
#include <functional>
#include <optional>
#include <string>

namespace havenstair {

/// Restricts a box's view of the upstreams to the regions, and to the software
/// version, that may serve a request. It is made for one decision and refers to
/// its arguments.
class UpstreamEligibility {
public:
  UpstreamEligibility(const ServingView &View, const DataCentreMap &Map,
                      const AllowedRegions &Regions, const std::string &Service,
                      const RequestDescriptor &Request,
                      const std::optional<SoftwareVersion> &Software)
      : m_View(View), m_Map(Map), m_Regions(Regions), m_Service(Service),
        m_Request(Request), m_Software(Software) {}

  /// Upstreams that can run the request now, without those for which
  /// \p Excluded returns true.
  std::vector<const UpstreamInstance *>
  candidates(const std::function<bool(const InstanceId &)> &Excluded,
             TimePoint Now) const;
  /// Whether any upstream could run the request now, or after loading its
  /// model.
  bool any() const;
  /// When the next load of the request's model is expected to serve; empty when
  /// no load is in progress.
  std::optional<TimePoint> servesAt(TimePoint Now) const;

private:
  bool restricted() const;
  /// Whether \p Id may not serve the request, or is unknown while regions or
  /// versions are restricted.
  bool forbidden(const InstanceId &Id) const;

  const ServingView &m_View;
  const DataCentreMap &m_Map;
  const AllowedRegions &m_Regions;
  const std::string &m_Service;
  const RequestDescriptor &m_Request;
  const std::optional<SoftwareVersion> &m_Software; ///< Empty for any.
};

} // namespace havenstair

#endif
