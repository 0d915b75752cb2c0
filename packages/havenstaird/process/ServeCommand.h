/// \file
/// `havenstaird serve`: the gateway on an operators' platform.
#ifndef HAVENSTAIR_HAVENSTAIRD_PROCESS_SERVECOMMAND_H
#define HAVENSTAIR_HAVENSTAIRD_PROCESS_SERVECOMMAND_H

#include "havenstaird/process/Settings.h"
#include <string>
#include <vector>

namespace havenstair {

/// Runs the gateway until a signal stops it. \returns the exit status of the
/// process.
/// \throws std::runtime_error for settings that are not allowed.
int runServe(const std::vector<std::string> &Arguments,
             const EnvironmentLookup &Environment);

} // namespace havenstair

#endif
