/// \file
/// One request's units of its organisation's quota.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_REQUESTQUOTA_H
#define HAVENSTAIR_GATEWAY_REQUEST_REQUESTQUOTA_H

#include "decisions/request/RequestDescriptor.h"
#include "decisions/version/Organisation.h"
#include "gateway/request/QuotaDesk.h"
#include <functional>
#include <memory>
#include <string>

namespace havenstair {

/// What the quota of \p Of, which may be null, counts \p Request as; 0 without
/// a quota.
double quotaUnits(const RequestDescriptor &Request, const Organisation *Of);

/// Takes the units right before the first send, so that what is refused for
/// another reason costs nothing, and gives back what surely reached no
/// upstream.
class RequestQuota {
public:
  enum class State {
    Free,    ///< Nothing is counted, or nothing has been asked for yet.
    Asked,   ///< The answer is on its way.
    Granted, ///< May be sent.
    Sent
  };
  /// How asking for units went; empty when nobody could tell.
  using Done = QuotaDesk::Done;

  /// \p Units of 0 for a request that no quota counts.
  /// The desk may end before the request does.
  RequestQuota(std::weak_ptr<QuotaDesk> Desk, std::string Organisation,
               double Units);
  ~RequestQuota();
  RequestQuota(const RequestQuota &) = delete;
  RequestQuota &operator=(const RequestQuota &) = delete;

  bool counted() const { return m_Units > 0; }
  double units() const { return m_Units; }
  State state() const { return m_State; }
  /// Whether the request may be sent as far as its quota goes.
  bool granted() const {
    return !counted() || m_State == State::Granted || m_State == State::Sent;
  }

  /// Calls \p Callback once, before it returns or later; not after the end of
  /// this object.
  void ask(Duration Patience, Done Callback);
  void noteSent();
  /// The request did not run and will not.
  void giveBack();

private:
  std::weak_ptr<QuotaDesk> m_Desk;
  std::string m_Organisation;
  double m_Units;
  State m_State = State::Free;
  /// Ends with this object; late answers find it gone.
  std::shared_ptr<RequestQuota *> m_Self;
};

} // namespace havenstair

#endif
