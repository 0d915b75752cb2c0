#include "decisions/request/RequestAuthorization.h"

#include "decisions/request/CallerIdentity.h"
#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// Retry time when no region may serve the request. Only a change by an
/// operator ends that, so it is longer than any caller's deadline.
constexpr Duration NoRegionRetryAfter = 60s;

/// The route of \p Config with the name of \p Previous; \p Previous itself when
/// the route has been removed.
const Route &newestOf(const ServingConfig &Config, const Route &Previous) {
  const auto Found =
      std::find_if(Config.m_Routes.begin(), Config.m_Routes.end(),
                   [&](const Route &Candidate) {
                     return Candidate.m_Name == Previous.m_Name;
                   });
  return Found == Config.m_Routes.end() ? Previous : *Found;
}

} // namespace

RequestAuthorization::RequestAuthorization(ConfigPtr Config,
                                           const Route &MatchedRoute,
                                           const Organisation *Caller,
                                           CallerCredentials Credentials)
    : m_Config(std::move(Config)), m_Route(MatchedRoute),
      m_Credentials(std::move(Credentials)), m_Regions(MatchedRoute, Caller) {}

void RequestAuthorization::update(const ConfigPtr &Newest) {
  if (Newest == nullptr || Newest == m_Config)
    return;
  m_Config = Newest;
  const CallerIdentity Caller = identifyCaller(*Newest, m_Route, m_Credentials);
  m_KeyRefusal = Caller.m_Refusal;
  m_Regions = AllowedRegions(newestOf(*Newest, m_Route), Caller.m_Organisation);
}

std::optional<Failure> RequestAuthorization::refusal() const {
  if (m_KeyRefusal)
    return Failure{.m_Kind = *m_KeyRefusal, .m_Detail = "the key was revoked"};
  if (m_Regions.allowsNone())
    return Failure{.m_Kind = ErrorKind::NoAllowedRegion,
                   .m_RetryAfter = NoRegionRetryAfter,
                   .m_Detail = m_Regions.text()};
  return std::nullopt;
}

} // namespace havenstair
