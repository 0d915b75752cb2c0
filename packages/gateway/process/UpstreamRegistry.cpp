#include "gateway/process/UpstreamRegistry.h"

#include "gateway/common/DecisionLog.h"

namespace havenstair {

namespace {

InstanceList listOf(const UpstreamSubset::Selection &Upstreams,
                    StoreRevision Revision) {
  InstanceList Result{.m_Revision = Revision, .m_Instances = {}};
  for (const UpstreamInstance *Each : Upstreams)
    Result.m_Instances.emplace(Each->m_Id, *Each);
  return Result;
}

} // namespace

UpstreamRegistry::Decoded UpstreamRegistry::decode(const StoreItem &Item) {
  Decoded Result{.m_Revision = Item.m_Revision, .m_Instance = {}};
  try {
    Result.m_Instance = m_Decode(Item.m_Key, Item.m_Value);
    Result.m_Valid = true;
  } catch (const DecodeError &Error) {
    m_Log.write("bad_upstream", {{"key", Item.m_Key}, {"why", Error.what()}});
  }
  return Result;
}

/// Merges two sequences that are sorted by key; entries of an unchanged
/// revision are kept.
void UpstreamRegistry::update(const std::map<std::string, StoreItem> &Items) {
  auto Entry = m_Entries.begin();
  for (const auto &[Key, Item] : Items) {
    while (Entry != m_Entries.end() && Entry->first < Key)
      Entry = m_Entries.erase(Entry);
    if (Entry == m_Entries.end() || Entry->first != Key)
      Entry = m_Entries.emplace_hint(Entry, Key, decode(Item));
    else if (Entry->second.m_Revision != Item.m_Revision)
      Entry->second = decode(Item);
    ++Entry;
  }
  m_Entries.erase(Entry, m_Entries.end());
}

std::vector<const UpstreamInstance *> UpstreamRegistry::validEntries() const {
  std::vector<const UpstreamInstance *> Result;
  Result.reserve(m_Entries.size());
  for (const auto &[Key, Entry] : m_Entries)
    if (Entry.m_Valid)
      Result.push_back(&Entry.m_Instance);
  return Result;
}

InstanceList
UpstreamRegistry::read(const std::map<std::string, StoreItem> &Items,
                       StoreRevision Revision, const DataCentreMap &Map) {
  update(Items);
  m_Subset.emplace(validEntries(), Map);
  return listOf(m_Subset->forAll(), Revision);
}

InstanceList
UpstreamRegistry::readSubset(const std::map<std::string, StoreItem> &Items,
                             StoreRevision Revision) {
  m_Subset.reset();
  update(Items);
  return listOf(validEntries(), Revision);
}

} // namespace havenstair
