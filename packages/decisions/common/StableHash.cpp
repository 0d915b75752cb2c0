#include "decisions/common/StableHash.h"

namespace havenstair {

namespace {

constexpr std::uint64_t FnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t FnvPrime = 1099511628211ULL;
constexpr unsigned char Separator = 0xff;

std::uint64_t feed(std::uint64_t Hash, std::string_view Text) {
  for (unsigned char Byte : Text)
    Hash = (Hash ^ Byte) * FnvPrime;
  return (Hash ^ Separator) * FnvPrime;
}

/// The finalizer of MurmurHash3. FNV alone mixes the high bits poorly.
std::uint64_t mix(std::uint64_t Hash) {
  Hash ^= Hash >> 33;
  Hash *= 0xff51afd7ed558ccdULL;
  Hash ^= Hash >> 33;
  Hash *= 0xc4ceb9fe1a85ec53ULL;
  return Hash ^ (Hash >> 33);
}

} // namespace

std::uint64_t stableHash(std::string_view First, std::string_view Second) {
  return mix(feed(feed(FnvOffset, First), Second));
}

std::optional<BoxName> rendezvousPick(const std::vector<BoxName> &Candidates,
                                      std::string_view Key) {
  std::optional<BoxName> Best;
  std::uint64_t BestHash = 0;
  for (const BoxName &Box : Candidates) {
    const std::uint64_t Hash = stableHash(Box.str(), Key);
    const bool Higher = !Best || Hash > BestHash;
    const bool TieByName = Best && Hash == BestHash && Box < *Best;
    if (!Higher && !TieByName)
      continue;
    Best = Box;
    BestHash = Hash;
  }
  return Best;
}

} // namespace havenstair
