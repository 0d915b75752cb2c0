/// \file
/// Client of the order interface of model engines, over HTTP.
#ifndef HAVENSTAIR_WIRE_PROCESS_ENGINECLIENT_H
#define HAVENSTAIR_WIRE_PROCESS_ENGINECLIENT_H

#include "decisions/process/EngineOrders.h"
#include "wire/common/HttpClient.h"
#include "wire/common/Json.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace havenstair {

Json toJson(const EngineOrder &Order);
/// \throws DecodeError naming the field that is wrong.
EngineOrder engineOrderFromJson(const Json &From);
Json toJson(const EngineReport &Report);
EngineReport engineReportFromJson(const Json &From);
Json toJson(const OrderJournal &Journal);
OrderJournal orderJournalFromJson(const Json &From);

/// Sends fenced orders to one engine and reads its reports.
class EngineClient {
public:
  EngineClient(HttpClient &Http, Endpoint Address)
      : m_Http(Http), m_Address(std::move(Address)) {}
  ~EngineClient() { *m_Alive = false; }
  EngineClient(const EngineClient &) = delete;
  EngineClient &operator=(const EngineClient &) = delete;

  /// Sends \p Order. \p Ended runs when the call has ended, answered or not.
  void send(const EngineOrder &Order, std::function<void()> Ended);
  /// Closes the connections of all calls in flight, so that no more of their
  /// bytes are written. Their Ended callbacks do not run.
  void dropOrders();
  /// Makes \p Token the highest that the engine has seen, so that it refuses
  /// orders whose token is not higher. \p Ended runs as with send().
  void raise(const OrderToken &Token, std::function<void()> Ended);
  /// Fetches the engine's report. \p Done gets an empty optional when there was
  /// no usable answer.
  void report(std::function<void(std::optional<EngineReport>)> Done);

private:
  void post(const std::string &Target, const Json &Body,
            std::function<void()> Ended);
  void forgetCall(std::uint64_t Id);

  HttpClient &m_Http;
  Endpoint m_Address;
  std::map<std::uint64_t, HttpCallHandle> m_Calls;
  std::uint64_t m_LastCall = 0;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace havenstair

#endif
