/// \file
/// Ends the answers of a soak's server in many ways.
#ifndef HAVENSTAIR_TESTS_SOAK_SOAKENDINGS_H
#define HAVENSTAIR_TESTS_SOAK_SOAKENDINGS_H

#include "soak/SoakOracle.h"
#include "standin/EndedAnswer.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace havenstair {

/// Sound answers in any framing; while it harms, some that are cut, or end
/// otherwise than their framing says. The oracle hears how each ends.
class SoakEndings {
public:
  /// One run of a request.
  struct Run {
    StandinRunner::ConnectionPtr m_To;
    std::string m_Id;
    std::string m_Signature;
    std::string m_Engine;
    std::string m_Head; ///< Without its framing.
    std::function<void()> m_OnEnd;
  };
  /// The events of a run of a stream.
  struct Events {
    int m_First = 1;
    int m_Last = 1;
    Duration m_Wait = 0us;
    Duration m_Gap = 0us;
  };

  SoakEndings(EventLoop &Loop, SoakOracle &Oracle, std::uint64_t Seed)
      : m_Loop(Loop), m_Oracle(Oracle), m_Random(Seed) {}

  void setHarming(bool Harming) { m_Harming = Harming; }
  /// Mutation: answers that break off say that they are whole.
  void setClaimingWhole(bool Claiming) { m_ClaimsWhole = Claiming; }

  void sendPlain(const Run &Of, const std::string &Body);
  void sendStream(const Run &Of, const Events &Sent);
  /// The server has ended; nothing more is sent.
  void forget() { m_Answers.clear(); }

private:
  int draw(int Least, int Most);
  AnswerEnding next();
  AnswerEnding sound();
  AnswerEnding harmed();
  void send(const Run &Of, EndedAnswer::Options Opts, int After);

  EventLoop &m_Loop;
  SoakOracle &m_Oracle;
  std::mt19937_64 m_Random;
  bool m_Harming = false;
  bool m_ClaimsWhole = false;
  std::vector<std::shared_ptr<EndedAnswer>> m_Answers;
};

} // namespace havenstair

#endif
