/// \file
/// Stand-in for a model engine: keeps a ledger, takes orders, streams tokens
/// that name the request they answer.
#ifndef HAVENSTAIR_TESTS_STANDIN_STANDINENGINE_H
#define HAVENSTAIR_TESTS_STANDIN_STANDINENGINE_H

#include "wire/common/EventLoop.h"
#include "wire/common/HttpServer.h"
#include "wire/common/Json.h"
#include "wire/process/EngineClient.h"
#include <map>
#include <set>
#include <string>

namespace havenstair {

/// One process's engine.
class StandinEngine {
public:
  struct Options {
    Endpoint m_Listen;
    MemoryMiB m_Capacity = 0;
    MemoryMiB m_KvReserve = 0;
    bool m_ChecksTokens = true;
    Duration m_LoadTime = 50ms;
    Duration m_TokenTime = 10ms;
  };

  StandinEngine(EventLoop &Loop, Options Opts);
  Endpoint endpoint() const { return m_Server.endpoint(); }

private:
  struct Held {
    MemoryMiB m_Size = 0;
    TimePoint m_ReadyAt;
  };
  class Answer;

  void handle(const HttpExchangePtr &Exchange);
  void order(const HttpExchangePtr &Exchange);
  void raise(const HttpExchangePtr &Exchange);
  void report(const HttpExchangePtr &Exchange) const;
  void stats(const HttpExchangePtr &Exchange) const;
  void complete(const HttpExchangePtr &Exchange);
  void apply(const EngineOrder &Order);
  MemoryMiB taken() const;

  EventLoop &m_Loop;
  Options m_Opts;
  HttpServer m_Server;
  std::map<ArtifactName, Held> m_Held;
  MemoryMiB m_KvReserve;
  OrderToken m_Highest;
  std::uint64_t m_Overcommits = 0;
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Cancelled = 0;
  std::uint64_t m_Orders = 0;
  Json m_Fault = Json::object();
};

} // namespace havenstair

#endif
