/// \file
/// Revisions of a store that may come back from a copy.
#ifndef HAVENSTAIR_DECISIONS_COMMON_STOREREVISION_H
#define HAVENSTAIR_DECISIONS_COMMON_STOREREVISION_H

#include <compare>
#include <cstdint>

namespace havenstair {

/// Counts how often a store has come back from a copy of itself. The store
/// loses what it had acknowledged after the copy was made, and gives out the
/// revisions of that time again.
using StoreEra = std::uint64_t;

/// The era of a store that does not report one.
constexpr StoreEra FirstEra = 1;

/// Latest era that is accepted; fencing tokens have room for no later one.
constexpr StoreEra MaxStoreEra = StoreEra{1} << 23;

/// A moment of the store. Its number counts all changes of an era, so that of
/// two revisions the one of the later era is newer, whatever their numbers.
struct StoreRevision {
  StoreEra m_Era = 0;
  std::uint64_t m_Number = 0;

  auto operator<=>(const StoreRevision &) const = default;

  /// Whether nothing has been read yet.
  bool none() const { return m_Number == 0; }
};

/// The number that orders what is done under keys of the store, as engines and
/// boxes compare it: it rises with the revision, and equals the revision's
/// number in the first era. Numbers up to 2^53 are exact in every reader of
/// JSON, which leaves room for 2^13 eras.
constexpr std::uint64_t orderingNumber(const StoreRevision &At) {
  constexpr std::uint64_t NumbersPerEra = std::uint64_t{1} << 40;
  const StoreEra Restores = At.m_Era > FirstEra ? At.m_Era - FirstEra : 0;
  return Restores * NumbersPerEra + At.m_Number;
}

} // namespace havenstair

#endif
