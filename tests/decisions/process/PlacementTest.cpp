#include "decisions/process/Placement.h"
#include "support/Draw.h"
#include "support/Names.h"
#include "support/ProofTable.h"

using namespace havenstair;

namespace {

constexpr MemoryMiB EngineMemory = 100;

/// Simulated engines that carry out every move for which they have memory.
class Cluster {
public:
  explicit Cluster(int Engines) {
    for (int Number = 0; Number < Engines; ++Number)
      m_Input.m_Engines.push_back({.m_Upstream = upstreamName(Number),
                                   .m_Ready = true,
                                   .m_Available = EngineMemory});
    m_Input.m_Catalogue = &m_Models;
  }

  void addModel(int Number, MemoryMiB Size, int Base = -1) {
    const ArtifactName Name = modelName(Number);
    m_Models.m_Entries[Name] = {.m_Name = Name,
                                .m_Size = Size,
                                .m_Base = Base < 0 ? ArtifactName()
                                                   : modelName(Base)};
    m_Input.m_Callable.insert(Name);
  }

  /// Plans, and carries the moves out. \returns the moves that were possible.
  std::vector<Move> round() {
    m_Now += 1s;
    std::vector<Move> Made;
    for (const Move &Each : m_Policy.plan(m_Input, m_Now))
      if (carryOut(Each))
        Made.push_back(Each);
    for (EngineView &Engine : m_Input.m_Engines)
      for (const auto &[Name, Size] : Engine.m_Held)
        Engine.m_Serving.insert(Name);
    return Made;
  }

  int copiesOf(const ArtifactName &Name) const {
    int Count = 0;
    for (const EngineView &Engine : m_Input.m_Engines)
      Count += static_cast<int>(Engine.m_Serving.count(Name));
    return Count;
  }

  std::uint64_t uncovered() const {
    std::uint64_t Count = 0;
    for (const ArtifactName &Name : m_Input.m_Callable)
      Count += copiesOf(Name) == 0 ? 1 : 0;
    return Count;
  }

  void killEngine(std::size_t Index) {
    m_Input.m_Engines.erase(m_Input.m_Engines.begin() +
                            static_cast<std::ptrdiff_t>(Index));
  }

  PlacementInput m_Input;
  Catalogue m_Models;

private:
  bool carryOut(const Move &Wanted) {
    for (EngineView &Engine : m_Input.m_Engines) {
      if (Engine.m_Upstream != Wanted.m_Upstream)
        continue;
      if (Wanted.m_Verb == MoveVerb::Unload) {
        Engine.m_Available += Wanted.m_Size;
        Engine.m_Serving.erase(Wanted.m_Artifact);
        return Engine.m_Held.erase(Wanted.m_Artifact) == 1;
      }
      if (Engine.m_Available < Wanted.m_Size)
        return false;
      Engine.m_Available -= Wanted.m_Size;
      return Engine.m_Held.emplace(Wanted.m_Artifact, Wanted.m_Size).second;
    }
    return false;
  }

  Placement m_Policy{Placement::forPreference(0)};
  TimePoint m_Now = at(0us);
};

} // namespace

TEST_CASE("Every callable model gets a copy, and an adapter its base",
          "[placement]") {
  Cluster Fleet(2);
  Fleet.addModel(0, 60);
  Fleet.addModel(1, 50);
  Fleet.addModel(2, 10, 1);
  for (int Count = 0; Count < 3; ++Count)
    Fleet.round();
  REQUIRE(Fleet.uncovered() == 0);
  for (const EngineView &Engine : Fleet.m_Input.m_Engines)
    if (Engine.m_Serving.count(modelName(2)) != 0)
      REQUIRE(Engine.m_Serving.count(modelName(1)) != 0);
}

TEST_CASE("A model finds room together with its adapters", "[placement]") {
  Cluster Fleet(2);
  // By size alone the model of 45 could go beside the first of 50, which would
  // leave no room for the adapter on the only engine with its base.
  Fleet.addModel(0, 50);
  Fleet.addModel(1, 45, 0);
  Fleet.addModel(2, 50);
  Fleet.addModel(3, 45);
  for (int Count = 0; Count < 4; ++Count)
    Fleet.round();
  REQUIRE(Fleet.uncovered() == 0);
}

TEST_CASE("A base that only its adapter needs is loaded for that reason",
          "[placement]") {
  Cluster Fleet(1);
  Fleet.addModel(0, 50);
  Fleet.addModel(1, 10, 0);
  Fleet.m_Input.m_Callable.erase(modelName(0));
  const std::vector<Move> Moves = Fleet.round();
  REQUIRE(Moves.size() == 2);
  REQUIRE(Moves.at(0).m_Reason == MoveReason::AdapterBase);
  REQUIRE(Moves.at(1).m_Reason == MoveReason::Coverage);
}

TEST_CASE("No moves are planned once every model is served", "[placement]") {
  Cluster Fleet(3);
  Fleet.addModel(0, 60);
  Fleet.addModel(1, 60);
  Fleet.round();
  for (int Count = 0; Count < 20; ++Count)
    REQUIRE(Fleet.round().empty());
}

TEST_CASE("A busy model gets a further copy, with its reason", "[placement]") {
  Cluster Fleet(2);
  Fleet.addModel(0, 40);
  Fleet.round();
  Fleet.m_Input.m_Demand[modelName(0)] = 8;
  for (EngineView &Engine : Fleet.m_Input.m_Engines)
    Engine.m_Pressure = Engine.m_Serving.empty() ? 0 : 2;
  std::vector<Move> Moves;
  for (int Count = 0; Count < 3 && Moves.empty(); ++Count)
    Moves = Fleet.round();
  REQUIRE(Moves.size() == 1);
  REQUIRE(Moves.at(0).m_Reason == MoveReason::Demand);
  REQUIRE_FALSE(Moves.at(0).m_Explanation.empty());
  REQUIRE(Fleet.copiesOf(modelName(0)) == 2);
}

TEST_CASE("The last copy of a callable model is never unloaded",
          "[placement][proof]") {
  const std::string Point = "2 reach, copies under bursts and lost engines";
  rc::prop(Point, [&] {
    const int Engines = *drawn(2, 5);
    Cluster Fleet(Engines);
    // At most two models, of about half an engine each, for every engine but
    // one, so that one engine may be lost.
    const int Models = *drawn(1, 2 * (Engines - 1) + 1);
    for (int Number = 0; Number < Models; ++Number)
      Fleet.addModel(Number, *drawn(10, 51));
    for (int Count = 0; Count < 4; ++Count)
      Fleet.round();
    std::uint64_t Violations = Fleet.uncovered();
    std::uint64_t Faults = 0;
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        30, rc::gen::pair(drawn(0, 8), drawn(0, 100)));
    bool Lost = false;
    for (const auto &[Which, Size] : Steps) {
      Fleet.m_Input.m_Demand[modelName(Which)] = Size;
      for (EngineView &Engine : Fleet.m_Input.m_Engines)
        Engine.m_Pressure =
            Engine.m_Serving.count(modelName(Which)) != 0 ? Size / 20.0 : 0.1;
      if (Which == 7 && !Lost) {
        Lost = true;
        ++Faults;
        Fleet.killEngine(0);
        for (int Count = 0; Count < 4; ++Count)
          Fleet.round();
        Violations += Fleet.uncovered();
        continue;
      }
      Fleet.round();
      Violations += Fleet.uncovered();
    }
    ProofTable::instance().add(Point, Faults, Violations);
    RC_ASSERT(Violations == 0U);
  });
}
