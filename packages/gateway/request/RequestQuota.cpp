#include "gateway/request/RequestQuota.h"

#include <utility>

namespace havenstair {

double quotaUnits(const RequestDescriptor &Request, const Organisation *Of) {
  if (Of == nullptr || !Of->m_Quota.limited())
    return 0;
  return Of->m_Quota.costOf(Request.m_HasTokenCounts,
                            Request.m_PromptTokens + Request.m_MaxOutputTokens);
}

RequestQuota::RequestQuota(std::weak_ptr<QuotaDesk> Desk,
                           std::string Organisation, double Units)
    : m_Desk(std::move(Desk)), m_Organisation(std::move(Organisation)),
      m_Units(Units), m_Self(std::make_shared<RequestQuota *>(this)) {}

RequestQuota::~RequestQuota() {
  if (m_State == State::Granted)
    giveBack();
}

void RequestQuota::ask(Duration Patience, Done Callback) {
  const std::shared_ptr<QuotaDesk> Desk = m_Desk.lock();
  if (!Desk)
    return Callback(std::nullopt);
  m_State = State::Asked;
  // The desk keeps this; it must not keep the desk.
  Desk->take(m_Organisation, {.m_Units = m_Units, .m_Patience = Patience},
             [Weak = std::weak_ptr(m_Self), Asked = m_Desk,
              Organisation = m_Organisation, Units = m_Units,
              Callback = std::move(Callback)](
                 const std::optional<QuotaVerdict> &Verdict) {
               const bool Granted = Verdict && Verdict->granted();
               if (const auto Self = Weak.lock()) {
                 (*Self)->m_State = Granted ? State::Granted : State::Free;
                 return Callback(Verdict);
               }
               // The caller has left meanwhile.
               if (const auto Desk = Asked.lock(); Desk && Granted)
                 Desk->giveBack(Organisation, Units);
             });
}

void RequestQuota::noteSent() { m_State = State::Sent; }

void RequestQuota::giveBack() {
  const bool Has = m_State == State::Granted || m_State == State::Sent;
  m_State = State::Free;
  if (const auto Desk = m_Desk.lock(); Desk && Has && counted())
    Desk->giveBack(m_Organisation, m_Units);
}

} // namespace havenstair
