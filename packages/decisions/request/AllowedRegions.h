/// \file
/// The regions that may serve a request. See docs/design/regions.md.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_ALLOWEDREGIONS_H
#define HAVENSTAIR_DECISIONS_REQUEST_ALLOWEDREGIONS_H

#include "decisions/version/ServingConfig.h"
#include <optional>
#include <set>
#include <string>

namespace havenstair {

/// What route and organisation allow together: both bind where both name
/// regions, and one that names allowsNone allows all.
class AllowedRegions {
public:
  /// All regions.
  AllowedRegions() = default;
  /// \p Caller may be null.
  AllowedRegions(const Route &Of, const Organisation *Caller);

  bool operator==(const AllowedRegions &) const = default;

  /// Whether not all regions are allowed.
  bool restricted() const { return m_Regions.has_value(); }
  /// Whether allowsNone is: route and organisation have no region in common.
  bool allowsNone() const { return restricted() && m_Regions->empty(); }
  /// Where regions are named, a data centre without one is not allowed.
  bool allows(const RegionName &Region) const;
  /// For people: the names, or "all".
  std::string text() const;

private:
  std::optional<std::set<RegionName>> m_Regions;
};

} // namespace havenstair

#endif
