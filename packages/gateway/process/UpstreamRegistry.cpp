#include "gateway/process/UpstreamRegistry.h"

#include "gateway/common/DecisionLog.h"

namespace havenstair {

UpstreamRegistry::Decoded UpstreamRegistry::decode(const StoreItem &Item) {
  Decoded Result{.m_Revision = Item.m_Revision, .m_Instance = {}};
  try {
    Result.m_Instance = m_Decode(Item.m_Key, Item.m_Value);
    Result.m_Good = true;
  } catch (const DecodeError &Error) {
    m_Log.write("bad_upstream", {{"key", Item.m_Key}, {"why", Error.what()}});
  }
  return Result;
}

/// Both are in the order of their keys; what is the same stays in its place.
void UpstreamRegistry::update(const std::map<std::string, StoreItem> &Items) {
  auto Known = m_Known.begin();
  for (const auto &[Key, Item] : Items) {
    while (Known != m_Known.end() && Known->first < Key)
      Known = m_Known.erase(Known);
    if (Known == m_Known.end() || Known->first != Key)
      Known = m_Known.emplace_hint(Known, Key, decode(Item));
    else if (Known->second.m_Revision != Item.m_Revision)
      Known->second = decode(Item);
    ++Known;
  }
  m_Known.erase(Known, m_Known.end());
}

InstanceList
UpstreamRegistry::read(const std::map<std::string, StoreItem> &Items,
                       StoreRevision Revision, const DataCentreMap &Map) {
  update(Items);
  std::vector<const UpstreamInstance *> Good;
  Good.reserve(m_Known.size());
  for (const auto &[Key, Entry] : m_Known)
    if (Entry.m_Good)
      Good.push_back(&Entry.m_Instance);
  m_Shortlist = Shortlist(Good, Map);
  InstanceList List{.m_Revision = Revision, .m_Instances = {}};
  for (const UpstreamInstance *Each : m_Shortlist.forAll())
    List.m_Instances.emplace(Each->m_Id, *Each);
  return List;
}

} // namespace havenstair
