#include "decisions/version/Assignment.h"

#include "decisions/common/StableHash.h"
#include <algorithm>

namespace havenstair {

namespace {

using Counts = std::map<BoxName, int>;

/// The box that owns the fewest items. Rendezvous hashing decides between equal
/// ones, so that items do not all go to the box with the first name.
BoxName leastLoaded(const Counts &Owned, const std::string &Key) {
  const auto Fewest = std::min_element(
      Owned.begin(), Owned.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  std::vector<BoxName> Ties;
  for (const auto &[Box, Count] : Owned)
    if (Count == Fewest->second)
      Ties.push_back(Box);
  return *rendezvousPick(Ties, Key);
}

/// An upstream or a slice of keys, with its current owner.
struct Item {
  std::string m_Key;
  BoxName m_Owner;
};

/// Moves single items from the box with the most to the box with the fewest
/// until the counts differ by at most one. Taking items from any other box
/// would move more of them than needed.
void evenOut(std::vector<Item> &Items, Counts &Owned) {
  const auto ByCount = [](const auto &A, const auto &B) {
    return A.second < B.second;
  };
  while (true) {
    const auto Most = std::max_element(Owned.begin(), Owned.end(), ByCount);
    const auto Fewest = std::min_element(Owned.begin(), Owned.end(), ByCount);
    if (Most->second <= Fewest->second + 1)
      return;
    const auto Moved =
        std::find_if(Items.begin(), Items.end(), [&](const Item &Assigned) {
          return Assigned.m_Owner == Most->first;
        });
    Moved->m_Owner = Fewest->first;
    --Most->second;
    ++Fewest->second;
  }
}

/// Assigns items without a live owner to the boxes with the fewest, then evens
/// out the counts.
void balance(std::vector<Item> &Items, const std::vector<BoxName> &Live) {
  Counts Owned;
  for (const BoxName &Box : Live)
    Owned[Box] = 0;
  for (const Item &Assigned : Items)
    if (const auto Found = Owned.find(Assigned.m_Owner); Found != Owned.end())
      ++Found->second;
  for (Item &Assigned : Items) {
    if (Owned.count(Assigned.m_Owner) != 0)
      continue;
    Assigned.m_Owner = leastLoaded(Owned, Assigned.m_Key);
    ++Owned[Assigned.m_Owner];
  }
  evenOut(Items, Owned);
}

} // namespace

std::optional<BoxName> Assignment::ownerOf(const UpstreamName &Upstream) const {
  const auto Found = m_OwnerOf.find(Upstream);
  if (Found == m_OwnerOf.end())
    return std::nullopt;
  return Found->second;
}

int Assignment::indexOf(const UpstreamName &Upstream) const {
  const auto Found = m_OwnerOf.find(Upstream);
  if (Found == m_OwnerOf.end())
    return -1;
  return static_cast<int>(std::distance(m_OwnerOf.begin(), Found));
}

std::optional<UpstreamName> Assignment::upstreamAt(int Index) const {
  if (Index < 0 || Index >= static_cast<int>(m_OwnerOf.size()))
    return std::nullopt;
  return std::next(m_OwnerOf.begin(), Index)->first;
}

std::optional<BoxName> Assignment::ownerOfSlice(int Slice) const {
  const auto Index = static_cast<std::size_t>(Slice);
  if (Index >= m_KeyOwners.size())
    return std::nullopt;
  return m_KeyOwners[Index];
}

int keySlice(const GroupName &Group, const IdempotencyKey &Key) {
  return static_cast<int>(stableHash(Group.str(), Key.str()) % KeySliceCount);
}

std::optional<Assignment> nextAssignment(const Assignment &Current,
                                         std::vector<BoxName> Live,
                                         std::vector<UpstreamName> Upstreams) {
  if (Live.empty())
    return std::nullopt;
  std::sort(Live.begin(), Live.end());
  std::sort(Upstreams.begin(), Upstreams.end());
  std::vector<Item> Owned;
  for (const UpstreamName &Upstream : Upstreams)
    Owned.push_back(
        {Upstream.str(), Current.ownerOf(Upstream).value_or(BoxName())});
  std::vector<Item> Slices;
  for (int Slice = 0; Slice < KeySliceCount; ++Slice)
    Slices.push_back({"slice-" + std::to_string(Slice),
                      Current.ownerOfSlice(Slice).value_or(BoxName())});
  balance(Owned, Live);
  balance(Slices, Live);

  Assignment Next;
  Next.m_Version = Current.m_Version + 1;
  Next.m_Boxes = std::move(Live);
  for (Item &Assigned : Owned)
    Next.m_OwnerOf[UpstreamName(Assigned.m_Key)] = Assigned.m_Owner;
  for (std::size_t Slice = 0; Slice < Slices.size(); ++Slice) {
    const bool Kept =
        Current.ownerOfSlice(static_cast<int>(Slice)) == Slices[Slice].m_Owner;
    Next.m_KeyOwners.push_back(Slices[Slice].m_Owner);
    Next.m_KeyOwnerSince.push_back(Kept ? Current.m_KeyOwnerSince[Slice]
                                        : Next.m_Version);
  }
  const bool Same = Next.m_Boxes == Current.m_Boxes &&
                    Next.m_OwnerOf == Current.m_OwnerOf &&
                    Next.m_KeyOwners == Current.m_KeyOwners;
  if (Same)
    return std::nullopt;
  return Next;
}

} // namespace havenstair
