/// \file
/// Where requests ask for units of their organisation's quota.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_QUOTADESK_H
#define HAVENSTAIR_GATEWAY_REQUEST_QUOTADESK_H

#include "decisions/process/QuotaLedger.h"
#include <functional>
#include <optional>
#include <string>

namespace havenstair {

class QuotaDesk {
public:
  /// Empty when nobody could tell.
  using Done = std::function<void(const std::optional<QuotaVerdict> &)>;

  QuotaDesk() = default;
  QuotaDesk(const QuotaDesk &) = delete;
  QuotaDesk &operator=(const QuotaDesk &) = delete;
  virtual ~QuotaDesk() = default;

  /// Calls \p Callback once, before it returns or later, with a grant or a
  /// refusal.
  virtual void take(const std::string &Organisation,
                    const QuotaRequest &Request, Done Callback) = 0;
  /// Units that were granted and did not reach an upstream.
  virtual void giveBack(const std::string &Organisation, double Units) = 0;
};

} // namespace havenstair

#endif
