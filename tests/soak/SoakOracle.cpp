#include "soak/SoakOracle.h"

namespace havenstair {

SoakOracle::SoakOracle(SoakBounds Bounds)
    : m_Bounds(Bounds), m_Answers(noteVerdict()),
      m_Config(m_Bounds, m_Trouble, noteVerdict()),
      m_Routing(m_Bounds, m_Trouble, noteVerdict()),
      m_Orders(m_Bounds, m_Trouble, noteVerdict()),
      m_Crashes(m_Bounds, m_Trouble, noteVerdict()),
      m_Words(m_Bounds, m_Trouble, noteVerdict()),
      m_Partitions(m_Bounds, m_Trouble, noteVerdict()),
      m_Returns(m_Bounds, m_Trouble, noteVerdict()),
      m_Brittle(m_Bounds, m_Trouble, noteVerdict()),
      m_Sound(m_Bounds, m_Trouble, noteVerdict()), m_Versions(noteVerdict()),
      m_GoesOn(m_Bounds, m_Trouble, noteVerdict()),
      m_Skew(m_Bounds, noteVerdict()) {}

void SoakOracle::sent(const CallerRequest &Request) {
  m_Answers.sent(Request);
  m_Routing.sent(Request);
  m_Partitions.sent(Request);
  m_Returns.sent(Request);
}

void SoakOracle::arrived(const EngineArrival &Arrival) {
  m_Answers.arrived(Arrival);
  const CallerRequest *Request = m_Answers.request(Arrival.m_Id);
  if (Request == nullptr)
    return;
  m_Routing.arrived(Arrival, *Request);
  m_Crashes.arrived(Arrival, *Request);
  m_Words.arrived(Arrival, *Request);
  if (Request->m_Since)
    m_Config.ran(*Request, Arrival.m_At);
}

void SoakOracle::said(const EngineWords &Words) {
  if (const CallerRequest *Request = m_Answers.request(Words.m_Id))
    m_Words.said(Words, *Request);
}

void SoakOracle::turnedAway(const std::string &Id, const std::string &Engine,
                            TimePoint At) {
  if (const CallerRequest *Request = m_Answers.request(Id))
    m_Brittle.turnedAway(Request->m_Service, Engine, Request->m_Box, At);
}

void SoakOracle::answered(const CallerAnswer &Answer) {
  m_Answers.answered(Answer);
  m_Partitions.answered(Answer);
  m_Returns.answered(Answer);
  constexpr int NotFound = 404;
  const CallerRequest *Request = m_Answers.request(Answer.m_Id);
  const bool Unknown = Request != nullptr && Request->m_Since &&
                       Answer.m_Status == NotFound &&
                       Answer.m_Signature.empty();
  if (Request != nullptr)
    m_Crashes.answered(Answer, *Request);
  if (Request != nullptr)
    m_Sound.answered(Answer, *Request);
  if (Unknown)
    m_Config.unknown(*Request, Answer.m_At);
}

void SoakOracle::streamTried(const StreamTry &Try) {
  m_GoesOn.tried(Try);
  if (Try.m_Brought)
    m_Returns.brought(Try.m_Id, Try.m_EndedAt);
  else if (Try.m_Left)
    m_Returns.left(Try.m_Id);
}

void SoakOracle::left(const std::string &Id) {
  m_Partitions.left(Id);
  m_Returns.left(Id);
}

void SoakOracle::finish(TimePoint At) {
  m_Partitions.finish(At);
  m_Returns.finish(At);
  m_GoesOn.finish(At);
  m_Skew.finish();
}

void SoakOracle::serverServes(const std::string &Service,
                              const std::string &Version,
                              const std::string &Server, TimePoint At) {
  m_Routing.engineServes(Server);
  m_GoesOn.serves(Service, Version, Server, At);
}

void SoakOracle::serverLeaves(const std::string &Server, TimePoint At) {
  m_Routing.engineLeaves(Server, At);
  m_GoesOn.leaves(Server, At);
}

void SoakOracle::boxesLost(TimePoint At) {
  m_Returns.lost(At);
  m_GoesOn.lost(At);
}

void SoakOracle::boxesBack(TimePoint At) {
  m_Returns.back(At);
  m_GoesOn.back(At);
}

void SoakOracle::boxEnded(const std::string &Box, int Status, TimePoint At) {
  m_Verdicts.push_back(
      {Promise::BoxLives, At, Box,
       "ended by itself with status " + std::to_string(Status)});
}

} // namespace havenstair
