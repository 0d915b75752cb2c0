#include "soak/SoakSchedule.h"
#include "soak/SoakBounds.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace havenstair;

TEST_CASE("A soak's plan follows from its seed", "[soak][schedule]") {
  REQUIRE(makePlan(7, 60s) == makePlan(7, 60s));
  REQUIRE_FALSE(makePlan(7, 60s) == makePlan(8, 60s));
}

TEST_CASE("A plan of configurations strikes the ways on which they are learned",
          "[soak][schedule]") {
  const SoakPlan Plan = makeConfigPlan(7, 600s);
  REQUIRE(Plan == makeConfigPlan(7, 600s));
  std::set<SoakFault> Kinds;
  for (const ScheduledFault &Each : Plan.m_Faults)
    Kinds.insert(Each.m_Kind);
  REQUIRE(Kinds ==
          std::set{SoakFault::Configure, SoakFault::SilenceConfigWatch,
                   SoakFault::SilenceConfigWatches,
                   SoakFault::SilenceStoreLinks, SoakFault::SilencePeerLinks,
                   SoakFault::SilenceAllLinks, SoakFault::TurnAwayBoxes});
}

TEST_CASE("A plan of returns loses all boxes and leaves time to judge them",
          "[soak][schedule]") {
  std::set<SoakFault> Kinds;
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    const SoakPlan Plan = makeReturnPlan(Seed, 40s);
    REQUIRE(Plan == makeReturnPlan(Seed, 40s));
    // More boxes than link to each other in a full mesh.
    REQUIRE(Plan.m_Boxes > 16);
    REQUIRE(Plan.m_Strong > 0);
    Duration Last = 0us;
    for (const ScheduledFault &Each : Plan.m_Faults) {
      Kinds.insert(Each.m_Kind);
      if (Each.m_Kind == SoakFault::LoseBoxes)
        Last = Each.m_At + Each.m_For;
    }
    REQUIRE(Last > 0us);
    REQUIRE(Last + SoakBounds().m_Recovery < 40s);
  }
  REQUIRE(Kinds == std::set{SoakFault::LoseBoxes, SoakFault::Configure,
                            SoakFault::RestartEngine,
                            SoakFault::RestartColdEngine, SoakFault::DownStore,
                            SoakFault::SlowStore, SoakFault::ForgetHistory});
}

TEST_CASE("Releases strike before, within, after and between losses of all "
          "boxes",
          "[soak][schedule]") {
  const auto IsRelease = [](const ScheduledFault &Each) {
    return Each.m_Kind >= SoakFault::ReplaceVersion;
  };
  std::set<std::string> Moments;
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    const SoakPlan Before = makeReturnPlan(Seed, 36s);
    REQUIRE_FALSE(Before.m_Releases);
    REQUIRE(std::none_of(Before.m_Faults.begin(), Before.m_Faults.end(),
                         IsRelease));
    SoakPlan Plan = Before;
    addReleases(Plan, Seed);
    SoakPlan Again = Before;
    addReleases(Again, Seed);
    REQUIRE(Plan == Again);
    REQUIRE(Plan.m_Releases);
    std::vector<ScheduledFault> Losses;
    for (const ScheduledFault &Each : Plan.m_Faults)
      if (Each.m_Kind == SoakFault::LoseBoxes)
        Losses.push_back(Each);
    const Duration Back = Losses.front().m_At + Losses.front().m_For;
    for (const ScheduledFault &Each : Plan.m_Faults) {
      if (!IsRelease(Each))
        continue;
      if (Each.m_Kind == SoakFault::JoinVersion)
        Moments.insert("beside");
      else if (Each.m_At < Losses.front().m_At)
        Moments.insert("before");
      else if (Each.m_At < Back)
        Moments.insert("within");
      else if (Losses.size() > 1 && Each.m_At < Losses.back().m_At)
        Moments.insert("between");
      else
        Moments.insert("after");
    }
    const auto IsOther = [&](const ScheduledFault &Each) {
      return IsRelease(Each) || Each.m_Kind == SoakFault::LoseBoxes;
    };
    std::vector<ScheduledFault> Others = Plan.m_Faults;
    std::vector<ScheduledFault> OthersBefore = Before.m_Faults;
    std::erase_if(Others, IsOther);
    std::erase_if(OthersBefore, IsOther);
    REQUIRE(Others == OthersBefore);
  }
  REQUIRE(Moments == std::set<std::string>{"before", "within", "after",
                                           "between", "beside"});
}

TEST_CASE("New versions come while all boxes of a small fleet are gone",
          "[soak][schedule]") {
  constexpr int MostMesh = 16;
  std::set<SoakFault> Releases;
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    const SoakPlan Before = makeReturnPlan(Seed, 36s);
    SoakPlan Plan = Before;
    addAbsentReleases(Plan, Seed);
    SoakPlan Again = Before;
    addAbsentReleases(Again, Seed);
    REQUIRE(Plan == Again);
    REQUIRE(Plan.m_Releases);
    REQUIRE(Plan.m_Boxes <= MostMesh);
    const auto Loss = std::find_if(
        Plan.m_Faults.begin(), Plan.m_Faults.end(),
        [](const auto &Each) { return Each.m_Kind == SoakFault::LoseBoxes; });
    REQUIRE(Plan.m_Faults.size() == Before.m_Faults.size() + 1);
    const auto Release = std::find_if(
        Plan.m_Faults.begin(), Plan.m_Faults.end(), [](const auto &Each) {
          return Each.m_Kind >= SoakFault::ReplaceVersion;
        });
    REQUIRE(Release != Plan.m_Faults.end());
    Releases.insert(Release->m_Kind);
    REQUIRE(Release->m_At > Loss->m_At);
    REQUIRE(Release->m_At + Release->m_For < Loss->m_At + Loss->m_For);
  }
  REQUIRE(Releases ==
          std::set{SoakFault::ReplaceVersion, SoakFault::JoinVersion});
}

TEST_CASE("The store is in trouble at the loss of all boxes and at the return",
          "[soak][schedule]") {
  const std::set<SoakFault> All{SoakFault::SlowStore, SoakFault::DownStore,
                                SoakFault::SilentStore,
                                SoakFault::LoseStoreAnswer};
  std::set<SoakFault> Before;
  std::set<SoakFault> AtReturn;
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    const SoakPlan Others = makeReturnPlan(Seed, 36s);
    SoakPlan Plan = Others;
    addStoreTroubles(Plan, Seed);
    const auto Loss = std::find_if(
        Others.m_Faults.begin(), Others.m_Faults.end(),
        [](const auto &Each) { return Each.m_Kind == SoakFault::LoseBoxes; });
    for (const ScheduledFault &Each : Others.m_Faults)
      std::erase(Plan.m_Faults, Each);
    REQUIRE(Plan.m_Faults.size() <= 2);
    for (const ScheduledFault &Each : Plan.m_Faults) {
      if (Each.m_At < Loss->m_At)
        Before.insert(Each.m_Kind);
      if (Each.m_At > Loss->m_At + Loss->m_For)
        AtReturn.insert(Each.m_Kind);
    }
  }
  REQUIRE(Before == All);
  REQUIRE(AtReturn == All);
}

TEST_CASE("Words of servers come beside the other faults of a plan",
          "[soak][schedule]") {
  SoakPlan Plan = makePlan(7, 600s);
  const std::size_t Others = Plan.m_Faults.size();
  addWords(Plan, 7, 600s);
  std::set<SoakFault> Kinds;
  for (const ScheduledFault &Each : Plan.m_Faults)
    if (Each.m_Kind >= SoakFault::NameLimit)
      Kinds.insert(Each.m_Kind);
  REQUIRE(Kinds == std::set{SoakFault::NameLimit, SoakFault::SayLeaving,
                            SoakFault::AskRetryAfter});
  REQUIRE(Plan.m_Faults.size() > Others + 100);
}

TEST_CASE("A soak's faults are in order, overlap and leave some calm",
          "[soak][schedule]") {
  const SoakPlan Plan = makePlan(7, 600s);
  REQUIRE(std::is_sorted(
      Plan.m_Faults.begin(), Plan.m_Faults.end(),
      [](const auto &A, const auto &B) { return A.m_At < B.m_At; }));
  std::set<SoakFault> Kinds;
  bool Overlap = false;
  bool Calm = false;
  Duration Until = 0s;
  for (const ScheduledFault &Each : Plan.m_Faults) {
    Kinds.insert(Each.m_Kind);
    Overlap = Overlap || Each.m_At < Until;
    Calm = Calm || Each.m_At > Until + 1s;
    Until = std::max(Until, Each.m_At + Each.m_For);
  }
  REQUIRE(Overlap);
  REQUIRE(Calm);
  REQUIRE(Kinds.size() == static_cast<std::size_t>(SoakFault::Evacuate) + 1);
}

TEST_CASE("Partitions and brittle services come one at a time",
          "[soak][schedule]") {
  using AddTo = void (*)(SoakPlan &, std::uint64_t, Duration);
  const auto [Add, Kind] = GENERATE(
      table<AddTo, SoakFault>({{addPartitions, SoakFault::CutBoxes},
                               {addBrittleness, SoakFault::BrittleService}}));
  const SoakPlan Before = makePlan(7, 600s);
  SoakPlan Plan = Before;
  Add(Plan, 7, 600s);
  Duration Until = 0s;
  std::size_t Count = 0;
  std::vector<ScheduledFault> Others;
  for (const ScheduledFault &Each : Plan.m_Faults) {
    if (Each.m_Kind < SoakFault::HarmEndings)
      Others.push_back(Each);
    if (Each.m_Kind != Kind)
      continue;
    REQUIRE(Each.m_At > Until);
    Until = Each.m_At + Each.m_For;
    ++Count;
  }
  REQUIRE(Count > 30);
  REQUIRE(Others == Before.m_Faults);
}

TEST_CASE("Harmed endings leave the other faults of a plan as they are",
          "[soak][schedule]") {
  const SoakPlan Before = makePlan(7, 60s);
  SoakPlan Plan = Before;
  addEndings(Plan, 7, 60s);
  std::erase_if(Plan.m_Faults, [](const ScheduledFault &Each) {
    return Each.m_Kind == SoakFault::HarmEndings;
  });
  REQUIRE(Plan == Before);
}

TEST_CASE("Power is lost after models are loaded and the store is back in time",
          "[soak][schedule]") {
  constexpr Duration Length = 64s;
  bool StoreStays = false;
  bool StoreLater = false;
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    const SoakPlan Before = makeReturnPlan(Seed, Length - PowerSettling);
    SoakPlan Plan = Before;
    addPower(Plan, Seed);
    REQUIRE(Plan.m_Power);
    std::vector<ScheduledFault> Away;
    for (const ScheduledFault &Each : Plan.m_Faults) {
      ScheduledFault Earlier = Each;
      Earlier.m_At -= PowerSettling;
      if (std::find(Before.m_Faults.begin(), Before.m_Faults.end(), Earlier) ==
          Before.m_Faults.end())
        Away.push_back(Each);
    }
    REQUIRE(Plan.m_Faults.size() == Before.m_Faults.size() + Away.size());
    StoreStays = StoreStays || Away.empty();
    for (const ScheduledFault &Each : Away) {
      const auto Loss = std::find_if(
          Plan.m_Faults.begin(), Plan.m_Faults.end(), [&](const auto &Other) {
            return Other.m_Kind == SoakFault::LoseBoxes &&
                   Other.m_At == Each.m_At;
          });
      REQUIRE(Loss != Plan.m_Faults.end());
      REQUIRE(Each.m_Kind == SoakFault::DownStore);
      REQUIRE(Each.m_For > Loss->m_For);
      REQUIRE(Each.m_For <= Loss->m_For + 6s);
      StoreLater = true;
    }
  }
  REQUIRE(StoreStays);
  REQUIRE(StoreLater);
}
