/// \file
/// The policies that the bench runs side by side.
#ifndef HAVENSTAIR_BENCH_POLICIES_H
#define HAVENSTAIR_BENCH_POLICIES_H

#include "Simulation.h"
#include <vector>

namespace havenstair::bench {

/// Even static placement, least outstanding requests, first come first served.
Policy staticPlacement();
/// Load on demand, least recently used eviction, first come first served.
Policy loadOnDemand();
/// Our own policy as it was first written: least pressure, demand-driven
/// placement with its first settings, deadline of the product at that time.
Policy firstVersion(double FewMoves);
/// What the product does now.
Policy current(double FewMoves);

} // namespace havenstair::bench

#endif
