#include "gateway/process/UpstreamSignalExchange.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/Fleet.h"
#include <utility>
#include <variant>

namespace havenstair {

namespace {

/// Changed limits are sent after this time, together: an upstream may state
/// another value in each answer.
constexpr Duration BatchInterval = 100ms;

std::optional<AdvertisedLimit> copied(const AdvertisedLimit *Limit) {
  return Limit == nullptr ? std::nullopt : std::optional(*Limit);
}

} // namespace

UpstreamSignalExchange::UpstreamSignalExchange(EventLoop &Loop, Fleet &Boxes,
                                               ServingView &View,
                                               UpstreamSignals &Signals,
                                               DecisionLog &Log,
                                               Hooks Callbacks)
    : m_Loop(Loop), m_Fleet(Boxes), m_View(View), m_Signals(Signals),
      m_Log(Log), m_Hooks(std::move(Callbacks)) {}

void UpstreamSignalExchange::recordSignals(const UpstreamIncarnation &Upstream,
                                           const AnswerFacts &Answer,
                                           TimePoint SentAt) {
  const bool FromOther =
      Answer.m_Misdirected ||
      (!Answer.m_Instance.empty() && Answer.m_Instance != Upstream.m_Id);
  if (FromOther || m_View.superseded(Upstream))
    return;
  recordLimit(Upstream, Answer, SentAt);
  recordRefusalLimit(Upstream, Answer, SentAt);
  if (Answer.m_NoRoom)
    m_Hooks.m_NoRoom();
  if (Answer.m_Leaving)
    recordLeaving(Upstream);
  recordRetryAfter(Upstream, Answer);
}

/// A time to retry after is not sent to other boxes, as the upstream rejects
/// their requests itself.
void UpstreamSignalExchange::recordRetryAfter(
    const UpstreamIncarnation &Upstream, const AnswerFacts &Answer) {
  if (Answer.m_BadRetryAfter)
    m_Log.write("bad_retry_after", {{"upstream", Upstream.m_Id}});
  if (Answer.m_RetryAfter &&
      m_Signals.recordRetryAfter(Upstream, *Answer.m_RetryAfter,
                                 EventLoop::now()))
    m_Log.write("server_retry_after", {{"upstream", Upstream.m_Id},
                                       {"born", Upstream.m_StartTime},
                                       {"for_ms", *Answer.m_RetryAfter / 1ms}});
}

void UpstreamSignalExchange::recordLeaving(
    const UpstreamIncarnation &Upstream) {
  if (!m_View.superseded(Upstream) && noteLeaving(Upstream, m_Fleet.self()))
    m_Fleet.sendAll(signalFrame(Upstream));
}

/// \returns whether it was not known before.
bool UpstreamSignalExchange::noteLeaving(const UpstreamIncarnation &Upstream,
                                         const BoxName &By) {
  const TimePoint Now = EventLoop::now();
  if (!m_Signals.recordLeaving(Upstream, By, Now))
    return false;
  m_Log.write("server_leaving", {{"upstream", Upstream.m_Id},
                                 {"born", Upstream.m_StartTime},
                                 {"by", By.str()}});
  m_View.markLeaving(Upstream, Now);
  m_Hooks.m_UpstreamLeaving();
  return true;
}

void UpstreamSignalExchange::recordLimit(const UpstreamIncarnation &Upstream,
                                         const AnswerFacts &Answer,
                                         TimePoint SentAt) {
  if (Answer.m_BadLimit) {
    m_Log.write("bad_server_limit", {{"upstream", Upstream.m_Id}});
    return;
  }
  const auto Before = copied(m_Signals.limit(Upstream.m_Id));
  const LimitChange Change = m_Signals.recordLimit(
      Upstream, Answer.m_Limit, m_Fleet.self(), SentAt, EventLoop::now());
  noteLimit("server_limit", Upstream, Change, Before,
            copied(m_Signals.limit(Upstream.m_Id)), m_Fleet.self());
  sendChange(Upstream, Change, &UpstreamSignalFrame::m_LimitEnded);
}

void UpstreamSignalExchange::recordRefusalLimit(
    const UpstreamIncarnation &Upstream, const AnswerFacts &Answer,
    TimePoint SentAt) {
  if (Answer.m_BadRefusalLimit) {
    m_Log.write("bad_refusal_limit", {{"upstream", Upstream.m_Id}});
    return;
  }
  const auto Before = copied(m_Signals.refusalLimit(Upstream.m_Id));
  const LimitChange Change =
      m_Signals.recordRefusalLimit(Upstream, Answer.m_RefusalLimit,
                                   m_Fleet.self(), SentAt, EventLoop::now());
  noteLimit("refusal_limit", Upstream, Change, Before,
            copied(m_Signals.refusalLimit(Upstream.m_Id)), m_Fleet.self());
  sendChange(Upstream, Change, &UpstreamSignalFrame::m_RefusalLimitEnded);
}

void UpstreamSignalExchange::sendChange(const UpstreamIncarnation &Upstream,
                                        LimitChange Change,
                                        bool UpstreamSignalFrame::*Ended) {
  if (Change == LimitChange::Altered)
    return sendLater(Upstream);
  if (Change == LimitChange::None)
    return;
  UpstreamSignalFrame Signal = signalFrame(Upstream);
  Signal.*Ended = Change == LimitChange::Ended;
  m_Fleet.sendAll(Signal);
}

void UpstreamSignalExchange::noteLimit(
    std::string_view Event, const UpstreamIncarnation &Upstream,
    LimitChange Change, const std::optional<AdvertisedLimit> &Before,
    const std::optional<AdvertisedLimit> &After, const BoxName &By) {
  if (Change == LimitChange::None)
    return;
  const TimePoint Now = EventLoop::now();
  m_Log.write(
      Event, {{"upstream", Upstream.m_Id},
              {"born", Upstream.m_StartTime},
              {"change", toString(Change)},
              {"per_s", After ? Json(After->m_RatePerSecond) : Json()},
              {"before", Before ? Json(Before->m_RatePerSecond) : Json()},
              {"for_ms", Before ? Json((Now - Before->m_Since) / 1ms) : Json()},
              {"by", By.str()}});
  m_Hooks.m_LimitsChanged();
}

UpstreamSignalFrame
UpstreamSignalExchange::signalFrame(const UpstreamIncarnation &Upstream) const {
  UpstreamSignalFrame Result{.m_Incarnation = Upstream};
  if (const AdvertisedLimit *Limit = m_Signals.limit(Upstream.m_Id)) {
    Result.m_LimitPerSecond = Limit->m_RatePerSecond;
    Result.m_LimitAge = EventLoop::now() - Limit->m_Since;
  }
  if (const AdvertisedLimit *Limit = m_Signals.refusalLimit(Upstream.m_Id)) {
    Result.m_RefusalLimit = Limit->m_RatePerSecond;
    Result.m_RefusalLimitAge = EventLoop::now() - Limit->m_Since;
  }
  Result.m_Leaving = m_Signals.leaving().contains(Upstream);
  return Result;
}

void UpstreamSignalExchange::sendLater(const UpstreamIncarnation &Upstream) {
  m_Altered.insert(Upstream);
  if (m_Altered.size() == 1)
    m_SendTimer = m_Loop.after(BatchInterval, [this] { sendAltered(); });
}

void UpstreamSignalExchange::sendAltered() {
  for (const UpstreamIncarnation &Upstream : std::exchange(m_Altered, {}))
    m_Fleet.sendAll(signalFrame(Upstream));
}

void UpstreamSignalExchange::linkUp(const BoxName &Box) {
  std::set<UpstreamIncarnation> All;
  for (const auto &[Upstream, Limit] : m_Signals.limits())
    All.insert(Upstream);
  for (const auto &[Upstream, Limit] : m_Signals.refusalLimits())
    All.insert(Upstream);
  for (const auto &[Upstream, Said] : m_Signals.leaving())
    All.insert(Upstream);
  for (const UpstreamIncarnation &Upstream : All)
    m_Fleet.send(Box, signalFrame(Upstream));
}

void UpstreamSignalExchange::sendLimits(const BoxName &Box,
                                        const UpstreamIncarnation &Upstream) {
  UpstreamSignalFrame Signal = signalFrame(Upstream);
  Signal.m_LimitEnded = !Signal.m_LimitPerSecond;
  Signal.m_RefusalLimitEnded = !Signal.m_RefusalLimit;
  m_Fleet.send(Box, Signal);
}

LimitChange
UpstreamSignalExchange::mergeLimit(const UpstreamSignalFrame &Signal,
                                   const BoxName &From) {
  if (!Signal.m_LimitPerSecond && !Signal.m_LimitEnded)
    return LimitChange::None;
  const UpstreamIncarnation &Upstream = Signal.m_Incarnation;
  const auto Before = copied(m_Signals.limit(Upstream.m_Id));
  const LimitChange Change =
      m_Signals.mergeLimit(Upstream, Signal.m_LimitPerSecond, From,
                           Signal.m_LimitAge, EventLoop::now());
  noteLimit("server_limit", Upstream, Change, Before,
            copied(m_Signals.limit(Upstream.m_Id)), From);
  return Change;
}

LimitChange
UpstreamSignalExchange::mergeRefusalLimit(const UpstreamSignalFrame &Signal,
                                          const BoxName &From) {
  if (!Signal.m_RefusalLimit && !Signal.m_RefusalLimitEnded)
    return LimitChange::None;
  const UpstreamIncarnation &Upstream = Signal.m_Incarnation;
  const auto Before = copied(m_Signals.refusalLimit(Upstream.m_Id));
  const LimitChange Change =
      m_Signals.mergeRefusalLimit(Upstream, Signal.m_RefusalLimit, From,
                                  Signal.m_RefusalLimitAge, EventLoop::now());
  noteLimit("refusal_limit", Upstream, Change, Before,
            copied(m_Signals.refusalLimit(Upstream.m_Id)), From);
  return Change;
}

void UpstreamSignalExchange::onFrame(const BoxName &From,
                                     const PeerFrame &Frame) {
  const auto *Signal = std::get_if<UpstreamSignalFrame>(&Frame);
  if (Signal == nullptr || m_View.superseded(Signal->m_Incarnation))
    return;
  const LimitChange Limit = mergeLimit(*Signal, From);
  const LimitChange RefusalLimit = mergeRefusalLimit(*Signal, From);
  const bool Leaves =
      Signal->m_Leaving && noteLeaving(Signal->m_Incarnation, From);
  if (Limit != LimitChange::None || RefusalLimit != LimitChange::None || Leaves)
    m_Fleet.passOn(*Signal, From);
}

} // namespace havenstair
