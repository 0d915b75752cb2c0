#include "soak/BrittleOracle.h"

#include <algorithm>

namespace havenstair {

void BrittleOracle::began(const std::string &Service, int Servers) {
  m_Spans[Service] = {.m_Servers = Servers, .m_Falls = 0};
}

void BrittleOracle::turnedAway(const std::string &Service,
                               const std::string &Engine,
                               const std::string &Box, TimePoint At) {
  Server &Of = m_Servers[Engine];
  Of.m_Service = Service;
  Of.m_Refusals.push_back(
      {At, m_Trouble.calm(Box, At - m_Bounds.m_Contact, At)});
  while (At - Of.m_Refusals.front().m_At >= 1s)
    Of.m_Refusals.pop_front();
}

void BrittleOracle::fell(const std::string &Engine, TimePoint At) {
  Server &Of = m_Servers[Engine];
  const auto InTouch =
      std::count_if(Of.m_Refusals.begin(), Of.m_Refusals.end(),
                    [](const Refusal &Each) { return Each.m_InTouch; });
  const bool Counts = 2 * InTouch > std::ssize(Of.m_Refusals);
  Of.m_Refusals.clear();
  if (!Counts || !m_Trouble.calm(Disturbances::Harness, At - 1s, At))
    return;
  Span &During = m_Spans[Of.m_Service];
  ++During.m_Falls;
  const double Most =
      m_Bounds.m_BrittleFalls + m_Bounds.m_BrittleFallRatio * During.m_Servers;
  // Told once for a span.
  if (During.m_Falls > Most && During.m_Falls - 1 <= Most)
    m_Broken({Promise::BrittleFalls, At, Engine,
              "is fall " + std::to_string(During.m_Falls) + " of " +
                  std::to_string(During.m_Servers) + " servers of " +
                  Of.m_Service + " in one time"});
}

} // namespace havenstair
