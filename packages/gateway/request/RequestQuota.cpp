#include "gateway/request/RequestQuota.h"

#include <utility>

namespace havenstair {

double quotaUnits(const RequestDescriptor &Request, const Organisation *Owner) {
  if (Owner == nullptr || !Owner->m_Quota.limited())
    return 0;
  return Owner->m_Quota.costOf(Request.m_HasTokenCounts,
                               Request.m_PromptTokens +
                                   Request.m_MaxOutputTokens);
}

RequestQuota::RequestQuota(std::weak_ptr<QuotaService> Service,
                           std::string Organisation, double Units)
    : m_Service(std::move(Service)), m_Organisation(std::move(Organisation)),
      m_Units(Units), m_Self(std::make_shared<RequestQuota *>(this)) {}

RequestQuota::~RequestQuota() {
  if (m_State == State::Granted)
    refund();
}

void RequestQuota::ask(Duration Patience, Done Callback) {
  const std::shared_ptr<QuotaService> Service = m_Service.lock();
  if (!Service)
    return Callback(std::nullopt);
  m_State = State::Asked;
  // The service keeps the callback, which must not keep the service alive.
  Service->acquire(
      m_Organisation, {.m_Units = m_Units, .m_Patience = Patience},
      [Weak = std::weak_ptr(m_Self), WeakService = m_Service,
       Organisation = m_Organisation, Units = m_Units,
       Callback =
           std::move(Callback)](const std::optional<QuotaVerdict> &Verdict) {
        const bool Granted = Verdict && Verdict->granted();
        if (const auto Self = Weak.lock()) {
          (*Self)->m_State = Granted ? State::Granted : State::Free;
          return Callback(Verdict);
        }
        // The request has ended meanwhile.
        if (const auto Service = WeakService.lock(); Service && Granted)
          Service->refund(Organisation, Units);
      });
}

void RequestQuota::noteSent() { m_State = State::Sent; }

void RequestQuota::refund() {
  const bool HasUnits = m_State == State::Granted || m_State == State::Sent;
  m_State = State::Free;
  if (const auto Service = m_Service.lock(); Service && HasUnits && counted())
    Service->refund(m_Organisation, m_Units);
}

} // namespace havenstair
