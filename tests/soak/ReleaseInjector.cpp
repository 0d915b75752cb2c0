#include "soak/ReleaseInjector.h"

#include "soak/SoakConfig.h"

#include <algorithm>
#include <array>
#include <functional>

namespace havenstair {

namespace {

/// Until a server leaves after the one in its place started.
constexpr std::array<Duration, 4> Overlaps{0ms, 100ms, 300ms, 1s};
/// How long one serves on that says that it leaves.
constexpr Duration Drains = 1s;
/// One release of so many is of the engines with models.
constexpr int ModelsOneIn = 4;
/// One later release of so many goes back to the first version.
constexpr int BackOneIn = 3;

} // namespace

std::string ReleaseInjector::nextVersion(const std::string &Service,
                                         int Target) {
  const int Before = m_Releases[Service]++;
  if (Before > 0 && Target % BackOneIn == 0)
    return "v1";
  return "v" + std::to_string(Before + 2);
}

void ReleaseInjector::strike(const ScheduledFault &Fault) {
  const bool Models =
      Fault.m_Target % ModelsOneIn == 0 &&
      std::any_of(m_Engines.begin(), m_Engines.end(), [](const auto &Each) {
        return Each->service() == SoakConfig::EngineService;
      });
  const std::string &Service =
      Models ? SoakConfig::EngineService : SoakConfig::PlainService;
  std::vector<SoakEngine *> Serving;
  std::vector<SoakEngine *> Gone;
  for (const auto &Each : m_Engines) {
    if (Each->service() != Service)
      continue;
    if (Each->serves())
      Serving.push_back(Each.get());
    if (Each->gone())
      Gone.push_back(Each.get());
  }
  const std::string Version = nextVersion(Service, Fault.m_Target);
  const std::size_t Count = std::min(Serving.size(), Gone.size());
  const auto Target = static_cast<std::size_t>(Fault.m_Target);
  const Duration Overlap = Overlaps.at(Target / ModelsOneIn % Overlaps.size());
  for (std::size_t Number = 0; Number < Count; ++Number) {
    const Duration At = Fault.m_For * Number / Count;
    later(At, [Engine = Gone[Number], Version] { Engine->startAs(Version); });
    if (Fault.m_Kind == SoakFault::ReplaceVersion)
      leave(*Serving[Number], At + Overlap, Number % 2 == 0);
  }
}

void ReleaseInjector::leave(SoakEngine &Engine, Duration After, bool Says) {
  if (Says)
    later(After, [&Engine] { Engine.leave(true); });
  later(Says ? After + Drains : After, [&Engine] { Engine.goAway(); });
}

void ReleaseInjector::later(Duration Delay, std::function<void()> Call) {
  m_Timers.push_back(m_Loop.after(Delay, std::move(Call)));
}

} // namespace havenstair
