/// \file
/// What the newest configuration still allows a request that is under way.
#ifndef HAVENSTAIR_DECISIONS_REQUEST_REQUESTAUTHORIZATION_H
#define HAVENSTAIR_DECISIONS_REQUEST_REQUESTAUTHORIZATION_H

#include "decisions/request/AllowedRegions.h"
#include "decisions/request/CallerCredentials.h"
#include "decisions/request/ErrorKind.h"
#include <memory>
#include <optional>

namespace havenstair {

/// Judges by the configuration with which the request came, and anew by each
/// newer one: keys are taken away and regions change while a request waits and
/// between two sends.
class RequestAuthorization {
public:
  using ConfigPtr = std::shared_ptr<const ServingConfig>;

  /// \p Of and \p Caller, which may be null, are of \p Config. \p Of outlives
  /// this.
  RequestAuthorization(ConfigPtr Config, const Route &Of,
                       const Organisation *Caller, CallerCredentials Given);

  /// Takes \p Newest into account, which may be null.
  void update(const ConfigPtr &Newest);
  /// Why the request may not be sent anywhere any more; none if it may.
  std::optional<Failure> refusal() const;
  const AllowedRegions &regions() const { return m_Regions; }

private:
  ConfigPtr m_Config; ///< Judged by this one.
  const Route &m_Route;
  CallerCredentials m_Credentials;
  std::optional<ErrorKind> m_KeyRefusal;
  AllowedRegions m_Regions;
};

} // namespace havenstair

#endif
