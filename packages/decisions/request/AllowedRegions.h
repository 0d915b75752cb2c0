/// \file
/// The regions that may serve a request. See docs/design/regions.md.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_ALLOWEDREGIONS_H
#define HAVENSTAIR_DECISIONS_REQUEST_ALLOWEDREGIONS_H

#include "decisions/version/ServingConfig.h"
#include <optional>
#include <set>
#include <string>

namespace havenstair {

/// The intersection of the regions that the route and the organisation of a
/// request allow. A route or organisation that names no region allows all.
class AllowedRegions {
public:
  /// Allows all regions.
  AllowedRegions() = default;
  /// \p Caller is null for a request without an organisation; then only the
  /// route restricts.
  AllowedRegions(const Route &MatchedRoute, const Organisation *Caller);

  bool operator==(const AllowedRegions &) const = default;

  /// Whether the route or the organisation names regions.
  bool restricted() const { return m_Regions.has_value(); }
  /// Whether no region is allowed: the route and the organisation have none in
  /// common.
  bool allowsNone() const { return restricted() && m_Regions->empty(); }
  /// Whether an upstream in \p Region may serve the request. An empty
  /// \p Region, that of a data centre without one, is allowed only where no
  /// regions are named.
  bool allows(const RegionName &Region) const;
  /// The names for logs and error details, separated by commas; "all" without
  /// a restriction.
  std::string text() const;

private:
  std::optional<std::set<RegionName>> m_Regions; ///< Empty allows all.
};

} // namespace havenstair

#endif
