#include "soak/VersionOracle.h"

namespace havenstair {

std::string versionOf(const std::string &Signature) {
  return Signature.substr(Signature.rfind('.') + 1);
}

void VersionOracle::judge(const std::string &Attempt,
                          const std::vector<StreamPiece> &Got, TimePoint At) {
  const auto Broken = [&](Promise Of, const std::string &Text) {
    m_Broken(
        {.m_Promise = Of, .m_At = At, .m_Subject = Attempt, .m_Text = Text});
  };
  int Expected = 1;
  for (const StreamPiece &Each : Got) {
    if (Each.m_Number != Expected)
      return Broken(Promise::StreamOrder,
                    "over its tries, event " + std::to_string(Each.m_Number) +
                        " in place of " + std::to_string(Expected));
    ++Expected;
    if (versionOf(Each.m_Run) != versionOf(Got.front().m_Run))
      return Broken(Promise::OneVersion, "began at " + Got.front().m_Run +
                                             ", went on at " + Each.m_Run);
  }
}

} // namespace havenstair
