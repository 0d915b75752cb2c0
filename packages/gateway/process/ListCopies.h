/// \file
/// This box's copies of the store's lists.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LISTCOPIES_H
#define HAVENSTAIR_GATEWAY_PROCESS_LISTCOPIES_H

#include "decisions/process/FleetTopology.h"
#include "gateway/process/ServingState.h"
#include "gateway/process/WatchCache.h"
#include "wire/connection/FleetFrames.h"
#include <array>
#include <string>

namespace havenstair {

/// The copies of the lists, and how far they are behind those of another box.
/// All references must outlive this object.
class ListCopies {
public:
  struct Caches {
    WatchCache &m_Config;
    WatchCache &m_Upstreams;
    WatchCache &m_Boxes;
    WatchCache &m_Evacuations;
  };

  ListCopies(Caches All, const ServingState &State,
             const FleetTopology &Topology)
      : m_Caches(All), m_State(State), m_Topology(Topology) {}
  ListCopies(const ListCopies &) = delete;
  ListCopies &operator=(const ListCopies &) = delete;

  WatchCache &config() const { return m_Caches.m_Config; }
  WatchCache &upstreams() const { return m_Caches.m_Upstreams; }
  WatchCache &boxes() const { return m_Caches.m_Boxes; }
  WatchCache &evacuations() const { return m_Caches.m_Evacuations; }
  std::array<WatchCache *, 4> all() const;
  /// The copy of a prefix; null when this box does not follow that list.
  WatchCache *withPrefix(const std::string &Prefix) const;

  /// Sets whether operators may evacuate data centres.
  void followEvacuations(bool Follow) { m_FollowEvacuations = Follow; }
  bool followsEvacuations() const { return m_FollowEvacuations; }

  /// A request for everything that is newer than these copies.
  FleetWantFrame makeWantFrame() const;
  /// Whether \p Newest has changes of lists that this box does not read itself.
  bool behind(const FleetWantFrame &Newest) const;

private:
  bool needsAllUpstreams() const;

  Caches m_Caches;
  const ServingState &m_State;
  const FleetTopology &m_Topology;
  bool m_FollowEvacuations = false;
};

} // namespace havenstair

#endif
