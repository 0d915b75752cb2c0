#include "soak/GoesOnOracle.h"

#include <algorithm>

namespace havenstair {

void GoesOnOracle::Count::add(bool Went) {
  ++m_Of;
  m_Went += Went ? 1 : 0;
}

double GoesOnOracle::Count::share() const {
  return m_Of == 0 ? 0 : static_cast<double>(m_Went) / m_Of;
}

std::string GoesOnOracle::Count::str() const {
  return std::to_string(m_Went) + " of " + std::to_string(m_Of);
}

void GoesOnOracle::lost(TimePoint At) {
  if (!m_Losses.empty())
    m_Losses.back().m_Until = std::min(m_Losses.back().m_Until, At);
  m_Losses.push_back({.m_LostAt = At});
}

void GoesOnOracle::back(TimePoint At) { m_Losses.back().m_BackAt = At; }

void GoesOnOracle::serves(const std::string &Service,
                          const std::string &Version, const std::string &Server,
                          TimePoint At) {
  leaves(Server, At);
  m_Lives[Server].push_back(
      {.m_Service = Service, .m_Version = Version, .m_From = At});
}

void GoesOnOracle::leaves(const std::string &Server, TimePoint At) {
  std::vector<Life> &Lives = m_Lives[Server];
  if (!Lives.empty())
    Lives.back().m_Until = std::min(Lives.back().m_Until, At);
}

void GoesOnOracle::tried(const StreamTry &Try) { m_Tries.push_back(Try); }

void GoesOnOracle::finish(TimePoint At) {
  for (Loss &Each : m_Losses)
    Each.m_Until = std::min(Each.m_Until, At);
  for (const Report &Each : reports()) {
    judge(Each, Each.m_TakenUp, "that were taken up");
    judge(Each, Each.m_FromPast, "that had begun before the loss");
  }
}

/// Whether two servers of the version that began it served throughout.
bool GoesOnOracle::served(const StreamTry &Of) const {
  constexpr auto Least = 2;
  const auto Serves = [&](const Life &Each) {
    return Each.m_Service == Of.m_Service && Each.m_Version == Of.m_Version &&
           Each.m_From <= Of.m_BegunAt && Each.m_Until >= Of.m_EndedAt;
  };
  return std::count_if(m_Lives.begin(), m_Lives.end(), [&](const auto &Each) {
           return std::any_of(Each.second.begin(), Each.second.end(), Serves);
         }) >= Least;
}

bool GoesOnOracle::inTouch(const StreamTry &Of, const Loss &After) const {
  const TimePoint Since = Of.m_At - m_Bounds.m_Contact;
  return Since >= After.m_BackAt && Of.m_EndedAt < After.m_Until &&
         m_Trouble.calm(Of.m_Box, Since, Of.m_EndedAt) &&
         m_Trouble.calm(Disturbances::Store, Since, Of.m_EndedAt) &&
         m_Trouble.calm(Disturbances::Harness, Of.m_At, Of.m_EndedAt);
}

GoesOnOracle::Report GoesOnOracle::report(const Loss &Of) const {
  Report Result{.m_BackAt = Of.m_BackAt};
  std::map<std::string, Outcome> Streams;
  for (const StreamTry &Each : m_Tries) {
    // Whoever gives up before anything comes learns nothing.
    if (Each.m_At < Of.m_BackAt || Each.m_At >= Of.m_Until ||
        (Each.m_Left && !Each.m_Brought))
      continue;
    if (!Each.m_TakesUp && inTouch(Each, Of))
      Result.m_New.add(Each.m_Brought);
    if (!Each.m_TakesUp || !served(Each))
      continue;
    Outcome &Stream = Streams[Each.m_Stream];
    Stream.m_FromPast = Each.m_BegunAt < Of.m_LostAt;
    Stream.m_WentOn = Stream.m_WentOn || Each.m_Brought;
    // One that goes on sooner than it has to counts as well.
    Stream.m_Counts = Stream.m_Counts || inTouch(Each, Of) ||
                      (Each.m_Brought && Stream.m_FromPast);
  }
  for (const auto &[Id, Each] : Streams) {
    if (!Each.m_Counts)
      continue;
    Result.m_TakenUp.add(Each.m_WentOn);
    if (Each.m_FromPast)
      Result.m_FromPast.add(Each.m_WentOn);
  }
  return Result;
}

void GoesOnOracle::judge(const Report &Of, const Count &Streams,
                         const std::string &Which) const {
  if (Streams.m_Of < m_Bounds.m_LeastTakenUp ||
      Of.m_New.m_Of < m_Bounds.m_LeastTakenUp ||
      Streams.share() >= m_Bounds.m_GoesOn * Of.m_New.share())
    return;
  m_Broken({Promise::GoesOn, Of.m_BackAt, "all boxes",
            Streams.str() + " streams " + Which + " went on from " +
                std::to_string(m_Bounds.m_Contact / 1ms) +
                " ms after the return, and " + Of.m_New.str() +
                " new ones began"});
}

std::vector<GoesOnOracle::Report> GoesOnOracle::reports() const {
  std::vector<Report> Result;
  for (const Loss &Each : m_Losses)
    if (Each.m_BackAt != TimePoint::max())
      Result.push_back(report(Each));
  return Result;
}

} // namespace havenstair
