#include "gateway/process/ServerWordExchange.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/Fleet.h"
#include <utility>
#include <variant>

namespace havenstair {

namespace {

/// A server may name another value in each answer.
constexpr Duration GatherValues = 100ms;

std::optional<AdvertisedLimit> copied(const AdvertisedLimit *Limit) {
  return Limit == nullptr ? std::nullopt : std::optional(*Limit);
}

} // namespace

ServerWordExchange::ServerWordExchange(EventLoop &Loop, Fleet &Boxes,
                                       ServingView &View,
                                       UpstreamSignals &Words, DecisionLog &Log,
                                       Hooks Callbacks)
    : m_Loop(Loop), m_Fleet(Boxes), m_View(View), m_Words(Words), m_Log(Log),
      m_Hooks(std::move(Callbacks)) {}

void ServerWordExchange::heard(const UpstreamIncarnation &Server,
                               const AnswerFacts &Words, TimePoint SentAt) {
  const bool Other = Words.m_Misdirected || (!Words.m_Instance.empty() &&
                                             Words.m_Instance != Server.m_Id);
  if (Other || m_View.superseded(Server))
    return;
  recordLimit(Server, Words, SentAt);
  if (Words.m_Leaving)
    recordLeaving(Server);
  recordRetryAfter(Server, Words);
}

/// That concerns this box alone: the server turns others away by itself.
void ServerWordExchange::recordRetryAfter(const UpstreamIncarnation &Server,
                                          const AnswerFacts &Words) {
  if (Words.m_BadRetryAfter)
    m_Log.write("bad_retry_after", {{"upstream", Server.m_Id}});
  if (Words.m_RetryAfter &&
      m_Words.recordRetryAfter(Server, *Words.m_RetryAfter, EventLoop::now()))
    m_Log.write("server_retry_after", {{"upstream", Server.m_Id},
                                       {"born", Server.m_StartTime},
                                       {"for_ms", *Words.m_RetryAfter / 1ms}});
}

void ServerWordExchange::recordLeaving(const UpstreamIncarnation &Server) {
  if (!m_View.superseded(Server) && noteLeaving(Server, m_Fleet.self()))
    m_Fleet.sendAll(wordOf(Server));
}

/// \returns whether that is news.
bool ServerWordExchange::noteLeaving(const UpstreamIncarnation &Server,
                                     const BoxName &By) {
  const TimePoint Now = EventLoop::now();
  if (!m_Words.recordLeaving(Server, By, Now))
    return false;
  m_Log.write("server_leaving", {{"upstream", Server.m_Id},
                                 {"born", Server.m_StartTime},
                                 {"by", By.str()}});
  m_View.markLeaving(Server, Now);
  m_Hooks.m_Leaves();
  return true;
}

void ServerWordExchange::recordLimit(const UpstreamIncarnation &Server,
                                     const AnswerFacts &Words,
                                     TimePoint SentAt) {
  if (Words.m_BadLimit) {
    m_Log.write("bad_server_limit", {{"upstream", Server.m_Id}});
    return;
  }
  const auto Before = copied(m_Words.limit(Server.m_Id));
  const LimitChange Change = m_Words.recordLimit(
      Server, Words.m_Limit, m_Fleet.self(), SentAt, EventLoop::now());
  noteLimit(Server, Change, Before, m_Fleet.self());
  if (Change == LimitChange::Altered)
    return tellLater(Server);
  if (Change == LimitChange::None)
    return;
  ServerWordFrame Word = wordOf(Server);
  Word.m_LimitEnded = Change == LimitChange::Ended;
  m_Fleet.sendAll(Word);
}

void ServerWordExchange::noteLimit(const UpstreamIncarnation &Server,
                                   LimitChange Change,
                                   const std::optional<AdvertisedLimit> &Before,
                                   const BoxName &By) {
  if (Change == LimitChange::None)
    return;
  const AdvertisedLimit *After = m_Words.limit(Server.m_Id);
  const TimePoint Now = EventLoop::now();
  m_Log.write(
      "server_limit",
      {{"upstream", Server.m_Id},
       {"born", Server.m_StartTime},
       {"change", toString(Change)},
       {"per_s", After != nullptr ? Json(After->m_RatePerSecond) : Json()},
       {"before", Before ? Json(Before->m_RatePerSecond) : Json()},
       {"for_ms", Before ? Json((Now - Before->m_Since) / 1ms) : Json()},
       {"by", By.str()}});
  m_Hooks.m_LimitsChanged();
}

ServerWordFrame
ServerWordExchange::wordOf(const UpstreamIncarnation &Server) const {
  ServerWordFrame Result{.m_Life = Server};
  if (const AdvertisedLimit *Limit = m_Words.limit(Server.m_Id)) {
    Result.m_LimitPerS = Limit->m_RatePerSecond;
    Result.m_LimitAge = EventLoop::now() - Limit->m_Since;
  }
  Result.m_Leaving = m_Words.leaving().contains(Server);
  return Result;
}

void ServerWordExchange::tellLater(const UpstreamIncarnation &Server) {
  m_Altered.insert(Server);
  if (m_Altered.size() == 1)
    m_TellTimer = m_Loop.after(GatherValues, [this] { tellAltered(); });
}

void ServerWordExchange::tellAltered() {
  for (const UpstreamIncarnation &Each : std::exchange(m_Altered, {}))
    m_Fleet.sendAll(wordOf(Each));
}

void ServerWordExchange::linkUp(const BoxName &Box) {
  std::set<UpstreamIncarnation> All;
  for (const auto &[Server, Limit] : m_Words.limits())
    All.insert(Server);
  for (const auto &[Server, Said] : m_Words.leaving())
    All.insert(Server);
  for (const UpstreamIncarnation &Each : All)
    m_Fleet.send(Box, wordOf(Each));
}

void ServerWordExchange::tellNoLimit(const BoxName &Box,
                                     const UpstreamIncarnation &Server) {
  ServerWordFrame Word = wordOf(Server);
  Word.m_LimitEnded = true;
  m_Fleet.send(Box, Word);
}

void ServerWordExchange::onFrame(const BoxName &From, const PeerFrame &Frame) {
  const auto *Word = std::get_if<ServerWordFrame>(&Frame);
  if (Word == nullptr || m_View.superseded(Word->m_Life))
    return;
  LimitChange Change = LimitChange::None;
  if (Word->m_LimitPerS || Word->m_LimitEnded) {
    const auto Before = copied(m_Words.limit(Word->m_Life.m_Id));
    Change = m_Words.mergeLimit(Word->m_Life, Word->m_LimitPerS, From,
                                Word->m_LimitAge, EventLoop::now());
    noteLimit(Word->m_Life, Change, Before, From);
  }
  const bool Leaves = Word->m_Leaving && noteLeaving(Word->m_Life, From);
  if (Change != LimitChange::None || Leaves)
    m_Fleet.passOn(*Word, From);
}

} // namespace havenstair
