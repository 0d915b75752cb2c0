/// \file
/// Processor time of this process.
#ifndef HAVENSTAIR_WIRE_COMMON_PROCESSORTIME_H
#define HAVENSTAIR_WIRE_COMMON_PROCESSORTIME_H

#include "decisions/common/Time.h"

namespace havenstair {

/// \returns what all threads have used since the start; zero where the system
/// does not tell.
Duration processorTime();

} // namespace havenstair

#endif
