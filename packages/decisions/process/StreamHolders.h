/// \file
/// Chooses the boxes that remember how a stream began.
/// See docs/design/stream-versions.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_STREAMHOLDERS_H
#define HAVENSTAIR_DECISIONS_PROCESS_STREAMHOLDERS_H

#include "decisions/common/Id.h"
#include <cstddef>
#include <string_view>
#include <vector>

namespace havenstair {

/// A box that may remember streams of others.
struct HolderCandidate {
  BoxName m_Box;
  DataCentreName m_DataCentre;

  bool operator==(const HolderCandidate &) const = default;
};

/// \returns up to \p Count of \p Candidates, by rendezvous hashing of \p
/// Attempt; of several data centres while there are any that have none yet.
std::vector<BoxName>
chooseStreamHolders(std::vector<HolderCandidate> Candidates,
                    std::string_view Attempt, std::size_t Count);

} // namespace havenstair

#endif
