#include "wire/process/PlatformClient.h"

#include <websocketpp/base64/base64.hpp>

namespace havenstair {

namespace {

PlatformStatus statusOf(const HttpAnswer &Answer) {
  if (!Answer.received())
    return PlatformStatus::Lost;
  if (Answer.m_Status == 404)
    return PlatformStatus::NotFound;
  if (Answer.m_Status == 409)
    return PlatformStatus::Conflict;
  return Answer.ok() ? PlatformStatus::Ok : PlatformStatus::Lost;
}

PlatformIndex indexOf(const HttpAnswer &Answer) {
  const std::string Text = findHeader(Answer.m_Headers, "X-Consul-Index");
  return std::strtoull(Text.c_str(), nullptr, 10);
}

std::string waitQuery(const PlatformWait &Wait) {
  if (Wait.m_After == 0)
    return {};
  const auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait.m_Wait);
  return "index=" + std::to_string(Wait.m_After) +
         "&wait=" + std::to_string(Millis.count()) + "ms";
}

/// Time that a call may take beyond its timeout: a watch may wait for its whole
/// duration before it answers.
Duration extraWait(const PlatformWait &Wait) {
  return Wait.m_After == 0 ? 0us : Wait.m_Wait;
}

PlatformRead toRead(const HttpAnswer &Answer) {
  PlatformRead Result;
  Result.m_Status = statusOf(Answer);
  Result.m_Index = indexOf(Answer);
  if (Result.m_Status != PlatformStatus::Ok)
    return Result;
  try {
    for (const Json &Each : parseJson(Answer.m_Body))
      Result.m_Entries.push_back(
          {.m_Key = field<std::string>(Each, "Key"),
           .m_Value = websocketpp::base64_decode(
               fieldOr<std::string>(Each, "Value", "")),
           .m_ModifyIndex = field<PlatformIndex>(Each, "ModifyIndex")});
  } catch (const DecodeError &) {
    return {};
  }
  return Result;
}

/// Status of a `PUT` of a key, whose answer is `true` or `false`.
PlatformStatus booleanStatus(const HttpAnswer &Answer) {
  const PlatformStatus Status = statusOf(Answer);
  if (Status != PlatformStatus::Ok)
    return Status;
  if (Answer.m_Body.starts_with("true"))
    return PlatformStatus::Ok;
  return Answer.m_Body.starts_with("false") ? PlatformStatus::Conflict
                                            : PlatformStatus::Lost;
}

} // namespace

PlatformClient::PlatformClient(HttpClient &Http, Options Opts)
    : m_Http(Http), m_Opts(std::move(Opts)) {}

void PlatformClient::call(const char *Name, HttpMethod Method,
                          std::string Target, std::string Body,
                          Duration ExtraWait,
                          std::function<void(HttpAnswer)> Callback) {
  if (m_Opts.m_OnCall)
    m_Opts.m_OnCall(Name);
  HttpCall Call;
  Call.m_To = m_Opts.m_Address;
  Call.m_Method = Method;
  Call.m_Target = std::move(Target);
  Call.m_Body = std::move(Body);
  Call.m_IdleTimeout = m_Opts.m_CallTimeout + ExtraWait;
  m_Http.fetch(std::move(Call), std::move(Callback));
}

void PlatformClient::readTarget(const char *Name, std::string Target,
                                PlatformWait Wait, ReadDone Callback) {
  call(Name, HttpMethod::Get, std::move(Target), {}, extraWait(Wait),
       [Callback = std::move(Callback)](const HttpAnswer &Answer) {
         Callback(toRead(Answer));
       });
}

void PlatformClient::read(const std::string &Key, PlatformWait Wait,
                          ReadDone Callback) {
  readTarget(Wait.m_After == 0 ? "read" : "watch",
             "/v1/kv/" + Key + "?" + waitQuery(Wait), Wait,
             std::move(Callback));
}

void PlatformClient::list(const std::string &Prefix, PlatformWait Wait,
                          ReadDone Callback) {
  readTarget(Wait.m_After == 0 ? "list" : "watch",
             "/v1/kv/" + Prefix + "?recurse=true&" + waitQuery(Wait), Wait,
             std::move(Callback));
}

void PlatformClient::swap(const std::vector<PlatformSwap> &Swaps,
                          Done Callback) {
  Json Operations = Json::array();
  for (const PlatformSwap &Each : Swaps) {
    const std::string Value = websocketpp::base64_encode(Each.m_Value);
    Operations.push_back({{"KV",
                           {{"Verb", "cas"},
                            {"Key", Each.m_Key},
                            {"Value", Value},
                            {"Index", Each.m_Expected}}}});
  }
  call("swap", HttpMethod::Put, "/v1/txn", dumpJson(Operations), 0us,
       [Callback = std::move(Callback)](const HttpAnswer &Answer) {
         Callback(statusOf(Answer));
       });
}

void PlatformClient::acquire(const std::string &Key, const std::string &Value,
                             const std::string &SessionId, Done Callback) {
  call("acquire", HttpMethod::Put, "/v1/kv/" + Key + "?acquire=" + SessionId,
       Value, 0us, [Callback = std::move(Callback)](const HttpAnswer &Answer) {
         Callback(booleanStatus(Answer));
       });
}

void PlatformClient::createSession(Duration TimeToLive, SessionDone Callback) {
  const auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(TimeToLive);
  const Json Body{{"TTL", std::to_string(Millis.count()) + "ms"},
                  {"Behavior", "delete"},
                  {"LockDelay", "0s"}};
  call("session_create", HttpMethod::Put, "/v1/session/create", dumpJson(Body),
       0us, [Callback = std::move(Callback)](const HttpAnswer &Answer) {
         PlatformStatus Status = statusOf(Answer);
         std::string Id;
         try {
           if (Status == PlatformStatus::Ok)
             Id = field<std::string>(parseJson(Answer.m_Body), "ID");
         } catch (const DecodeError &) {
           Status = PlatformStatus::Lost;
         }
         Callback(Status, Id);
       });
}

void PlatformClient::renewSession(const std::string &SessionId, Done Callback) {
  call("session_renew", HttpMethod::Put, "/v1/session/renew/" + SessionId, {},
       0us, [Callback = std::move(Callback)](const HttpAnswer &Answer) {
         Callback(statusOf(Answer));
       });
}

void PlatformClient::destroySession(const std::string &SessionId,
                                    Done Callback) {
  call("session_destroy", HttpMethod::Put, "/v1/session/destroy/" + SessionId,
       {}, 0us, [Callback = std::move(Callback)](const HttpAnswer &Answer) {
         Callback(statusOf(Answer));
       });
}

void PlatformClient::services(const std::string &Name,
                              const std::string &DataCentre, PlatformWait Wait,
                              ServicesDone Callback) {
  const std::string Target = "/v1/health/service/" + Name +
                             "?dc=" + DataCentre + "&" + waitQuery(Wait);
  call(Wait.m_After == 0 ? "services" : "watch", HttpMethod::Get, Target, {},
       extraWait(Wait),
       [Callback = std::move(Callback)](const HttpAnswer &Answer) {
         PlatformServices Result;
         Result.m_Status = statusOf(Answer);
         Result.m_Index = indexOf(Answer);
         try {
           if (Result.m_Status == PlatformStatus::Ok)
             Result.m_List = parseJson(Answer.m_Body);
         } catch (const DecodeError &) {
           Result.m_Status = PlatformStatus::Lost;
         }
         Callback(std::move(Result));
       });
}

} // namespace havenstair
