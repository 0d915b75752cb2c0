/// \file
/// Whether the newest configuration still allows a request in progress.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_REQUESTAUTHORIZATION_H
#define HAVENSTAIR_DECISIONS_REQUEST_REQUESTAUTHORIZATION_H

#include "decisions/request/AllowedRegions.h"
#include "decisions/request/CallerCredentials.h"
#include "decisions/request/ErrorKind.h"
#include <memory>
#include <optional>

namespace havenstair {

/// Checks the key and the allowed regions of a request against the
/// configuration with which it arrived, and again against each newer one: keys
/// are revoked and regions change while a request waits and between two sends.
class RequestAuthorization {
public:
  using ConfigPtr = std::shared_ptr<const ServingConfig>;

  /// \p MatchedRoute and \p Caller are part of \p Config; \p Caller may be
  /// null. \p MatchedRoute outlives this object.
  RequestAuthorization(ConfigPtr Config, const Route &MatchedRoute,
                       const Organisation *Caller,
                       CallerCredentials Credentials);

  /// Checks the request against \p Newest. Null, and the configuration of the
  /// last check, change nothing.
  void update(const ConfigPtr &Newest);
  /// Why the request must not be sent to any upstream; empty if it may be sent.
  std::optional<Failure> refusal() const;
  /// The regions that may serve the request.
  const AllowedRegions &regions() const { return m_Regions; }

private:
  ConfigPtr m_Config; ///< The configuration of the last check.
  const Route &m_Route;
  CallerCredentials m_Credentials;
  std::optional<ErrorKind> m_KeyRefusal;
  AllowedRegions m_Regions;
};

} // namespace havenstair

#endif
