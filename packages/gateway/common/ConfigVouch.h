/// \file
/// How old a box's configuration is.
#ifndef HAVENSTAIR_GATEWAY_COMMON_CONFIGVOUCH_H
#define HAVENSTAIR_GATEWAY_COMMON_CONFIGVOUCH_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"

namespace havenstair {

/// How long ago the configuration was surely the store's, and by whose word.
struct ConfigVouch {
  Duration m_Age{};
  BoxName m_By; ///< Empty for this box's own calls.

  bool operator==(const ConfigVouch &) const = default;
};

} // namespace havenstair

#endif
