#include "decisions/version/Organisation.h"

namespace havenstair {

double Quota::costOf(bool HasTokenCounts, double Tokens) const {
  if (m_Unit == QuotaUnit::Requests)
    return 1;
  return HasTokenCounts ? Tokens : m_DefaultTokens;
}

} // namespace havenstair
