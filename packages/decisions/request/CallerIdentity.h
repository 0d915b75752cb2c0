/// \file
/// Which organisation a request is served for.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_CALLERIDENTITY_H
#define HAVENSTAIR_DECISIONS_REQUEST_CALLERIDENTITY_H

#include "decisions/request/CallerCredentials.h"
#include "decisions/request/ErrorKind.h"
#include "decisions/version/ServingConfig.h"
#include <optional>

namespace havenstair {

/// The organisation of a request, or why the request is refused.
struct CallerIdentity {
  /// Points into the configuration. Null on a public route without a key,
  /// where the configuration has no organisations, and for a refusal.
  const Organisation *m_Organisation = nullptr;
  std::optional<ErrorKind> m_Refusal; ///< Empty when the request may run.

  bool operator==(const CallerIdentity &) const = default;
};

/// Finds the organisation that has the key in \p Credentials. A public route
/// needs no key, but a key that is given there must be known all the same: the
/// request then counts for the organisation that has it.
CallerIdentity identifyCaller(const ServingConfig &Config,
                              const Route &MatchedRoute,
                              const CallerCredentials &Credentials);

} // namespace havenstair

#endif
