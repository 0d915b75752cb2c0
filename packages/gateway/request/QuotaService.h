/// \file
/// Interface through which requests acquire units of their organisation's
/// quota.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_QUOTASERVICE_H
#define HAVENSTAIR_GATEWAY_REQUEST_QUOTASERVICE_H

#include "decisions/process/QuotaLedger.h"
#include <functional>
#include <optional>
#include <string>

namespace havenstair {

/// Grants and takes back units of quotas that the whole fleet shares.
class QuotaService {
public:
  /// Receives the verdict; empty when no box answered in time. With the step
  /// `Wait`, the units will be available, but this box stops before.
  using Done = std::function<void(const std::optional<QuotaVerdict> &)>;

  QuotaService() = default;
  QuotaService(const QuotaService &) = delete;
  QuotaService &operator=(const QuotaService &) = delete;
  virtual ~QuotaService() = default;

  /// Asks for the units of \p Request from the quota of \p Organisation. Calls
  /// \p Callback once, before this function returns or later, with a grant, a
  /// refusal or, while this box stops, a wait.
  virtual void acquire(const std::string &Organisation,
                       const QuotaRequest &Request, Done Callback) = 0;
  /// Returns \p Units that were granted but did not reach an upstream.
  virtual void refund(const std::string &Organisation, double Units) = 0;
};

} // namespace havenstair

#endif
