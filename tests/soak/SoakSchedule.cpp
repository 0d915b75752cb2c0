#include "soak/SoakSchedule.h"

#include <algorithm>
#include <array>
#include <random>

namespace havenstair {

namespace {

struct FaultKind {
  SoakFault m_Kind;
  const char *m_Name;
  int m_LeastMs; ///< Shortest and longest time that it lasts; zero for none.
  int m_MostMs;
};

// Spans reach from what nobody may notice to beyond leases and time-outs.
constexpr std::array<FaultKind, 34> Kinds{{
    {SoakFault::PauseBox, "pause-box", 50, 4000},
    {SoakFault::KillBox, "kill-box", 100, 3000},
    {SoakFault::StopBox, "stop-box", 100, 2000},
    {SoakFault::HangUpBox, "hang-up-box", 0, 0},
    {SoakFault::DelayStoreLink, "delay-store-link", 500, 4000},
    {SoakFault::ResetStoreLink, "reset-store-link", 0, 0},
    {SoakFault::CutToStore, "cut-to-store", 300, 5000},
    {SoakFault::CutFromStore, "cut-from-store", 300, 5000},
    {SoakFault::SilenceStoreLink, "silence-store-link", 0, 0},
    {SoakFault::RefuseAtStore, "refuse-at-store", 300, 5000},
    {SoakFault::DelayPeerLink, "delay-peer-link", 500, 3000},
    {SoakFault::ResetPeerLink, "reset-peer-link", 0, 0},
    {SoakFault::SilencePeerLink, "silence-peer-link", 0, 0},
    {SoakFault::SlowStore, "slow-store", 500, 3000},
    {SoakFault::DownStore, "down-store", 300, 5000},
    {SoakFault::SilentStore, "silent-store", 300, 4000},
    {SoakFault::LoseStoreAnswer, "lose-store-answer", 0, 0},
    {SoakFault::ForgetHistory, "forget-history", 0, 0},
    {SoakFault::RestartEngine, "restart-engine", 0, 0},
    {SoakFault::RestartColdEngine, "restart-cold-engine", 500, 3000},
    {SoakFault::DrainEngine, "drain-engine", 3000, 6000},
    {SoakFault::VanishEngine, "vanish-engine", 3000, 6000},
    {SoakFault::LateEngine, "late-engine", 500, 3000},
    {SoakFault::LateOrders, "late-orders", 500, 3000},
    {SoakFault::BreakAnswers, "break-answers", 0, 0},
    {SoakFault::SurplusAnswers, "surplus-answers", 0, 0},
    {SoakFault::DelayEngineLink, "delay-engine-link", 300, 3000},
    {SoakFault::ResetEngineLink, "reset-engine-link", 0, 0},
    {SoakFault::CutToEngine, "cut-to-engine", 200, 3000},
    {SoakFault::CutFromEngine, "cut-from-engine", 200, 3000},
    {SoakFault::SilenceEngineLink, "silence-engine-link", 0, 0},
    {SoakFault::Configure, "configure", 0, 0},
    {SoakFault::Rubbish, "rubbish", 200, 3000},
    {SoakFault::Evacuate, "evacuate", 6000, 9000},
}};

constexpr std::array<FaultKind, 6> ConfigKinds{{
    {SoakFault::SilenceConfigWatch, "silence-config-watch", 0, 0},
    {SoakFault::SilenceConfigWatches, "silence-config-watches", 0, 0},
    {SoakFault::SilenceStoreLinks, "silence-store-links", 0, 0},
    {SoakFault::SilencePeerLinks, "silence-peer-links", 0, 0},
    {SoakFault::SilenceAllLinks, "silence-all-links", 0, 0},
    {SoakFault::TurnAwayBoxes, "turn-away-boxes", 1000, 8000},
}};

constexpr std::array<FaultKind, 3> WordKinds{{
    {SoakFault::NameLimit, "name-limit", 5000, 15000},
    {SoakFault::SayLeaving, "say-leaving", 4000, 8000},
    {SoakFault::AskRetryAfter, "ask-retry-after", 1000, 5000},
}};

// Each of an option of its own. A restore lasts as long as the store is away.
constexpr std::array<FaultKind, 8> OptionKinds{{
    {SoakFault::RestoreStore, "restore-store", 50, 3000},
    {SoakFault::HarmEndings, "harm-endings", 500, 4000},
    {SoakFault::CutBoxes, "cut-boxes", 4000, 12000},
    {SoakFault::BrittleService, "brittle-service", 6000, 15000},
    {SoakFault::PauseServer, "pause-server", 800, 1500},
    {SoakFault::LoseBoxes, "lose-boxes", 100, 3000},
    {SoakFault::ReplaceVersion, "replace-version", 0, 600},
    {SoakFault::JoinVersion, "join-version", 0, 600},
}};

const FaultKind &kindOf(SoakFault Of) {
  const auto Is = [Of](const FaultKind &Each) { return Each.m_Kind == Of; };
  const auto *const Option =
      std::find_if(OptionKinds.begin(), OptionKinds.end(), Is);
  if (Option != OptionKinds.end())
    return *Option;
  const auto *const Word = std::find_if(WordKinds.begin(), WordKinds.end(), Is);
  if (Word != WordKinds.end())
    return *Word;
  const auto *const Found = std::find_if(Kinds.begin(), Kinds.end(), Is);
  return Found != Kinds.end()
             ? *Found
             : *std::find_if(ConfigKinds.begin(), ConfigKinds.end(), Is);
}

class Drawing {
public:
  explicit Drawing(std::uint64_t Seed) : m_Random(Seed) {}

  int operator()(int Least, int Most) {
    return std::uniform_int_distribution<int>(Least, Most)(m_Random);
  }
  ScheduledFault fault(Duration At, SoakFault Kind) {
    constexpr int MostTargets = 1000;
    const FaultKind &Of = kindOf(Kind);
    return {.m_At = At,
            .m_Kind = Kind,
            .m_Target = (*this)(0, MostTargets),
            .m_For =
                std::chrono::milliseconds((*this)(Of.m_LeastMs, Of.m_MostMs))};
  }

private:
  std::mt19937_64 m_Random;
};

/// Some faults within a few seconds.
void addBurst(Drawing &Draw, Duration At, std::vector<ScheduledFault> &To) {
  const int Count = Draw(2, 7);
  for (int Number = 0; Number < Count; ++Number) {
    const int Kind = Draw(0, static_cast<int>(Kinds.size()) - 1);
    const Duration Into = std::chrono::milliseconds(Draw(0, 3000));
    To.push_back(
        Draw.fault(At + Into, Kinds.at(static_cast<std::size_t>(Kind)).m_Kind));
  }
}

void sortByTime(std::vector<ScheduledFault> &Faults) {
  std::stable_sort(Faults.begin(), Faults.end(),
                   [](const ScheduledFault &A, const ScheduledFault &B) {
                     return A.m_At < B.m_At;
                   });
}

/// One to three versions, up to a second apart.
void addVersions(Drawing &Draw, Duration At, std::vector<ScheduledFault> &To) {
  const int Count = Draw(1, 3);
  for (int Number = 0; Number < Count; ++Number) {
    To.push_back(Draw.fault(At, SoakFault::Configure));
    At += std::chrono::milliseconds(Draw(50, 1000));
  }
}

/// Where a release falls beside a loss of all boxes.
enum class ReleaseMoment { Before, Within, After, Between, Beside };
constexpr std::array ReleaseMoments{
    ReleaseMoment::Before, ReleaseMoment::Within, ReleaseMoment::After,
    ReleaseMoment::Between, ReleaseMoment::Beside};

/// Makes the loss long enough for a release within.
void lengthen(ScheduledFault &Loss) {
  constexpr Duration LeastAway = 1500ms;
  Loss.m_For = std::max(Loss.m_For, LeastAway);
}

/// \returns when the boxes begin to be back for a while.
Duration parted(Drawing &Draw, std::vector<ScheduledFault> &Losses) {
  const Duration Back = Losses.front().m_At + Losses.front().m_For;
  if (Losses.size() == 1)
    Losses.push_back(Draw.fault(Back, SoakFault::LoseBoxes));
  Losses.back().m_At = Back + std::chrono::milliseconds(Draw(2500, 6000));
  return Back;
}

/// A release of a moment that is drawn; it may change \p Losses.
ScheduledFault drawRelease(Drawing &Draw, std::vector<ScheduledFault> &Losses) {
  const auto Into = [&](Duration From, Duration To) {
    return std::chrono::milliseconds(
        Draw(static_cast<int>(From / 1ms), static_cast<int>(To / 1ms)));
  };
  const ReleaseMoment Moment = ReleaseMoments.at(static_cast<std::size_t>(
      Draw(0, static_cast<int>(ReleaseMoments.size()) - 1)));
  const ScheduledFault First = Losses.front();
  ScheduledFault Result = Draw.fault(
      First.m_At, Moment == ReleaseMoment::Beside ? SoakFault::JoinVersion
                                                  : SoakFault::ReplaceVersion);
  switch (Moment) {
  case ReleaseMoment::Before:
    Result.m_At -= Into(100ms, 3s);
    break;
  case ReleaseMoment::Within:
    lengthen(Losses.front());
    Result.m_At += Into(50ms, Losses.front().m_For / 2);
    break;
  case ReleaseMoment::After:
    Result.m_At += First.m_For + Into(0ms, 1500ms);
    break;
  case ReleaseMoment::Between:
    Result.m_At = parted(Draw, Losses) + Into(300ms, 2s);
    break;
  case ReleaseMoment::Beside:
    Result.m_At -= Into(1s, 2500ms);
    break;
  }
  return Result;
}

/// \pre a plan of makeReturnPlan().
ScheduledFault &firstLoss(SoakPlan &Plan) {
  return *std::find_if(
      Plan.m_Faults.begin(), Plan.m_Faults.end(),
      [](const auto &Each) { return Each.m_Kind == SoakFault::LoseBoxes; });
}

/// Trouble of the store that begins at about \p At, or none.
void addStoreTrouble(Drawing &Draw, Duration At,
                     std::vector<ScheduledFault> &To) {
  constexpr std::array Troubles{SoakFault::SlowStore, SoakFault::DownStore,
                                SoakFault::SilentStore,
                                SoakFault::LoseStoreAnswer};
  // Streams are judged from 3 s after it to their deadline.
  constexpr Duration Longest = 2s;
  constexpr int MostAroundMs = 700;
  const int Kind = Draw(0, static_cast<int>(Troubles.size()));
  At += std::chrono::milliseconds(Draw(-MostAroundMs, MostAroundMs));
  if (Kind == static_cast<int>(Troubles.size()))
    return;
  To.push_back(Draw.fault(At, Troubles.at(static_cast<std::size_t>(Kind))));
  To.back().m_For = std::min(To.back().m_For, Longest);
}

} // namespace

const char *toString(SoakFault Of) { return kindOf(Of).m_Name; }

std::string ScheduledFault::str() const {
  return std::to_string(m_At / 1ms) + " ms " + toString(m_Kind) + " " +
         std::to_string(m_Target) + " for " + std::to_string(m_For / 1ms) +
         " ms";
}

SoakPlan makePlan(std::uint64_t Seed, Duration Length) {
  Drawing Draw(Seed);
  SoakPlan Result{.m_Boxes = Draw(2, 6),
                  .m_Plain = Draw(2, 4),
                  .m_Engines = Draw(2, 4),
                  .m_Callers = Draw(8, 32),
                  .m_FencingEnforced = Draw(0, 1) == 1,
                  .m_Faults = {}};
  const Duration CalmAtStart = 1s;
  for (Duration At = CalmAtStart; At < Length;
       At += std::chrono::milliseconds(Draw(2000, 9000)))
    addBurst(Draw, At, Result.m_Faults);
  for (Duration At = CalmAtStart; At < Length;
       At += std::chrono::milliseconds(Draw(800, 6000)))
    Result.m_Faults.push_back(Draw.fault(At, SoakFault::Configure));
  sortByTime(Result.m_Faults);
  return Result;
}

SoakPlan makeConfigPlan(std::uint64_t Seed, Duration Length, Duration Again) {
  constexpr int Boxes = 8;
  Drawing Draw(Seed);
  SoakPlan Result{.m_Boxes = Boxes,
                  .m_Plain = 3,
                  .m_Engines = 2,
                  .m_Callers = 32,
                  .m_FencingEnforced = false,
                  .m_Faults = {}};
  for (Duration At = 1500ms; At < Length;
       At += std::chrono::milliseconds(Draw(1500, 4500)))
    addVersions(Draw, At, Result.m_Faults);
  // Bounds in time are judged from 3 s after a fault.
  for (Duration At = 3s; At < Length;
       At += std::chrono::milliseconds(Draw(5000, 9000))) {
    const int Kind = Draw(0, static_cast<int>(ConfigKinds.size()) - 1);
    Result.m_Faults.push_back(
        Draw.fault(At, ConfigKinds.at(static_cast<std::size_t>(Kind)).m_Kind));
    if (Again > 0us) {
      Result.m_Faults.push_back(Result.m_Faults.back());
      Result.m_Faults.back().m_At += Again;
    }
  }
  sortByTime(Result.m_Faults);
  return Result;
}

SoakPlan makeReturnPlan(std::uint64_t Seed, Duration Length) {
  constexpr std::array Beside{
      SoakFault::Configure,         SoakFault::RestartEngine,
      SoakFault::RestartColdEngine, SoakFault::DownStore,
      SoakFault::SlowStore,         SoakFault::ForgetHistory};
  constexpr int StrongOneIn = 8;
  constexpr int MostBesideMs = 4000;
  Drawing Draw(Seed);
  const int Boxes = Draw(17, 28);
  SoakPlan Result{.m_Boxes = Boxes,
                  .m_Strong = Boxes / StrongOneIn,
                  .m_DataCentres = Draw(1, 2),
                  .m_Plain = Draw(4, 8),
                  // Engines' entries change all the time, those of plain
                  // servers only with their lives.
                  .m_Engines = 2 * Draw(0, 1),
                  .m_Callers = 0,
                  .m_FencingEnforced = Draw(0, 1) == 1,
                  .m_Faults = {}};
  // Judged from 15 s after the return on.
  const Duration Latest = std::max<Duration>(4s, Length - 26s);
  Duration At =
      std::chrono::milliseconds(Draw(3000, static_cast<int>(Latest / 1ms)));
  const int Losses = Draw(1, 3) == 1 ? 2 : 1;
  for (int Number = 0; Number < Losses; ++Number) {
    Result.m_Faults.push_back(Draw.fault(At, SoakFault::LoseBoxes));
    for (int Count = Draw(0, 3); Count > 0; --Count) {
      const int Kind = Draw(0, static_cast<int>(Beside.size()) - 1);
      const Duration Into = std::chrono::milliseconds(Draw(0, MostBesideMs));
      Result.m_Faults.push_back(
          Draw.fault(At + Into, Beside.at(static_cast<std::size_t>(Kind))));
    }
    At += std::chrono::milliseconds(Draw(500, 5000));
  }
  sortByTime(Result.m_Faults);
  return Result;
}

SoakPlan makeSkewPlan(std::uint64_t Seed) {
  constexpr int StrongOneIn = 15;
  Drawing Draw(Seed);
  const int Boxes = Draw(12, 30);
  return {.m_Boxes = Boxes,
          .m_Strong = Boxes / StrongOneIn + 1,
          .m_DataCentres = Draw(1, 3),
          .m_Plain = Draw(30, 40),
          .m_Callers = 0,
          .m_FencingEnforced = Draw(0, 1) == 1,
          .m_Faults = {}};
}

void addReleases(SoakPlan &Plan, std::uint64_t Seed) {
  Drawing Draw(Seed);
  std::vector<ScheduledFault> Losses;
  std::vector<ScheduledFault> Others;
  for (const ScheduledFault &Each : Plan.m_Faults)
    (Each.m_Kind == SoakFault::LoseBoxes ? Losses : Others).push_back(Each);
  constexpr int OneHasTwoIn = 3;
  const int Releases = Draw(1, OneHasTwoIn) == 1 ? 2 : 1;
  for (int Number = 0; Number < Releases; ++Number)
    Others.push_back(drawRelease(Draw, Losses));
  Others.insert(Others.end(), Losses.begin(), Losses.end());
  sortByTime(Others);
  Plan.m_Faults = Others;
  Plan.m_Releases = true;
}

void addAbsentReleases(SoakPlan &Plan, std::uint64_t Seed) {
  constexpr int LeastBoxes = 4;
  constexpr int MostBoxes = 12;
  constexpr int OneReplacesIn = 4;
  Drawing Draw(Seed);
  Plan.m_Boxes = Draw(LeastBoxes, MostBoxes);
  Plan.m_Strong = 0;
  Plan.m_Releases = true;
  lengthen(firstLoss(Plan));
  const ScheduledFault Loss = firstLoss(Plan);
  const auto Half = static_cast<int>(Loss.m_For / 2 / 1ms);
  const SoakFault Kind = Draw(1, OneReplacesIn) == 1 ? SoakFault::ReplaceVersion
                                                     : SoakFault::JoinVersion;
  const Duration Into = std::chrono::milliseconds(Draw(50, Half));
  Plan.m_Faults.push_back(Draw.fault(Loss.m_At + Into, Kind));
  sortByTime(Plan.m_Faults);
}

void addStoreTroubles(SoakPlan &Plan, std::uint64_t Seed) {
  Drawing Draw(Seed);
  const ScheduledFault Loss = firstLoss(Plan);
  addStoreTrouble(Draw, Loss.m_At, Plan.m_Faults);
  addStoreTrouble(Draw, Loss.m_At + Loss.m_For, Plan.m_Faults);
  sortByTime(Plan.m_Faults);
}

void addPower(SoakPlan &Plan, std::uint64_t Seed) {
  constexpr std::array<Duration, 4> StoreLater{0s, 1s, 3s, 6s};
  Drawing Draw(Seed);
  std::vector<ScheduledFault> Away;
  for (ScheduledFault &Each : Plan.m_Faults) {
    Each.m_At += PowerSettling;
    const auto Later = static_cast<std::size_t>(
        Draw(0, static_cast<int>(StoreLater.size()) - 1));
    if (Each.m_Kind != SoakFault::LoseBoxes || Later == 0)
      continue;
    Away.push_back(Draw.fault(Each.m_At, SoakFault::DownStore));
    Away.back().m_For = Each.m_For + StoreLater.at(Later);
  }
  Plan.m_Faults.insert(Plan.m_Faults.end(), Away.begin(), Away.end());
  constexpr int StrongOneIn = 15;
  Plan.m_Strong = Plan.m_Boxes / StrongOneIn;
  Plan.m_Power = true;
  sortByTime(Plan.m_Faults);
}

void addWords(SoakPlan &Plan, std::uint64_t Seed, Duration Length) {
  Drawing Draw(Seed);
  for (Duration At = 500ms; At < Length;
       At += std::chrono::milliseconds(Draw(800, 4000))) {
    const int Kind = Draw(0, static_cast<int>(WordKinds.size()) - 1);
    Plan.m_Faults.push_back(
        Draw.fault(At, WordKinds.at(static_cast<std::size_t>(Kind)).m_Kind));
  }
  sortByTime(Plan.m_Faults);
}

void addRestores(SoakPlan &Plan, std::uint64_t Seed, Duration Length) {
  Drawing Draw(Seed);
  for (Duration At = 2s; At < Length;
       At += std::chrono::milliseconds(Draw(1500, 12000)))
    Plan.m_Faults.push_back(Draw.fault(At, SoakFault::RestoreStore));
  sortByTime(Plan.m_Faults);
}

void addEndings(SoakPlan &Plan, std::uint64_t Seed, Duration Length) {
  Drawing Draw(Seed);
  for (Duration At = 1s; At < Length;
       At += std::chrono::milliseconds(Draw(300, 2000)))
    Plan.m_Faults.push_back(Draw.fault(At, SoakFault::HarmEndings));
  sortByTime(Plan.m_Faults);
}

void addPartitions(SoakPlan &Plan, std::uint64_t Seed, Duration Length) {
  Drawing Draw(Seed);
  for (Duration At = 2s; At < Length;) {
    Plan.m_Faults.push_back(Draw.fault(At, SoakFault::CutBoxes));
    At += Plan.m_Faults.back().m_For +
          std::chrono::milliseconds(Draw(1000, 4000));
  }
  sortByTime(Plan.m_Faults);
}

void addBrittleness(SoakPlan &Plan, std::uint64_t Seed, Duration Length) {
  Drawing Draw(Seed);
  for (Duration At = 1s; At < Length;) {
    Plan.m_Faults.push_back(Draw.fault(At, SoakFault::BrittleService));
    At +=
        Plan.m_Faults.back().m_For + std::chrono::milliseconds(Draw(500, 3000));
  }
  for (Duration At = 2s; At < Length;
       At += std::chrono::milliseconds(Draw(2000, 6000)))
    Plan.m_Faults.push_back(Draw.fault(At, SoakFault::PauseServer));
  sortByTime(Plan.m_Faults);
}

} // namespace havenstair
