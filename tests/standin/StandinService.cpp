#include "standin/StandinService.h"

namespace havenstair {

StandinService::StandinService(EventLoop &Loop, const Endpoint &Listen,
                               Duration WorkTime)
    : m_Loop(Loop), m_WorkTime(WorkTime),
      m_Server(Loop, {.m_Listen = Listen},
               [this](const HttpExchangePtr &Exchange) { handle(Exchange); }) {}

/// Faults: "cut" closes the connection after the work was done, "cut_early"
/// before it.
void StandinService::handle(const HttpExchangePtr &Exchange) {
  if (Exchange->path() == "/standin/executions") {
    Json Counts{{"total", m_Total}, {"by_key", m_Executions}};
    return Exchange->reply(200, {}, dumpJson(Counts));
  }
  if (Exchange->path() == "/standin/fault") {
    m_Fault = field<std::string>(parseJson(Exchange->body()), "fault");
    return Exchange->reply(200, {}, "{}");
  }
  if (m_Fault == "cut_early")
    return Exchange->abort();
  const int Number = ++m_Total;
  ++m_Executions[Exchange->header("Idempotency-Key")];
  if (m_Fault == "cut")
    return Exchange->abort();
  auto Held = std::make_shared<Timer>();
  *Held = m_Loop.after(m_WorkTime, [this, Exchange, Held, Number] {
    Exchange->reply(200, {{"Content-Type", "application/json"}},
                    dumpJson({{"booking", Number}}));
    m_Loop.defer([Held] { *Held = Timer(); });
  });
}

} // namespace havenstair
