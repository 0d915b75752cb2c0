/// \file
/// Stand-in for a plain service: counts how often each key was executed.
#ifndef HAVENSTAIR_TESTS_STANDIN_STANDINSERVICE_H
#define HAVENSTAIR_TESTS_STANDIN_STANDINSERVICE_H

#include "wire/common/EventLoop.h"
#include "wire/common/HttpServer.h"
#include "wire/common/Json.h"
#include <map>
#include <string>

namespace havenstair {

/// One process's booking service.
class StandinService {
public:
  StandinService(EventLoop &Loop, const Endpoint &Listen, Duration WorkTime);
  Endpoint endpoint() const { return m_Server.endpoint(); }

private:
  void handle(const HttpExchangePtr &Exchange);

  EventLoop &m_Loop;
  Duration m_WorkTime;
  HttpServer m_Server;
  std::map<std::string, int> m_Executions;
  int m_Total = 0;
  std::string m_Fault;
};

} // namespace havenstair

#endif
