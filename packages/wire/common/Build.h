/// \file
/// Name of this build of the program.
#ifndef HAVENSTAIR_WIRE_COMMON_BUILD_H
#define HAVENSTAIR_WIRE_COMMON_BUILD_H

#include <string>

namespace havenstair {

/// Returns the version and, if the program was built from a repository, its
/// commit.
std::string buildName();

} // namespace havenstair

#endif
