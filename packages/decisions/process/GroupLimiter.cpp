#include "decisions/process/GroupLimiter.h"

#include <algorithm>

namespace havenstair {

namespace {

Duration timeToEarn(double Missing, double Rate) {
  return fromSeconds(Missing / Rate);
}

Failure rateLimited(Duration RetryAfter) {
  return {.m_Kind = ErrorKind::RateLimited,
          .m_RetryAfter = RetryAfter,
          .m_Detail = {}};
}

} // namespace

int concurrencyShare(int Whole, const LimitShare &Share) {
  const int Rest = Whole % Share.m_Boxes;
  return Whole / Share.m_Boxes + (Share.m_Index < Rest ? 1 : 0);
}

GroupLimiter::GroupLimiter(Options Opts) : m_Opts(std::move(Opts)) {}

void GroupLimiter::refill(Bucket &Of, double Rate, double Least,
                          TimePoint Now) const {
  const double Most = std::max(Least, Rate * m_Opts.m_BurstSeconds);
  if (!Of.m_Started) {
    Of.m_Started = true;
    Of.m_Level = Most;
    Of.m_Filled = Now;
    return;
  }
  const double Seconds = inSeconds(Now - Of.m_Filled);
  Of.m_Level = std::min(Most, Of.m_Level + Rate * Seconds);
  Of.m_Filled = Now;
}

std::optional<Failure> GroupLimiter::tryAdmit(const GroupRow &Row,
                                              TimePoint Now) {
  Usage &Used = m_Usage[Row.m_Group];
  const GroupLimits &Limits = Row.m_Limits;
  const double TokenRate = Limits.m_TokensPerSecond / m_Share.m_Boxes;
  if (TokenRate > 0) {
    refill(Used.m_Tokens, TokenRate, 0, Now);
    // Tokens are charged when they are known; a debt is paid off first.
    if (Used.m_Tokens.m_Level < 0)
      return rateLimited(timeToEarn(-Used.m_Tokens.m_Level, TokenRate));
  }
  const double Rate = Limits.m_RequestsPerSecond / m_Share.m_Boxes;
  if (Rate > 0) {
    refill(Used.m_Requests, Rate, 1, Now);
    if (Used.m_Requests.m_Level < 1)
      return rateLimited(timeToEarn(1 - Used.m_Requests.m_Level, Rate));
    Used.m_Requests.m_Level -= 1;
  }
  ++Used.m_Running;
  return std::nullopt;
}

void GroupLimiter::finished(const GroupName &Group, double Tokens) {
  const auto Found = m_Usage.find(Group);
  if (Found == m_Usage.end())
    return;
  Found->second.m_Running = std::max(0, Found->second.m_Running - 1);
  Found->second.m_Tokens.m_Level -= Tokens;
}

int GroupLimiter::running(const GroupName &Group) const {
  const auto Found = m_Usage.find(Group);
  return Found == m_Usage.end() ? 0 : Found->second.m_Running;
}

} // namespace havenstair
