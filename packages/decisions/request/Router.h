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

/// Chooses one of the candidates; \p Prefix is the hash of the prompt's start.
using RoutingHook = std::function<std::optional<UpstreamName>(
    const std::vector<Candidate> &Candidates, std::uint64_t Prefix)>;

/// Hash of the part of a prompt that calls of one conversation share.
std::uint64_t promptPrefix(std::string_view Prompt);

/// The candidate with the least pressure; ties by hash of \p Prefix.
std::optional<UpstreamName>
leastPressure(const std::vector<Candidate> &Candidates, std::uint64_t Prefix);

/// Rendezvous hashing by prefix with bounded load: the candidate that the
/// prefix prefers, unless its pressure is more than \p Slack above the least.
/// All boxes prefer the same candidate without telling each other. After
/// V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent Hashing with Bounded
/// Loads", SODA 2018.
std::optional<UpstreamName>
prefixAffinity(const std::vector<Candidate> &Candidates, std::uint64_t Prefix,
               double Slack);

/// The product's choice: leastPressure(), so a conversation stays where it is
/// while nothing is less busy. docs/design/routing.md has the measurement.
RoutingHook defaultRouting();

} // namespace havenstair

#endif
