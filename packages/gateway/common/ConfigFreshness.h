/// \file
/// How recently a box's configuration was known to be current.
#ifndef HAVENSTAIR_GATEWAY_COMMON_CONFIGFRESHNESS_H
#define HAVENSTAIR_GATEWAY_COMMON_CONFIGFRESHNESS_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"

namespace havenstair {

/// Tells when the configuration was last confirmed to be the one in the store,
/// and which box confirmed it.
struct ConfigFreshness {
  Duration m_Age{}; ///< Time since the confirmation.
  BoxName m_By;     ///< Empty if this box read the store itself.

  bool operator==(const ConfigFreshness &) const = default;
};

} // namespace havenstair

#endif
