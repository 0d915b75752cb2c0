#include "decisions/request/RequestAuthorization.h"

#include "decisions/request/CallerIdentity.h"
#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// What nobody may serve stays so until an operator changes it: no caller's
/// deadline is as long.
constexpr Duration UntilChanged = 60s;

/// The route by its name, or \p Before when it has been removed since.
const Route &newestOf(const ServingConfig &Config, const Route &Before) {
  const auto Found = std::find_if(
      Config.m_Routes.begin(), Config.m_Routes.end(),
      [&](const Route &Each) { return Each.m_Name == Before.m_Name; });
  return Found == Config.m_Routes.end() ? Before : *Found;
}

} // namespace

RequestAuthorization::RequestAuthorization(ConfigPtr Config, const Route &Of,
                                           const Organisation *Caller,
                                           CallerCredentials Given)
    : m_Config(std::move(Config)), m_Route(Of), m_Credentials(std::move(Given)),
      m_Regions(Of, Caller) {}

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
    return Failure{.m_Kind = *m_KeyRefusal,
                   .m_Detail = "the key was taken away"};
  if (m_Regions.allowsNone())
    return Failure{.m_Kind = ErrorKind::NoAllowedRegion,
                   .m_RetryAfter = UntilChanged,
                   .m_Detail = m_Regions.text()};
  return std::nullopt;
}

} // namespace havenstair
