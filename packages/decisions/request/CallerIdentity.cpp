#include "decisions/request/CallerIdentity.h"

namespace havenstair {

CallerIdentity identifyCaller(const ServingConfig &Config,
                              const Route &MatchedRoute,
                              const CallerCredentials &Credentials) {
  if (Config.m_Organisations.empty())
    return {};
  const auto Refused = [](ErrorKind Kind) {
    return CallerIdentity{.m_Organisation = nullptr, .m_Refusal = Kind};
  };
  if (Credentials.m_Malformed)
    return Refused(ErrorKind::UnknownKey);
  if (!Credentials.m_Key)
    return MatchedRoute.m_Public ? CallerIdentity{}
                                 : Refused(ErrorKind::MissingKey);
  const Organisation *Holder = Config.organisationFor(*Credentials.m_Key);
  if (Holder == nullptr)
    return Refused(ErrorKind::UnknownKey);
  return {.m_Organisation = Holder, .m_Refusal = std::nullopt};
}

} // namespace havenstair
