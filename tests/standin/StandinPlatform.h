/// \file
/// Stand-in for the platform: keys, sessions, watches, lists, in the HTTP form
/// that Consul documents. In memory, with faults on request.
#ifndef HAVENSTAIR_TESTS_STANDIN_STANDINPLATFORM_H
#define HAVENSTAIR_TESTS_STANDIN_STANDINPLATFORM_H

#include "wire/common/EventLoop.h"
#include "wire/common/HttpServer.h"
#include "wire/common/Json.h"
#include <list>
#include <map>
#include <string>

namespace havenstair {

/// One process's key-value service.
class StandinPlatform {
public:
  StandinPlatform(EventLoop &Loop, const Endpoint &Listen);
  Endpoint endpoint() const { return m_Server.endpoint(); }

private:
  struct Entry {
    std::string m_Value;
    std::uint64_t m_Index = 0;
    std::string m_Session;
  };
  struct Session {
    Duration m_TimeToLive = 0us;
    TimePoint m_Expires;
  };
  /// A read that waits for the index to rise.
  struct Waiting {
    HttpExchangePtr m_Exchange;
    std::uint64_t m_After = 0;
    TimePoint m_Until;
  };

  void handle(const HttpExchangePtr &Exchange);
  void answer(const HttpExchangePtr &Exchange);
  void read(const HttpExchangePtr &Exchange);
  void write(const HttpExchangePtr &Exchange);
  void transact(const HttpExchangePtr &Exchange);
  void session(const HttpExchangePtr &Exchange);
  void list(const HttpExchangePtr &Exchange);
  void setList(const HttpExchangePtr &Exchange);
  void fault(const HttpExchangePtr &Exchange);
  void tick();
  void endSession(const std::string &Id);
  std::uint64_t indexOf(const HttpExchange &Exchange) const;
  bool isRecursive(const HttpExchange &Exchange) const;
  void replyOrWait(const HttpExchangePtr &Exchange);
  void reply(const HttpExchangePtr &Exchange, int Status,
             const std::string &Body);
  void wakeWaiting();

  EventLoop &m_Loop;
  HttpServer m_Server;
  std::map<std::string, Entry> m_Entries;
  std::map<std::string, std::uint64_t> m_Removed;
  std::map<std::string, Session> m_Sessions;
  Json m_Upstreams = Json::array();
  std::uint64_t m_ListIndex = 1;
  std::uint64_t m_Index = 1;
  std::list<Waiting> m_Waiting;
  std::uint64_t m_Calls = 0;
  std::string m_Fault;
  std::uint64_t m_FaultsLeft = 0;
  bool m_LoseAnswer = false;
  Timer m_Tick;
};

} // namespace havenstair

#endif
