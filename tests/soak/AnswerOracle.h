/// \file
/// Judges answers: whole, own, run once, and refusals that are true. None of
/// these depends on time.
#ifndef HAVENSTAIR_TESTS_SOAK_ANSWERORACLE_H
#define HAVENSTAIR_TESTS_SOAK_ANSWERORACLE_H

#include "soak/SoakEvents.h"
#include <map>
#include <string>

namespace havenstair {

class AnswerOracle {
public:
  explicit AnswerOracle(VerdictHook Broken) : m_Broken(std::move(Broken)) {}

  void sent(const CallerRequest &Request);
  void answered(const CallerAnswer &Answer);
  void arrived(const EngineArrival &Arrival);
  void made(const EngineAnswer &Answer);
  /// Without it, only the whole answer that the engine made is complete.
  void ended(const EngineEnding &Ending);

  /// The request of that id; null when no caller sent it.
  const CallerRequest *request(const std::string &Id) const;

  bool reachedEngine(const std::string &Id) const;

private:
  struct Story {
    CallerRequest m_Request;
    bool m_Arrived = false; ///< At an engine, which may have refused it.
    int m_Runs = 0;
    int m_Refused = 0; ///< Status that said "not run"; zero without.
    std::map<std::string, EngineAnswer> m_Made;  ///< By signature.
    std::map<std::string, EngineEnding> m_Ended; ///< By signature.
  };

  void judgeSuccess(const Story &Of, const CallerAnswer &Answer);
  static std::string endingsOf(const Story &Of);
  static bool looksWhole(const Story &Of, const CallerAnswer &Answer);
  static bool looksWholeUpTo(const Story &Of, int LastEvent);
  void judgeStream(const Story &Of, const CallerAnswer &Answer);
  void broken(Promise Of, TimePoint At, const std::string &Id,
              const std::string &Text);

  VerdictHook m_Broken;
  std::map<std::string, Story> m_Stories;
};

} // namespace havenstair

#endif
