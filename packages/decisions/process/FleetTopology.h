/// \file
/// Decides which boxes of a fleet are linked to each other.
/// See docs/design/fleet.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_FLEETTOPOLOGY_H
#define HAVENSTAIR_DECISIONS_PROCESS_FLEETTOPOLOGY_H

#include "decisions/common/Id.h"
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

/// A box as it describes itself to the others.
struct FleetMember {
  BoxName m_Box;
  DataCentreName m_DataCentre;
  /// Share of a processor core that the box may use.
  double m_Capacity = 1;

  bool operator==(const FleetMember &) const = default;
};

/// A tree of two levels: relays are linked to each other, and every other box
/// (a leaf) is linked to the relays of its data centre and talks to one of
/// them. In a small fleet all boxes are relays. Boxes that know the same
/// members and the same leader compute the same relays.
class FleetTopology {
public:
  struct Options {
    /// Up to this many boxes, all are relays.
    std::size_t m_MaxMeshSize = 16;
    std::size_t m_RelaysPerDataCentre = 3;
  };

  explicit FleetTopology(FleetMember Self)
      : FleetTopology(std::move(Self), Options{}) {}
  FleetTopology(FleetMember Self, Options Opts);

  /// Sets the other boxes that are known now.
  void setMembers(std::vector<FleetMember> Others);
  /// Sets the box that gives orders. It stays a relay while it is listed, so
  /// that a stronger box that joins does not end its leadership. \returns
  /// whether that changes the relays.
  bool setLeader(const BoxName &Leader);

  /// Whether all boxes are relays because the fleet is small.
  bool flat() const { return m_Flat; }
  /// Whether \p Box is a relay.
  bool isRelay(const BoxName &Box) const { return m_Relays.contains(Box); }
  /// Whether this box is a relay.
  bool relay() const { return isRelay(m_Self.m_Box); }
  const std::set<BoxName> &relays() const { return m_Relays; }
  /// The relays of \p DataCentre, or all relays when it has none.
  const std::set<BoxName> &relaysOf(const DataCentreName &DataCentre) const;
  /// Whether \p Box has much more capacity than this box.
  bool stronger(const BoxName &Box) const;
  /// The boxes to link to; for a leaf the most preferred first.
  const std::vector<BoxName> &links() const { return m_Links; }

private:
  void rebuild();
  std::vector<BoxName> leafLinks() const;

  FleetMember m_Self;
  Options m_Opts;
  std::vector<FleetMember> m_Others;
  /// The box that gives orders; empty when it is not known.
  BoxName m_Leader;
  bool m_Flat = true;
  std::set<BoxName> m_Relays;
  std::map<DataCentreName, std::set<BoxName>> m_RelaysOf;
  std::vector<BoxName> m_Links;
};

} // namespace havenstair

#endif
