/// \file
/// The units of its organisation's quota that one request uses.
#ifndef HAVENSTAIR_GATEWAY_REQUEST_REQUESTQUOTA_H
#define HAVENSTAIR_GATEWAY_REQUEST_REQUESTQUOTA_H

#include "decisions/request/RequestDescriptor.h"
#include "decisions/version/Organisation.h"
#include "gateway/request/QuotaService.h"
#include <functional>
#include <memory>
#include <string>

namespace havenstair {

/// \returns the units that \p Request costs under the quota of \p Owner; 0 if
/// \p Owner is null or has no quota.
double quotaUnits(const RequestDescriptor &Request, const Organisation *Owner);

/// Acquires the units of one request right before its first send, so that a
/// request that is refused for another reason costs nothing, and gives them
/// back if it certainly reached no upstream.
class RequestQuota {
public:
  enum class State {
    Free,    ///< No quota applies, or no units have been asked for yet.
    Asked,   ///< The answer is outstanding.
    Granted, ///< The request may be sent.
    Sent     ///< The request has been sent.
  };
  /// Receives the verdict; empty when no box answered in time.
  using Done = QuotaService::Done;

  /// \p Units is 0 for a request to which no quota applies. \p Service may be
  /// destroyed before the request ends.
  RequestQuota(std::weak_ptr<QuotaService> Service, std::string Organisation,
               double Units);
  ~RequestQuota();
  RequestQuota(const RequestQuota &) = delete;
  RequestQuota &operator=(const RequestQuota &) = delete;

  /// \returns whether a quota applies to the request.
  bool counted() const { return m_Units > 0; }
  /// \returns what the request costs, in units of the quota.
  double units() const { return m_Units; }
  State state() const { return m_State; }
  /// \returns whether the quota allows the request to be sent.
  bool granted() const {
    return !counted() || m_State == State::Granted || m_State == State::Sent;
  }

  /// Asks for the units. \p Patience is how long the request can wait for them.
  /// Calls \p Callback once, before this function returns or later; never after
  /// this object is destroyed.
  void ask(Duration Patience, Done Callback);
  /// Records that the request has been sent.
  void noteSent();
  /// Returns the units of a request that did not run and will not.
  void refund();

private:
  std::weak_ptr<QuotaService> m_Service;
  std::string m_Organisation;
  double m_Units;
  State m_State = State::Free;
  /// Expires with this object, so that later callbacks can tell.
  std::shared_ptr<RequestQuota *> m_Self;
};

} // namespace havenstair

#endif
