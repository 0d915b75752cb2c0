/// \file
/// The owner of each upstream and of each slice of idempotency keys among the
/// boxes of one data centre. See docs/design/assignment.md.
#ifndef HAVENSTAIR_DECISIONS_VERSION_ASSIGNMENT_H
#define HAVENSTAIR_DECISIONS_VERSION_ASSIGNMENT_H

#include "decisions/common/Id.h"
#include <map>
#include <optional>
#include <vector>

namespace havenstair {

/// Number of slices that idempotency keys are hashed into.
constexpr int KeySliceCount = 64;

/// The assignment of a data centre, one document in the platform's service. Its
/// version is the fencing token of the owners.
struct Assignment {
  FencingToken m_Version = 0;
  std::vector<BoxName> m_Boxes; ///< Boxes that it distributes over, sorted.
  std::map<UpstreamName, BoxName> m_OwnerOf;
  /// The owner of each slice; empty while no slice is owned.
  std::vector<BoxName> m_KeyOwners;
  /// Version in which each slice last changed its owner.
  std::vector<FencingToken> m_KeyOwnerSince;

  /// The owner of \p Upstream; empty when it has none.
  std::optional<BoxName> ownerOf(const UpstreamName &Upstream) const;
  /// Index of \p Upstream among the assigned ones, ordered by name; -1 if it is
  /// not assigned.
  int indexOf(const UpstreamName &Upstream) const;
  /// The assigned upstream with \p Index; empty if out of range.
  std::optional<UpstreamName> upstreamAt(int Index) const;
  /// The owner of a slice of keys; empty when it has none.
  std::optional<BoxName> ownerOfSlice(int Slice) const;
  bool operator==(const Assignment &) const = default;
};

/// The slice of \p Key, which belongs to \p Group.
int keySlice(const GroupName &Group, const IdempotencyKey &Key);

/// The assignment that follows \p Current. Upstreams and slices keep an owner
/// that is still live, the others are distributed, and no more are moved than
/// it takes to make the boxes' counts differ by at most one. \returns nothing
/// when \p Current needs no change or no box is live.
std::optional<Assignment> nextAssignment(const Assignment &Current,
                                         std::vector<BoxName> Live,
                                         std::vector<UpstreamName> Upstreams);

} // namespace havenstair

#endif
