#include "decisions/process/QuarantineProbes.h"

#include "decisions/common/StableHash.h"
#include <algorithm>

namespace havenstair {

namespace {

/// The first probe comes after upstreams that crashed by chance together have
/// other work again. Each further one takes several times as long, as a suspect
/// that is bad costs an upstream each time.
constexpr Duration FirstInterval = 1500ms;
constexpr int IntervalGrowth = 4;
constexpr std::size_t MaxGrowths = 4;

/// Intervals after which boxes that are not in charge probe.
constexpr double TakeoverIntervals = 3;

/// Of these others, one probes in two intervals on average.
constexpr double IntervalsPerBox = 2;

/// After this an upstream that still lives was not crashed by the probe.
constexpr Duration ResultDelay = 1200ms;

constexpr double HashRange = 1 << 20;

double unitHash(const CrashSuspect &Suspect, const BoxName &Self) {
  const auto Hash = stableHash(Suspect.str(), Self.str());
  return static_cast<double>(Hash % static_cast<std::uint64_t>(HashRange)) /
         HashRange;
}

} // namespace

Duration probeInterval(std::size_t Runs) {
  Duration Result = FirstInterval;
  for (std::size_t Step = 0; Step < std::min(Runs, MaxGrowths); ++Step)
    Result *= IntervalGrowth;
  return Result;
}

TimePoint nextProbe(const CrashSuspect &Suspect, const ProbeHistory &History,
                    const BoxName &Self, std::size_t Boxes) {
  const Duration Interval = probeInterval(History.m_Runs);
  const TimePoint InCharge = History.m_Last + Interval;
  if (Self == History.m_By)
    return InCharge;
  const double Wait = TakeoverIntervals + IntervalsPerBox *
                                              static_cast<double>(Boxes) *
                                              unitHash(Suspect, Self);
  return InCharge + fromSeconds(inSeconds(Interval) * Wait);
}

TimePoint probeResult(const CrashSuspect &Suspect,
                      const ProbeHistory &History) {
  return nextProbe(Suspect, History, History.m_By, 1) + ResultDelay;
}

} // namespace havenstair
