/// \file
/// Versions of the software that upstreams run.
#ifndef HAVENSTAIR_DECISIONS_COMMON_SOFTWAREVERSION_H
#define HAVENSTAIR_DECISIONS_COMMON_SOFTWAREVERSION_H

#include "decisions/common/Id.h"
#include <string>

namespace havenstair {

/// Version of an upstream's own software, not of the weights that it holds.
/// Versions can only be compared for equality. Empty when it is not known.
using SoftwareVersion = Id<struct SoftwareVersionTag>;

/// \returns the version that an upstream states as \p Text. Texts that are long
/// or are not printable ASCII without spaces are replaced by a hash, as
/// versions are sent in header fields and logged.
SoftwareVersion softwareVersionOf(const std::string &Text);

} // namespace havenstair

#endif
