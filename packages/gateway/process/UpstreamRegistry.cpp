#include "gateway/process/UpstreamRegistry.h"

#include "gateway/common/DecisionLog.h"

namespace havenstair {

namespace {

InstanceList listOf(const UpstreamSubset::Selection &Of,
                    StoreRevision Revision) {
  InstanceList Result{.m_Revision = Revision, .m_Instances = {}};
  for (const UpstreamInstance *Each : Of)
    Result.m_Instances.emplace(Each->m_Id, *Each);
  return Result;
}

} // namespace

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

std::vector<const UpstreamInstance *> UpstreamRegistry::good() const {
  std::vector<const UpstreamInstance *> Result;
  Result.reserve(m_Known.size());
  for (const auto &[Key, Entry] : m_Known)
    if (Entry.m_Good)
      Result.push_back(&Entry.m_Instance);
  return Result;
}

InstanceList
UpstreamRegistry::read(const std::map<std::string, StoreItem> &Items,
                       StoreRevision Revision, const DataCentreMap &Map) {
  update(Items);
  m_Shortlist = UpstreamSubset(good(), Map);
  return listOf(m_Shortlist.forAll(), Revision);
}

InstanceList
UpstreamRegistry::readShortlist(const std::map<std::string, StoreItem> &Items,
                                StoreRevision Revision) {
  m_Shortlist = UpstreamSubset();
  update(Items);
  return listOf(good(), Revision);
}

} // namespace havenstair
