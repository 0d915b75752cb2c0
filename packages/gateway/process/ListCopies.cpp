#include "gateway/process/ListCopies.h"

namespace havenstair {

std::array<WatchCache *, 4> ListCopies::all() const {
  return {&config(), &upstreams(), &boxes(), &evacuations()};
}

WatchCache *ListCopies::withPrefix(const std::string &Prefix) const {
  if (Prefix == evacuations().prefix() && !m_FollowEvacuations)
    return nullptr;
  for (WatchCache *Each : all())
    if (Each->prefix() == Prefix)
      return Each;
  return nullptr;
}

FleetWantFrame ListCopies::makeWantFrame() const {
  return {.m_Config = m_State.configVersion(),
          .m_List =
              needsAllUpstreams() ? StoreRevision() : upstreams().revision(),
          .m_Boxes = boxes().revision(),
          .m_Evacuations = evacuations().revision()};
}

/// Whether this box, a relay that was a leaf, has only the keys that a leaf
/// needs.
bool ListCopies::needsAllUpstreams() const {
  return upstreams().partial() && m_Topology.relay();
}

bool ListCopies::behind(const FleetWantFrame &Newest) const {
  const auto Behind = [](const WatchCache &Cache, StoreRevision Revision) {
    return !Cache.running() && Revision > Cache.revision();
  };
  return Behind(upstreams(), Newest.m_List) ||
         (needsAllUpstreams() && !upstreams().running()) ||
         Behind(boxes(), Newest.m_Boxes) ||
         (m_FollowEvacuations && Behind(evacuations(), Newest.m_Evacuations));
}

} // namespace havenstair
