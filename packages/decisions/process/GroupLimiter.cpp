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

void GroupLimiter::refill(Bucket &Target, double Rate, double Least,
                          TimePoint Now) const {
  const double Most = std::max(Least, Rate * m_Opts.m_BurstSeconds);
  if (!Target.m_Started) {
    Target.m_Started = true;
    Target.m_Level = Most;
    Target.m_Filled = Now;
    return;
  }
  const double Seconds = inSeconds(Now - Target.m_Filled);
  Target.m_Level = std::min(Most, Target.m_Level + Rate * Seconds);
  Target.m_Filled = Now;
}

std::optional<Failure> GroupLimiter::tryAdmit(const GroupRow &Row,
                                              TimePoint Now) {
  Usage &Used = m_Usage[Row.m_Group];
  const GroupLimits &Limits = Row.m_Limits;
  const double TokenRate = Limits.m_TokensPerSecond / m_Share.m_Boxes;
  if (TokenRate > 0) {
    refill(Used.m_Tokens, TokenRate, 0, Now);
    // Tokens are charged once their number is known, so the level may be
    // negative.
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
