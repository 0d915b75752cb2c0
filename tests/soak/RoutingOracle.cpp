#include "soak/RoutingOracle.h"

#include <algorithm>

namespace havenstair {

namespace {

auto countIn(const std::deque<TimePoint> &Times, TimePoint From, TimePoint To) {
  return std::upper_bound(Times.begin(), Times.end(), To) -
         std::upper_bound(Times.begin(), Times.end(), From);
}

} // namespace

void RoutingOracle::sent(const CallerRequest &Request) {
  m_Services[Request.m_Service].m_Requests.push_back(Request.m_At);
}

void RoutingOracle::engineCold(const std::string &Engine, TimePoint From,
                               TimePoint Until) {
  m_Cold[Engine] = {.m_From = From, .m_Until = Until, .m_Arrivals = {}};
}

bool RoutingOracle::held(const EngineArrival &Arrival,
                         const CallerRequest &Request, Duration Bound) const {
  const TimePoint Now = Arrival.m_At;
  const TimePoint From = Now - Bound - m_Bounds.m_Contact;
  return m_Trouble.calm(Request.m_Box, From, Now) &&
         m_Trouble.calm(Arrival.m_Engine, From, Now) &&
         m_Trouble.calm(Disturbances::Store, From, Now) &&
         m_Trouble.calm(Disturbances::Harness, From, Now);
}

void RoutingOracle::arrived(const EngineArrival &Arrival,
                            const CallerRequest &Request) {
  judgeRepeat(Arrival);
  judgeLeaving(Arrival, Request);
  if (m_Bounds.m_CheckWarmUp)
    judgeCold(Arrival);
  const auto Allowed = m_Allowed.find(Request.m_Target);
  const bool Seen = Allowed != m_Allowed.end() &&
                    !Allowed->second.contains(Arrival.m_DataCentre);
  if (m_Bounds.m_CheckRegions && Seen)
    m_Broken({Promise::AllowedRegions, Arrival.m_At, Arrival.m_Id,
              "arrives in " + Arrival.m_DataCentre});
}

void RoutingOracle::judgeLeaving(const EngineArrival &Arrival,
                                 const CallerRequest &Request) {
  const Duration Slack = m_Bounds.m_Slack;
  const auto Leaving = m_Leaving.find(Arrival.m_Engine);
  const bool Late = Leaving != m_Leaving.end() &&
                    Arrival.m_At > Leaving->second + m_Bounds.m_Drain + Slack;
  if (Late && held(Arrival, Request, m_Bounds.m_Drain))
    m_Broken({Promise::Draining, Arrival.m_At, Arrival.m_Id,
              "sent by " + Request.m_Box + " to " + Arrival.m_Engine + " " +
                  std::to_string((Arrival.m_At - Leaving->second) / 1ms) +
                  " ms after it began to leave"});
  const auto Away = m_Evacuated.find(Arrival.m_DataCentre);
  const bool Evacuated =
      m_Bounds.m_CheckEvacuation && Away != m_Evacuated.end() &&
      Arrival.m_At > Away->second + m_Bounds.m_Evacuate + Slack;
  if (Evacuated && held(Arrival, Request, m_Bounds.m_Evacuate))
    m_Broken({Promise::Evacuation, Arrival.m_At, Arrival.m_Id,
              "sent by " + Request.m_Box + " to " + Arrival.m_DataCentre});
}

void RoutingOracle::judgeCold(const EngineArrival &Arrival) {
  const auto Found = m_Cold.find(Arrival.m_Engine);
  if (Found == m_Cold.end() || Arrival.m_At >= Found->second.m_Until)
    return;
  ColdSpan &Span = Found->second;
  Span.m_Arrivals.push_back(Arrival.m_At);
  const double Most = m_Bounds.m_ColdPerS * m_Bounds.m_ColdOverage *
                          inSeconds(Arrival.m_At - Span.m_From) +
                      m_Bounds.m_ColdAllowance;
  if (static_cast<double>(Span.m_Arrivals.size()) > Most)
    m_Broken({Promise::WarmUpRate, Arrival.m_At, Arrival.m_Id,
              Arrival.m_Engine + " is cold and got " +
                  std::to_string(Span.m_Arrivals.size()) + " requests in " +
                  std::to_string((Arrival.m_At - Span.m_From) / 1ms) + " ms"});
}

/// The most of three windows, so that demand that falls leaves its budget for
/// a while.
double RoutingOracle::requestsFor(const ServiceCounts &Of,
                                  TimePoint Now) const {
  const Duration Window = m_Bounds.m_RetryWindow;
  auto Most = countIn(Of.m_Requests, Now - Window, Now);
  for (const Duration Back : {Window / 2, Window})
    Most =
        std::max(Most, countIn(Of.m_Requests, Now - Window - Back, Now - Back));
  return static_cast<double>(Most);
}

void RoutingOracle::judgeRepeat(const EngineArrival &Arrival) {
  if (m_Arrived.insert(Arrival.m_Id).second)
    return;
  ServiceCounts &Of = m_Services[Arrival.m_Service];
  Of.m_Repeats.push_back(Arrival.m_At);
  const TimePoint Now = Arrival.m_At;
  const auto Repeats = countIn(Of.m_Repeats, Now - m_Bounds.m_RetryWindow, Now);
  const double Most =
      m_Bounds.m_RetryRatio * requestsFor(Of, Now) + m_Bounds.m_RetryAllowance;
  if (static_cast<double>(Repeats) > Most)
    m_Broken({Promise::RetryBudget, Now, Arrival.m_Id,
              std::to_string(Repeats) + " repeats for " + Arrival.m_Service +
                  " in a window, allowed " + std::to_string(Most)});
}

} // namespace havenstair
