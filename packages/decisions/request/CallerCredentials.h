/// \file
/// The API key of a request, as the decisions see it.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_CALLERCREDENTIALS_H
#define HAVENSTAIR_DECISIONS_REQUEST_CALLERCREDENTIALS_H

#include "decisions/version/Organisation.h"
#include <optional>

namespace havenstair {

/// The credentials that a request carries.
struct CallerCredentials {
  std::optional<KeyHash> m_Key; ///< Empty without a valid key.
  /// Whether a key was given that cannot be one: twice, empty or too long.
  bool m_Malformed = false;

  bool operator==(const CallerCredentials &) const = default;
};

} // namespace havenstair

#endif
