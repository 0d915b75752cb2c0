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

} // namespace havenstair

#endif
