/// \file
/// Names of the processes of boxes.
#ifndef HAVENSTAIR_GATEWAY_COMMON_PROCESSNAME_H
#define HAVENSTAIR_GATEWAY_COMMON_PROCESSNAME_H

#include "decisions/common/Id.h"
#include <string>

namespace havenstair {

/// \returns the name of the machine, which the name of \p Process extends by a
/// dot and a suffix of its own.
inline std::string machineOf(const BoxName &Process) {
  return Process.str().substr(0, Process.str().rfind('.'));
}

} // namespace havenstair

#endif
