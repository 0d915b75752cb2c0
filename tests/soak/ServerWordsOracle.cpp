#include "soak/ServerWordsOracle.h"

namespace havenstair {

void ServerWordsOracle::said(const EngineWords &Words,
                             const CallerRequest &Request) {
  const EngineAndBox Key{Words.m_Engine, Request.m_Box};
  if (!Words.m_LimitPerSecond)
    m_Limits.erase(Words.m_Engine);
  else if (Limit &Of = m_Limits[Words.m_Engine];
           Of.m_PerS != *Words.m_LimitPerSecond || Of.m_Since == TimePoint{})
    Of = {.m_PerS = *Words.m_LimitPerSecond,
          .m_Since = Words.m_At,
          .m_Arrivals = {}};
  if (Words.m_Leaving)
    m_Leaving.try_emplace(Key, Words.m_At);
  if (Words.m_RetryAfter > 0us)
    m_RetryAfters[Key] = {.m_From = Words.m_At,
                          .m_Until = Words.m_At + Words.m_RetryAfter,
                          .m_Arrivals = 0};
}

void ServerWordsOracle::startedAgain(const std::string &Engine) {
  const auto OfEngine = [&](const auto &Each) {
    return Each.first.first == Engine;
  };
  m_Limits.erase(Engine);
  std::erase_if(m_Leaving, OfEngine);
  std::erase_if(m_RetryAfters, OfEngine);
}

void ServerWordsOracle::arrived(const EngineArrival &Arrival,
                                const CallerRequest &Request) {
  judgeLimit(Arrival, Request);
  judgeLeaving(Arrival, Request);
  judgeRetryAfter(Arrival, Request);
}

bool ServerWordsOracle::calm(const EngineArrival &Arrival,
                             const CallerRequest &Request,
                             TimePoint From) const {
  return m_Trouble.calm(Request.m_Box, From, Arrival.m_At) &&
         m_Trouble.calm(Arrival.m_Engine, From, Arrival.m_At) &&
         m_Trouble.calm(Disturbances::Harness, From, Arrival.m_At);
}

void ServerWordsOracle::judgeLimit(const EngineArrival &Arrival,
                                   const CallerRequest &Request) {
  const auto Found = m_Limits.find(Arrival.m_Engine);
  const TimePoint Now = Arrival.m_At;
  if (Found == m_Limits.end() ||
      Now < Found->second.m_Since + m_Bounds.m_Contact ||
      !calm(Arrival, Request, Now - m_Bounds.m_Contact))
    return;
  std::deque<TimePoint> &At = Found->second.m_Arrivals;
  At.push_back(Now);
  while (Now - At.front() >= m_Bounds.m_LimitSpan)
    At.pop_front();
  const double Most = m_Bounds.m_LimitOverage * Found->second.m_PerS *
                          inSeconds(m_Bounds.m_LimitSpan) +
                      m_Bounds.m_LimitAllowance;
  if (static_cast<double>(At.size()) > Most)
    m_Broken({Promise::ServerLimit, Now, Arrival.m_Id,
              Arrival.m_Engine + " names " +
                  std::to_string(Found->second.m_PerS) + " a second and got " +
                  std::to_string(At.size()) + " in a span"});
}

void ServerWordsOracle::judgeLeaving(const EngineArrival &Arrival,
                                     const CallerRequest &Request) {
  const auto Told = m_Leaving.find({Arrival.m_Engine, Request.m_Box});
  if (Told == m_Leaving.end() ||
      Arrival.m_At <= Told->second + m_Bounds.m_Drain + m_Bounds.m_Slack ||
      !calm(Arrival, Request, Told->second))
    return;
  m_Broken({Promise::SaidLeaving, Arrival.m_At, Arrival.m_Id,
            "sent by " + Request.m_Box + " to " + Arrival.m_Engine + " " +
                std::to_string((Arrival.m_At - Told->second) / 1ms) +
                " ms after an answer said that it leaves"});
}

void ServerWordsOracle::judgeRetryAfter(const EngineArrival &Arrival,
                                        const CallerRequest &Request) {
  const auto Found = m_RetryAfters.find({Arrival.m_Engine, Request.m_Box});
  if (Found == m_RetryAfters.end())
    return;
  RetryAfter &Of = Found->second;
  const bool Within = Arrival.m_At > Of.m_From + m_Bounds.m_RetryAfterBegins &&
                      Arrival.m_At < Of.m_Until;
  if (!Within || !calm(Arrival, Request, Of.m_From))
    return;
  if (++Of.m_Arrivals > m_Bounds.m_RetryAfterArrivals)
    m_Broken({Promise::ServerRetryAfter, Arrival.m_At, Arrival.m_Id,
              "sent by " + Request.m_Box + " to " + Arrival.m_Engine +
                  " before it may, the " + std::to_string(Of.m_Arrivals) +
                  ". of them"});
}

} // namespace havenstair
