#include "gateway/process/LeafSubsets.h"

#include "gateway/process/ListFingerprint.h"
#include "gateway/process/ListFrames.h"
#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// A leaf processes all entries that it knows at each change: with this pause
/// per entry that takes a small part of its processor, however many entries it
/// knows.
constexpr Duration PausePerEntry = 1ms;

} // namespace

LeafSubsets::Keys LeafSubsets::keys(const UpstreamSubset::Selection &Upstreams,
                                    const WatchCache &List) {
  Keys Result;
  for (const UpstreamInstance *Each : Upstreams) {
    const std::string Name = List.prefix() + Each->m_Id;
    Result.emplace(Name, Key{.m_Revision = List.items().at(Name).m_Revision,
                             .m_Draining = Each->m_Draining});
  }
  return Result;
}

/// Whether an upstream that the leaves know has left the list or begins to
/// drain.
bool LeafSubsets::urgent(const Keys &Before, const Keys &Now,
                         const WatchCache &List) {
  return std::any_of(Before.begin(), Before.end(), [&](const auto &Each) {
    const auto Match = Now.find(Each.first);
    return Match == Now.end()
               ? !List.items().contains(Each.first)
               : Match->second.m_Draining && !Each.second.m_Draining;
  });
}

EncodedFrame LeafSubsets::encodeDelta(SentState &State, Keys Now,
                                      const WatchCache &List, TimePoint When) {
  WatchCache::Delta Update{.m_Since = State.m_Revision,
                           .m_Revision = List.revision(),
                           .m_Part = true,
                           .m_Items = {},
                           .m_Gone = {}};
  ListFingerprint Fingerprint;
  for (const auto &[Name, Each] : Now) {
    Fingerprint.add(Name, Each.m_Revision);
    const auto Sent = State.m_Keys.find(Name);
    if (Sent == State.m_Keys.end() ||
        Sent->second.m_Revision != Each.m_Revision)
      Update.m_Items.push_back(List.items().at(Name));
  }
  for (const auto &[Name, Each] : State.m_Keys)
    if (!Now.contains(Name))
      Update.m_Gone.push_back(Name);
  State = {.m_Revision = List.revision(),
           .m_SentAt = When,
           .m_Keys = std::move(Now),
           .m_Fingerprint = Fingerprint.value(),
           .m_Snapshot = std::nullopt};
  return EncodedFrame(keysFrame(List, Update));
}

std::optional<EncodedFrame>
LeafSubsets::takeUpdate(const DataCentreName &DataCentre,
                        const WatchCache &List, const UpstreamSubset &Subset,
                        TimePoint Now, bool AtOnce) {
  const auto Entry = m_Lists.find(DataCentre);
  if (Entry == m_Lists.end() || Entry->second.m_Revision == List.revision())
    return std::nullopt;
  SentState &State = Entry->second;
  // Leaves of another relay may know more of the last era.
  if (State.m_Revision.m_Era != List.revision().m_Era)
    State = SentState();
  Keys Next = keys(Subset.forDataCentre(DataCentre), List);
  const auto Entries = static_cast<Duration::rep>(Next.size());
  const bool Rested = Now - State.m_SentAt >= Entries * PausePerEntry;
  if (!AtOnce && !Rested && !urgent(State.m_Keys, Next, List))
    return std::nullopt;
  return encodeDelta(State, std::move(Next), List, Now);
}

const EncodedFrame &LeafSubsets::snapshot(const DataCentreName &DataCentre,
                                          const WatchCache &List,
                                          const UpstreamSubset &Subset,
                                          TimePoint Now) {
  SentState &State = m_Lists[DataCentre];
  if (!State.m_Snapshot) {
    // Starting from an empty state, every key is a change.
    State = SentState();
    EncodedFrame All = encodeDelta(
        State, keys(Subset.forDataCentre(DataCentre), List), List, Now);
    State.m_Snapshot.emplace(std::move(All));
  }
  return *State.m_Snapshot;
}

std::uint64_t
LeafSubsets::sentFingerprint(const DataCentreName &DataCentre) const {
  const auto Entry = m_Lists.find(DataCentre);
  return Entry == m_Lists.end() ? 0 : Entry->second.m_Fingerprint;
}

std::size_t LeafSubsets::sentKeys(const DataCentreName &DataCentre) const {
  const auto Entry = m_Lists.find(DataCentre);
  return Entry == m_Lists.end() ? 0 : Entry->second.m_Keys.size();
}

std::optional<StoreRevision>
LeafSubsets::sentRevision(const DataCentreName &DataCentre) const {
  const auto Entry = m_Lists.find(DataCentre);
  return Entry == m_Lists.end() ? std::nullopt
                                : std::optional(Entry->second.m_Revision);
}

} // namespace havenstair
