/// \file
/// A hash that is the same on every box, and rendezvous hashing (highest random
/// weight) with it.
#ifndef HAVENSTAIR_DECISIONS_COMMON_STABLEHASH_H
#define HAVENSTAIR_DECISIONS_COMMON_STABLEHASH_H

#include "decisions/common/Id.h"
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace havenstair {

/// Hash of two strings: FNV-1a with a final mix. It is stable across builds and
/// machines.
std::uint64_t stableHash(std::string_view First, std::string_view Second = {});

/// Chooses the box with the highest hash of box and \p Key, the same on all
/// boxes that have the same candidates. Empty without candidates.
std::optional<BoxName> rendezvousPick(const std::vector<BoxName> &Candidates,
                                      std::string_view Key);

} // namespace havenstair

#endif
