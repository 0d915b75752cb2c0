#include "gateway/process/ServerWordExchange.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/Fleet.h"
#include "wire/common/EventLoop.h"

namespace havenstair {

namespace {

std::optional<NamedLimit> copied(const NamedLimit *Limit) {
  return Limit == nullptr ? std::nullopt : std::optional(*Limit);
}

} // namespace

ServerWordExchange::ServerWordExchange(Fleet &Boxes, ServerWords &Words,
                                       DecisionLog &Log)
    : m_Fleet(Boxes), m_Words(Words), m_Log(Log) {}

void ServerWordExchange::heard(const UpstreamLife &Server,
                               const AnswerFacts &Words, TimePoint SentAt) {
  const bool Other = Words.m_Misdirected || (!Words.m_Instance.empty() &&
                                             Words.m_Instance != Server.m_Id);
  if (Other)
    return;
  heardLimit(Server, Words, SentAt);
}

void ServerWordExchange::heardLimit(const UpstreamLife &Server,
                                    const AnswerFacts &Words,
                                    TimePoint SentAt) {
  if (Words.m_BadLimit) {
    m_Log.write("bad_server_limit", {{"upstream", Server.m_Id}});
    return;
  }
  const auto Before = copied(m_Words.limit(Server.m_Id));
  const LimitChange Change = m_Words.heardLimit(
      Server, Words.m_Limit, m_Fleet.self(), SentAt, EventLoop::now());
  if (Change != LimitChange::None)
    logLimit(Server, Change, Before, m_Fleet.self());
}

void ServerWordExchange::logLimit(const UpstreamLife &Server,
                                  LimitChange Change,
                                  std::optional<NamedLimit> Before,
                                  const BoxName &By) {
  const NamedLimit *After = m_Words.limit(Server.m_Id);
  const TimePoint Now = EventLoop::now();
  m_Log.write(
      "server_limit",
      {{"upstream", Server.m_Id},
       {"born", Server.m_Born},
       {"change", toString(Change)},
       {"per_s", After != nullptr ? Json(After->m_PerS) : Json()},
       {"before", Before ? Json(Before->m_PerS) : Json()},
       {"for_ms", Before ? Json((Now - Before->m_Since) / 1ms) : Json()},
       {"by", By.str()}});
}

} // namespace havenstair
