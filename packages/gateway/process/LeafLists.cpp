#include "gateway/process/LeafLists.h"

#include "gateway/process/ListFollower.h"
#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// A leaf goes through all that it knows at each change: with this rest that
/// takes a small part of its processor, however much it knows.
constexpr Duration RestForEntry = 1ms;

} // namespace

LeafLists::Keys LeafLists::keys(const UpstreamSubset::Selection &Of,
                                const PrefixMirror &List) {
  Keys Result;
  for (const UpstreamInstance *Each : Of) {
    const std::string Name = List.prefix() + Each->m_Id;
    Result.emplace(Name, Key{.m_Revision = List.items().at(Name).m_Revision,
                             .m_Draining = Each->m_Draining});
  }
  return Result;
}

/// Whether an upstream that is known has left or begins to.
bool LeafLists::urgent(const Keys &Before, const Keys &Now,
                       const PrefixMirror &List) {
  return std::any_of(Before.begin(), Before.end(), [&](const auto &Each) {
    const auto Known = Now.find(Each.first);
    return Known == Now.end()
               ? !List.items().contains(Each.first)
               : Known->second.m_Draining && !Each.second.m_Draining;
  });
}

EncodedFrame LeafLists::take(Told &Of, Keys Now, const PrefixMirror &List,
                             TimePoint When) {
  PrefixMirror::Delta News{.m_Since = Of.m_At,
                           .m_Revision = List.revision(),
                           .m_Part = true,
                           .m_Items = {},
                           .m_Gone = {}};
  for (const auto &[Name, Each] : Now) {
    const auto Known = Of.m_Keys.find(Name);
    if (Known == Of.m_Keys.end() || Known->second.m_Revision != Each.m_Revision)
      News.m_Items.push_back(List.items().at(Name));
  }
  for (const auto &[Name, Each] : Of.m_Keys)
    if (!Now.contains(Name))
      News.m_Gone.push_back(Name);
  Of = {.m_At = List.revision(),
        .m_When = When,
        .m_Keys = std::move(Now),
        .m_Whole = std::nullopt};
  return EncodedFrame(ListFollower::keysFrame(List, News));
}

std::optional<EncodedFrame>
LeafLists::takeNews(const DataCentreName &DataCentre, const PrefixMirror &List,
                    const UpstreamSubset &Of, TimePoint Now, bool AtOnce) {
  const auto Found = m_Lists.find(DataCentre);
  if (Found == m_Lists.end() || Found->second.m_At == List.revision())
    return std::nullopt;
  Told &Known = Found->second;
  Keys Next = keys(Of.forDataCentre(DataCentre), List);
  const auto Entries = static_cast<Duration::rep>(Next.size());
  const bool Rested = Now - Known.m_When >= Entries * RestForEntry;
  if (!AtOnce && !Rested && !urgent(Known.m_Keys, Next, List))
    return std::nullopt;
  return take(Known, std::move(Next), List, Now);
}

const EncodedFrame &LeafLists::whole(const DataCentreName &DataCentre,
                                     const PrefixMirror &List,
                                     const UpstreamSubset &Of, TimePoint Now) {
  Told &Known = m_Lists[DataCentre];
  if (!Known.m_Whole) {
    // All is news to one who knows nothing.
    Known = Told();
    EncodedFrame All =
        take(Known, keys(Of.forDataCentre(DataCentre), List), List, Now);
    Known.m_Whole.emplace(std::move(All));
  }
  return *Known.m_Whole;
}

std::optional<StoreRevision>
LeafLists::toldAt(const DataCentreName &DataCentre) const {
  const auto Found = m_Lists.find(DataCentre);
  return Found == m_Lists.end() ? std::nullopt
                                : std::optional(Found->second.m_At);
}

} // namespace havenstair
