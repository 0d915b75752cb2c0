#include "decisions/process/ReplicaPlanner.h"
#include "support/Draw.h"
#include <algorithm>

using namespace havenstair;

namespace {

std::string model(int Number) { return "m" + std::to_string(Number); }

EngineSpec spec(int Models) {
  EngineSpec Result;
  Result.m_WeightsMb = 220;
  Result.m_AdapterCapacity = 4;
  for (int Number = 0; Number < Models; ++Number) {
    ModelSpec Model;
    Model.m_Name = model(Number);
    Model.m_SizeMb = Number % 2 == 0 ? 65 : 72;
    Result.m_Models.push_back(Model);
  }
  return Result;
}

PlannedEngine engine(int Number, std::set<std::string> Models) {
  return {.m_Id = "e" + std::to_string(Number), .m_Models = std::move(Models)};
}

double sizeOf(const EngineSpec &Spec, const std::set<std::string> &Models) {
  double Sum = 0;
  for (const std::string &Name : Models)
    Sum += Spec.model(Name)->m_SizeMb;
  return Sum;
}

PlannerInput drawnInput(const EngineSpec &Spec) {
  PlannerInput Input;
  const int Engines = *drawn(1, 7);
  for (int Number = 0; Number < Engines; ++Number) {
    PlannedEngine Each = engine(Number, {});
    for (int Place = 0; Place < *drawn(0, 4); ++Place) {
      const auto Model =
          model(*drawn(0, static_cast<int>(Spec.m_Models.size())));
      Each.m_Models.insert(Model);
      if (*drawn(0, 4) == 0)
        Each.m_Loading[Model] = *drawn(0, 8000);
    }
    for (int Copy = 0; Copy < *drawn(0, 4); ++Copy)
      Each.m_OnDisk.insert(
          model(*drawn(0, static_cast<int>(Spec.m_Models.size()))));
    Each.m_Movable = *drawn(0, 4) != 0;
    Each.m_Leaving = *drawn(0, 6) == 0;
    Input.m_Engines.push_back(std::move(Each));
  }
  for (const ModelSpec &Model : Spec.m_Models)
    if (*rc::gen::arbitrary<bool>())
      Input.m_Demand[Model.m_Name] = *drawn(0, 300) / 100.0;
  Input.m_StoreLoads = static_cast<std::size_t>(*drawn(0, 4));
  return Input;
}

} // namespace

TEST_CASE(
    "A plan respects memory, last replicas with demand and the store limit",
    "[planner][property]") {
  rc::prop("safe plans", [] {
    const EngineSpec Spec = spec(*drawn(1, 9));
    const PlannerInput Input = drawnInput(Spec);
    const auto Moves = planReplicas(Input, Spec, {}, 5);
    RC_ASSERT(Moves.size() <= 5);
    std::map<InstanceId, PlannedEngine> After;
    for (const PlannedEngine &Each : Input.m_Engines)
      After[Each.m_Id] = Each;
    std::size_t FromStore = 0;
    for (const PlannedMove &Move : Moves) {
      PlannedEngine &At = After.at(Move.m_Engine);
      RC_ASSERT(At.m_Movable && !At.m_Leaving);
      RC_ASSERT(!At.m_Models.contains(Move.m_Load));
      if (!Move.m_Evict.empty()) {
        const auto Serving =
            std::count_if(After.begin(), After.end(), [&](const auto &Each) {
              return !Each.second.m_Leaving &&
                     Each.second.m_Models.contains(Move.m_Evict) &&
                     !Each.second.m_Loading.contains(Move.m_Evict);
            });
        // The last one is evicted only if it has hardly any demand, and only
        // for a model with more.
        const auto Demand = [&](const std::string &Model) {
          const auto Found = Input.m_Demand.find(Model);
          return Found == Input.m_Demand.end() ? 0 : Found->second;
        };
        if (Serving < 2) {
          RC_ASSERT(!Move.m_Load.empty());
          RC_ASSERT(Demand(Move.m_Evict) < 0.05);
          RC_ASSERT(Demand(Move.m_Load) > Demand(Move.m_Evict));
        }
        At.m_Models.erase(Move.m_Evict);
        At.m_Loading.erase(Move.m_Evict);
      }
      At.m_Movable = false;
      RC_ASSERT(!Move.m_Load.empty() || !Move.m_Evict.empty());
      if (Move.m_Load.empty())
        continue;
      At.m_Models.insert(Move.m_Load);
      At.m_Loading[Move.m_Load] = Move.m_ServesInMs;
      RC_ASSERT(sizeOf(Spec, At.m_Models) <= Spec.m_WeightsMb);
      FromStore += Move.m_Source == LoadSource::Store ? 1 : 0;
    }
    RC_ASSERT(FromStore <= Input.m_StoreLoads);
  });
}

TEST_CASE("Last replicas without demand are evicted for models with demand",
          "[planner]") {
  // More models than fit into memory, each with one replica.
  const EngineSpec Spec = spec(8);
  PlannerInput Input;
  Input.m_Engines = {engine(0, {model(0), model(1), model(2)}),
                     engine(1, {model(3), model(4), model(5)})};
  Input.m_StoreLoads = 4;
  SECTION("not before there is any demand") {
    REQUIRE(planReplicas(Input, Spec, {}, 4).empty());
  }
  SECTION("when callers wait for one that no engine holds") {
    Input.m_Demand = {{model(0), 0.3}, {model(6), 0.02}};
    Input.m_Awaited = {model(6)};
    const auto Moves = planReplicas(Input, Spec, {}, 1);
    REQUIRE(Moves.size() == 1);
    REQUIRE(Moves.front().m_Load == model(6));
    REQUIRE(Moves.front().m_Evict != model(0));
    REQUIRE_FALSE(Moves.front().m_Evict.empty());
  }
  SECTION("when a hot model lacks replicas") {
    Input.m_Demand = {{model(0), 2.5}};
    const auto Moves = planReplicas(Input, Spec, {}, 1);
    REQUIRE(Moves.size() == 1);
    REQUIRE(Moves.front().m_Load == model(0));
    REQUIRE(Moves.front().m_Engine == "e1");
  }
  SECTION("those with usual demand last") {
    Input.m_Demand = {{model(0), 0.3}, {model(6), 0.02}};
    Input.m_Awaited = {model(6)};
    Input.m_Usual = {
        {model(3), 0.01}, {model(4), 0.01}, {model(1), 0.01}, {model(2), 0.01}};
    const auto Moves = planReplicas(Input, Spec, {}, 1);
    REQUIRE(Moves.size() == 1);
    REQUIRE(Moves.front().m_Evict == model(5));
  }
  SECTION("not spare replicas of a model that is usually hot") {
    Input.m_Engines[1].m_Models = {model(3), model(1), model(5)};
    Input.m_Usual = {{model(1), 0.6}};
    Input.m_Demand = {{model(0), 0.3}, {model(6), 0.02}};
    Input.m_Awaited = {model(6)};
    const auto Moves = planReplicas(Input, Spec, {}, 1);
    REQUIRE(Moves.size() == 1);
    REQUIRE(Moves.front().m_Evict != model(1));
  }
  SECTION("not for a model without demand") {
    Input.m_Demand = {{model(0), 0.3}};
    Input.m_Engines[1].m_Models.insert(model(0));
    for (const PlannedMove &Move : planReplicas(Input, Spec, {}, 4))
      REQUIRE((Move.m_Load.empty() || Move.m_Evict.empty()));
  }
  SECTION("not one that was just loaded") {
    Input.m_Demand = {{model(0), 0.3}, {model(6), 0.02}};
    Input.m_Awaited = {model(6)};
    for (PlannedEngine &Each : Input.m_Engines)
      Each.m_RecentlyLoaded = Each.m_Models;
    REQUIRE(planReplicas(Input, Spec, {}, 1).empty());
  }
}

TEST_CASE("A model without an engine is loaded first, nearest copy first",
          "[planner]") {
  const EngineSpec Spec = spec(3);
  PlannerInput Input;
  Input.m_Engines = {engine(0, {model(0)}), engine(1, {model(0)})};
  Input.m_Engines[1].m_OnDisk = {model(1)};
  Input.m_StoreLoads = 4;
  const auto Moves = planReplicas(Input, Spec, {}, 4);
  REQUIRE(Moves.size() == 2);
  const auto OfOne =
      std::find_if(Moves.begin(), Moves.end(), [](const PlannedMove &Each) {
        return Each.m_Load == model(1);
      });
  REQUIRE(OfOne->m_Engine == "e1");
  REQUIRE(OfOne->m_Source == LoadSource::Disk);
  REQUIRE(OfOne->m_Reason == PlanReason::NotResident);
}

TEST_CASE("A serving replica is not evicted while the only other still loads",
          "[planner]") {
  const EngineSpec Spec = spec(4);
  PlannerInput Input;
  Input.m_Engines = {engine(0, {model(0), model(1), model(2)}),
                     engine(1, {model(0), model(3)})};
  // Only the replica of the first model could go.
  Input.m_Engines[0].m_RecentlyLoaded = {model(1), model(2)};
  Input.m_Engines[1].m_Loading = {{model(0), 1000}};
  Input.m_Engines[1].m_Movable = false;
  Input.m_Demand = {{model(3), 3.0}};
  Input.m_StoreLoads = 4;
  REQUIRE(planReplicas(Input, Spec, {}, 4).empty());
  Input.m_Engines[1].m_Loading.clear();
  const auto Moves = planReplicas(Input, Spec, {}, 4);
  REQUIRE(Moves.size() == 1);
  REQUIRE(Moves.front().m_Evict == model(0));
}

TEST_CASE("A replica with demand that was just loaded is not evicted",
          "[planner]") {
  const EngineSpec Spec = spec(3);
  PlannerInput Input;
  Input.m_Engines = {engine(0, {model(0), model(1)}), engine(1, {model(0)}),
                     engine(2, {model(2)})};
  Input.m_Engines[0].m_Models.insert(model(2));
  Input.m_Engines[1].m_Movable = Input.m_Engines[2].m_Movable = false;
  Input.m_Engines[1].m_Models.insert(model(1));
  Input.m_Engines[0].m_Models.erase(model(1));
  Input.m_Demand = {{model(0), 0.2}, {model(1), 3.0}, {model(2), 0.2}};
  Input.m_Engines[0].m_Models = {model(0), model(2)};
  Input.m_Engines[0].m_OnDisk = {model(1)};
  EngineSpec Narrow = Spec;
  Narrow.m_WeightsMb = 150;
  const auto Before = planReplicas(Input, Narrow, {}, 1);
  REQUIRE(Before.size() == 1);
  REQUIRE_FALSE(Before.front().m_Evict.empty());
  Input.m_Engines[0].m_RecentlyLoaded = {Before.front().m_Evict};
  const auto After = planReplicas(Input, Narrow, {}, 1);
  REQUIRE((After.empty() || After.front().m_Evict != Before.front().m_Evict));
}

TEST_CASE("Busy models get replicas, and idle fleets stay as they are",
          "[planner]") {
  const EngineSpec Spec = spec(2);
  PlannerInput Input;
  Input.m_Engines = {engine(0, {model(0)}), engine(1, {model(1)})};
  Input.m_StoreLoads = 4;
  SECTION("idle") { REQUIRE(planReplicas(Input, Spec, {}, 4).empty()); }
  SECTION("busy") {
    Input.m_Demand = {{model(0), 1.2}};
    const auto Moves = planReplicas(Input, Spec, {}, 4);
    REQUIRE(Moves.size() == 1);
    REQUIRE(Moves.front().m_Engine == "e1");
    REQUIRE(Moves.front().m_Reason == PlanReason::DemandRose);
    REQUIRE(Moves.front().m_Gain > 0);
  }
  SECTION("a preference for few moves requires more gain") {
    Input.m_Demand = {{model(0), 0.75}};
    REQUIRE(planReplicas(Input, Spec, {}, 4).size() == 1);
    REQUIRE(planReplicas(Input, Spec, {.m_FewMoves = 1}, 4).empty());
  }
}

TEST_CASE("A replica on a busy engine is not evicted for that", "[planner]") {
  // Boxes send to the replica with less load; the one on the full engine does
  // no harm.
  const EngineSpec Spec = spec(4);
  PlannerInput Input;
  Input.m_Engines = {engine(0, {model(0), model(1), model(2)}),
                     engine(1, {model(0)}), engine(2, {model(3)})};
  Input.m_Demand = {{model(0), 1.2}, {model(1), 1.0}};
  Input.m_StoreLoads = 0;
  for (const PlannedMove &Move : planReplicas(Input, Spec, {}, 4))
    REQUIRE(Move.m_Evict != model(0));
}

TEST_CASE("A cold model does not displace a hot one", "[planner]") {
  // The cold model fits elsewhere, so the hot replica stays.
  const EngineSpec Spec = spec(7);
  PlannerInput Input;
  Input.m_Engines = {engine(0, {model(0), model(1), model(2)}),
                     engine(1, {model(0), model(3), model(4)}),
                     engine(2, {model(5), model(3)})};
  Input.m_Demand = {{model(0), 2.0}, {model(6), 0.01}};
  Input.m_StoreLoads = 4;
  const auto Moves = planReplicas(Input, Spec, {}, 1);
  REQUIRE(Moves.size() == 1);
  REQUIRE(Moves.front().m_Evict != model(0));
}

TEST_CASE("Replicas without demand are evicted to free memory", "[planner]") {
  const EngineSpec Spec = spec(4);
  PlannerInput Input;
  Input.m_Engines = {engine(0, {model(0), model(1), model(2)}),
                     engine(1, {model(0), model(3)})};
  SECTION("not while there is no demand at all") {
    REQUIRE(planReplicas(Input, Spec, {}, 4).empty());
  }
  SECTION("when other models have demand") {
    Input.m_Demand = {{model(3), 0.1}};
    const auto Moves = planReplicas(Input, Spec, {}, 4);
    REQUIRE(Moves.size() == 1);
    REQUIRE(Moves.front().m_Engine == "e0");
    REQUIRE(Moves.front().m_Evict == model(0));
    REQUIRE(Moves.front().m_Load.empty());
    REQUIRE(Moves.front().m_Reason == PlanReason::NotWanted);
  }
  SECTION("not while they have demand") {
    Input.m_Demand = {{model(0), 1.2}};
    REQUIRE(planReplicas(Input, Spec, {}, 4).empty());
  }
}

TEST_CASE("An engine with free memory is found among many full ones",
          "[planner]") {
  constexpr int Full = 30;
  const EngineSpec Spec = spec(3 * Full + 2);
  PlannerInput Input;
  for (int Number = 0; Number < Full; ++Number)
    Input.m_Engines.push_back(
        engine(Number, {model(3 * Number), model(3 * Number + 1),
                        model(3 * Number + 2)}));
  Input.m_Engines.push_back(engine(Full, {model(3 * Full)}));
  Input.m_StoreLoads = 4;
  const auto Moves = planReplicas(Input, Spec, {}, 4);
  REQUIRE(Moves.size() == 1);
  REQUIRE(Moves.front().m_Load == model(3 * Full + 1));
  REQUIRE(Moves.front().m_Engine == "e" + std::to_string(Full));
}

TEST_CASE("A slow weight store makes moves later and less attractive",
          "[planner]") {
  const EngineSpec Spec = [] {
    EngineSpec Result = spec(2);
    for (ModelSpec &Each : Result.m_Models)
      Each.m_StoreLoad = 5s;
    return Result;
  }();
  PlannerInput Input;
  Input.m_Engines = {engine(0, {model(0)}), engine(1, {model(1)})};
  Input.m_Demand = {{model(0), 1.4}};
  Input.m_StoreLoads = 4;
  const auto Moves = planReplicas(Input, Spec, {}, 1);
  REQUIRE(Moves.size() == 1);
  REQUIRE(Moves.front().m_ServesInMs == Approx(5000));
  Input.m_StoreSlowness = 2;
  const auto Later = planReplicas(Input, Spec, {}, 1);
  REQUIRE(Later.size() == 1);
  REQUIRE(Later.front().m_ServesInMs == Approx(10000));
  REQUIRE(Later.front().m_Gain < Moves.front().m_Gain);
  Input.m_StoreSlowness = 3;
  REQUIRE(planReplicas(Input, Spec, {}, 1).empty());
}

TEST_CASE("An idle replica is evicted rather than a busy one", "[planner]") {
  EngineSpec Spec = spec(6);
  Spec.m_Slots = 48;
  for (ModelSpec &Model : Spec.m_Models)
    Model.m_StoreLoad = 6s;
  PlannerInput Input;
  Input.m_Engines = {engine(0, {model(0), model(1), model(4)}),
                     engine(1, {model(0), model(2), model(5)}),
                     engine(2, {model(2), model(3), model(1)})};
  Input.m_Engines[2].m_Movable = false;
  Input.m_Demand = {{model(3), 2.5}, {model(1), 0.12}};
  Input.m_StoreLoads = 4;
  const auto Moves = planReplicas(Input, Spec, {}, 1);
  REQUIRE(Moves.size() == 1);
  REQUIRE(Moves.front().m_Load == model(3));
  REQUIRE(Moves.front().m_Evict != model(1));
}

TEST_CASE("A model whose first replica loads slowly gets a faster one",
          "[planner]") {
  EngineSpec Spec = spec(2);
  Spec.m_Models[1].m_StoreLoad = 6s;
  Spec.m_Models[1].m_DiskLoad = 1s;
  PlannerInput Input;
  Input.m_Engines = {engine(0, {model(0), model(1)}), engine(1, {model(0)})};
  Input.m_Engines[0].m_Loading = {{model(1), 10000}};
  Input.m_Engines[0].m_Movable = false;
  Input.m_Engines[1].m_OnDisk = {model(1)};
  Input.m_Demand = {{model(1), 0.3}};
  const auto Moves = planReplicas(Input, Spec, {}, 1);
  REQUIRE(Moves.size() == 1);
  REQUIRE(Moves.front().m_Load == model(1));
  Input.m_Engines[0].m_Loading.clear();
  REQUIRE(planReplicas(Input, Spec, {}, 1).empty());
}

TEST_CASE("A hot model gets its second replica in another data centre",
          "[planner][evacuation]") {
  const EngineSpec Spec = spec(1);
  PlannerInput Input;
  for (int Number = 0; Number < 4; ++Number) {
    Input.m_Engines.push_back(engine(Number, {}));
    Input.m_Engines.back().m_DataCentre =
        DataCentreName(Number < 3 ? "x" : "y");
  }
  Input.m_Engines[0].m_Models.insert(model(0));
  Input.m_Demand[model(0)] = 0.3;
  Input.m_StoreLoads = 4;
  PlannerOptions Opts;
  SECTION("though its replica has little load") {
    Opts.m_SpreadWorth = 0.1;
    const auto Moves = planReplicas(Input, Spec, Opts, 4);
    REQUIRE(Moves.size() == 1);
    REQUIRE(Moves[0].m_Engine == "e3");
    REQUIRE(Moves[0].m_Load == model(0));
  }
  SECTION("but not without a weight") {
    Opts.m_SpreadWorth = 0;
    REQUIRE(planReplicas(Input, Spec, Opts, 4).empty());
  }
  SECTION("nor when all engines stand in one data centre") {
    Opts.m_SpreadWorth = 0.1;
    for (PlannedEngine &Each : Input.m_Engines)
      Each.m_DataCentre = DataCentreName("x");
    REQUIRE(planReplicas(Input, Spec, Opts, 4).empty());
  }
}

TEST_CASE("Models of a lost data centre are loaded again, the hottest first",
          "[planner][evacuation]") {
  const EngineSpec Spec = spec(2);
  PlannerInput Input;
  Input.m_Engines = {engine(0, {model(0), model(1)}), engine(1, {})};
  Input.m_Engines[0].m_Leaving = true;
  Input.m_Demand = {{model(0), 0.2}, {model(1), 0.6}};
  Input.m_StoreLoads = 1;
  const auto Moves = planReplicas(Input, Spec, {}, 4);
  REQUIRE(Moves.size() == 1);
  REQUIRE(Moves[0].m_Engine == "e1");
  REQUIRE(Moves[0].m_Load == model(1));
}
