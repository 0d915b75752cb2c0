/// \file
/// Hashing that every box computes alike, and rendezvous (highest random
/// weight) choice built on it.
#ifndef HAVENSTAIR_DECISIONS_COMMON_STABLEHASH_H
#define HAVENSTAIR_DECISIONS_COMMON_STABLEHASH_H

#include "decisions/common/Id.h"
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace havenstair {

/// FNV-1a with a final mix; stable across builds and machines.
std::uint64_t stableHash(std::string_view First, std::string_view Second = {});

/// Picks the box with the highest hash of (box, key); all callers that hold
/// the same candidates pick the same one. Empty when there are none.
std::optional<BoxName> rendezvousPick(const std::vector<BoxName> &Candidates,
                                      std::string_view Key);

} // namespace havenstair

#endif
