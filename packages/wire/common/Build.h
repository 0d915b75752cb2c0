/// \file
/// Which build of the program this is.
#ifndef HAVENSTAIR_WIRE_COMMON_BUILD_H
#define HAVENSTAIR_WIRE_COMMON_BUILD_H

#include <string>

namespace havenstair {

/// Version and, where it was built from a repository, its commit.
std::string buildName();

} // namespace havenstair

#endif
