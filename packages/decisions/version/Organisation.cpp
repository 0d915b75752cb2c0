#include "decisions/version/Organisation.h"

namespace havenstair {

double Quota::costOf(bool TokensTold, double Tokens) const {
  if (m_Unit == QuotaUnit::Requests)
    return 1;
  return TokensTold ? Tokens : m_DefaultTokens;
}

} // namespace havenstair
