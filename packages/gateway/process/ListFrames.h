/// \file
/// Conversions between copies of the store's lists and the frames that carry
/// them from box to box.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LISTFRAMES_H
#define HAVENSTAIR_GATEWAY_PROCESS_LISTFRAMES_H

#include "gateway/process/WatchCache.h"
#include "wire/connection/FleetFrames.h"

namespace havenstair {

/// The frame that sends \p Changes of \p Cache.
FleetKeysFrame keysFrame(const WatchCache &Cache,
                         const WatchCache::Delta &Changes);
/// The inverse of keysFrame().
WatchCache::Delta deltaIn(const FleetKeysFrame &Frame);

} // namespace havenstair

#endif
