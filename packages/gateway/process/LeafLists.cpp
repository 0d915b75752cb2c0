#include "gateway/process/LeafLists.h"

#include <utility>

namespace havenstair {

std::map<std::string, StoreRevision>
LeafLists::keys(const Shortlist::Chosen &Of, const PrefixMirror &List) {
  std::map<std::string, StoreRevision> Result;
  for (const UpstreamInstance *Each : Of) {
    const std::string Key = List.prefix() + Each->m_Id;
    Result.emplace(Key, List.items().at(Key).m_Revision);
  }
  return Result;
}

EncodedFrame LeafLists::takeNews(const DataCentreName &DataCentre,
                                 const PrefixMirror &List,
                                 const Shortlist &Of) {
  Told &Before = m_Lists[DataCentre];
  FleetKeysFrame Frame{.m_Prefix = List.prefix(),
                       .m_Since = Before.m_At,
                       .m_Revision = List.revision(),
                       .m_Part = true,
                       .m_Items = {},
                       .m_Gone = {}};
  Told Now{.m_At = List.revision(),
           .m_Keys = keys(Of.forDataCentre(DataCentre), List),
           .m_Whole = std::nullopt};
  for (const auto &[Key, Revision] : Now.m_Keys) {
    const auto Known = Before.m_Keys.find(Key);
    if (Known == Before.m_Keys.end() || Known->second != Revision)
      Frame.m_Items.push_back({.m_Key = Key,
                               .m_Value = List.items().at(Key).m_Value,
                               .m_Revision = Revision});
  }
  for (const auto &[Key, Revision] : Before.m_Keys)
    if (!Now.m_Keys.contains(Key))
      Frame.m_Gone.push_back(Key);
  Before = std::move(Now);
  return EncodedFrame(Frame);
}

const EncodedFrame &LeafLists::whole(const DataCentreName &DataCentre,
                                     const PrefixMirror &List,
                                     const Shortlist &Of) {
  Told &Known = m_Lists[DataCentre];
  if (Known.m_At != List.revision()) {
    m_Lists.erase(DataCentre);
    // All is news to one who knows nothing.
    EncodedFrame All = takeNews(DataCentre, List, Of);
    return m_Lists.at(DataCentre).m_Whole.emplace(std::move(All));
  }
  if (!Known.m_Whole) {
    FleetKeysFrame Frame{.m_Prefix = List.prefix(),
                         .m_Since = 0,
                         .m_Revision = Known.m_At,
                         .m_Part = true,
                         .m_Items = {},
                         .m_Gone = {}};
    for (const auto &[Key, Revision] : Known.m_Keys)
      Frame.m_Items.push_back({.m_Key = Key,
                               .m_Value = List.items().at(Key).m_Value,
                               .m_Revision = Revision});
    Known.m_Whole.emplace(Frame);
  }
  return *Known.m_Whole;
}

} // namespace havenstair
