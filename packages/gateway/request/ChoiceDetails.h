/// \file
/// What the choice of an upstream for a request was based on.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_CHOICEDETAILS_H
#define HAVENSTAIR_GATEWAY_REQUEST_CHOICEDETAILS_H

#include "decisions/common/Time.h"
#include <cstddef>
#include <optional>
#include <string_view>

namespace havenstair {

/// What the last choice of an upstream was based on, for the log.
struct ChoiceDetails {
  std::size_t m_Replicas = 0; ///< Number of candidates.
  double m_ExpectedMs = 0;
  double m_PendingMs = 0;
  std::string_view m_Reason = ""; ///< Reason of the admission decision.
  /// Time until a load of the model in progress ends; empty if there is none.
  std::optional<Duration> m_ServesIn;

  bool operator==(const ChoiceDetails &) const = default;
};

} // namespace havenstair

#endif
