/// \file
/// Which box owns which upstream and which slice of idempotency keys, for one
/// data centre. See docs/design/assignment.md.
#ifndef HAVENSTAIR_DECISIONS_VERSION_ASSIGNMENT_H
#define HAVENSTAIR_DECISIONS_VERSION_ASSIGNMENT_H

#include "decisions/common/Id.h"
#include <map>
#include <optional>
#include <vector>

namespace havenstair {

/// Number of slices into which idempotency keys are hashed.
constexpr int KeySliceCount = 64;

/// One document in the platform's service; its version is the fencing token.
struct Assignment {
  FencingToken m_Version = 0;
  std::vector<BoxName> m_Boxes; ///< Boxes that took part, sorted.
  std::map<UpstreamName, BoxName> m_OwnerOf;
  std::vector<BoxName> m_KeyOwners; ///< One for each slice; may be empty.
  /// Version at which each slice last changed its owner.
  std::vector<FencingToken> m_KeyOwnerSince;

  std::optional<BoxName> ownerOf(const UpstreamName &Upstream) const;
  /// Place of \p Upstream in the order of names; -1 when it has none.
  int indexOf(const UpstreamName &Upstream) const;
  std::optional<UpstreamName> upstreamAt(int Place) const;
  std::optional<BoxName> ownerOfSlice(int Slice) const;
  bool operator==(const Assignment &) const = default;
};

/// Slice of \p Key within \p Group.
int keySlice(const GroupName &Group, const IdempotencyKey &Key);

/// The next assignment: keeps every owner that is still live, spreads the
/// rest, and moves no more than evens out the counts to within one.
/// \returns nothing when \p Current already fits.
std::optional<Assignment> nextAssignment(const Assignment &Current,
                                         std::vector<BoxName> Live,
                                         std::vector<UpstreamName> Upstreams);

} // namespace havenstair

#endif
