/// \file
/// Choice of the upstream for one request. See docs/design/routing.md.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_ROUTER_H
#define HAVENSTAIR_DECISIONS_REQUEST_ROUTER_H

#include "decisions/process/UpstreamDirectory.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace havenstair {

/// Chooses one of the candidates, or nothing without any. \p Prefix is the hash
/// of the start of the prompt.
using RoutingHook = std::function<std::optional<UpstreamName>(
    const std::vector<Candidate> &Candidates, std::uint64_t Prefix)>;

/// Hash of the start of a prompt, which calls of one conversation share.
std::uint64_t promptPrefix(std::string_view Prompt);

/// The candidate with the least pressure; the hash of \p Prefix decides between
/// equal ones. Empty without candidates.
std::optional<UpstreamName>
leastPressure(const std::vector<Candidate> &Candidates, std::uint64_t Prefix);

/// Rendezvous hashing by prefix with bounded load: the candidate that the
/// prefix prefers, unless its pressure is more than \p Slack above the least.
/// All boxes prefer the same candidate without communication. Empty without
/// candidates. After
/// V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent Hashing with Bounded
/// Loads", SODA 2018.
std::optional<UpstreamName>
prefixAffinity(const std::vector<Candidate> &Candidates, std::uint64_t Prefix,
               double Slack);

/// The hook that boxes use: leastPressure(). It keeps a conversation at its
/// upstream while no other has less pressure. See docs/design/routing.md for
/// the comparison with prefixAffinity().
RoutingHook defaultRouting();

} // namespace havenstair

#endif
