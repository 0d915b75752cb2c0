#include "soak/SoundAnswerOracle.h"

#include <algorithm>

namespace havenstair {

void SoundAnswerOracle::ended(const EngineEnding &Ending) {
  m_Runs[Ending.m_Id].push_back(Ending);
}

bool SoundAnswerOracle::calm(const CallerAnswer &Answer,
                             const CallerRequest &Request,
                             const EngineEnding &Run) const {
  const TimePoint From = Request.m_At - m_Bounds.m_Contact;
  const auto Started = m_LastStarts.find(Run.m_Engine);
  const bool Lived = Started == m_LastStarts.end() || Started->second < From;
  return Lived && m_Trouble.calm(Run.m_Engine, From, Answer.m_At) &&
         m_Trouble.calm(Request.m_Box, From, Answer.m_At) &&
         m_Trouble.calm(Disturbances::Reach, From, Answer.m_At) &&
         m_Trouble.calm(Disturbances::Harness, From, Answer.m_At);
}

void SoundAnswerOracle::answered(const CallerAnswer &Answer,
                                 const CallerRequest &Request) {
  const auto Runs = m_Runs.find(Answer.m_Id);
  const bool Begun = Answer.m_Status / 100 == 2 && !Answer.m_Complete;
  if (!Begun || Runs == m_Runs.end() ||
      Answer.m_At - Request.m_At > m_Bounds.m_SoundWithin)
    return;
  const bool Sound = std::all_of(
      Runs->second.begin(), Runs->second.end(), [&](const EngineEnding &Each) {
        return Each.m_Sound && calm(Answer, Request, Each);
      });
  if (Sound)
    m_Broken({Promise::SoundAnswer, Answer.m_At, Answer.m_Id,
              "got " + std::to_string(Answer.m_Body.size()) +
                  " bytes of a sound answer (" + Runs->second.back().m_How +
                  ") and no proper end from " + Request.m_Box});
}

} // namespace havenstair
