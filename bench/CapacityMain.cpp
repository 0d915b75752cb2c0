/// \file
/// `make bench`, third table: what the state of one data centre costs, at
/// three sizes or more. docs/CAPACITY.md is worked out from these slopes.
#include "decisions/process/GroupLimiter.h"
#include "decisions/process/IdempotencyRegistry.h"
#include "decisions/process/Placement.h"
#include "decisions/process/ReplicaPlanner.h"
#include "decisions/process/RequestLog.h"
#include "decisions/process/UpstreamDirectory.h"
#include "decisions/request/Router.h"
#include "decisions/request/UpstreamAdmission.h"
#include "decisions/version/Assignment.h"
#include "decisions/version/Table.h"
#include "wire/common/EventLoop.h"
#include "wire/common/Json.h"
#include "wire/connection/PeerFrames.h"
#include "wire/version/TableJson.h"

#include <cstdio>
#include <functional>
#include <malloc.h>
#include <optional>

namespace {

using namespace havenstair;

/// Size of one data centre's state.
struct Size {
  int m_Boxes;
  int m_Upstreams;
  int m_Models;
  int m_Groups;
};

ArtifactName modelName(int Number) {
  return ArtifactName("model-" + std::to_string(Number));
}
GroupName groupName(int Number) {
  return GroupName("group-" + std::to_string(Number));
}
UpstreamName upstreamName(int Number) {
  return UpstreamName("runner-" + std::to_string(Number));
}

std::size_t bytesInUse() { return mallinfo2().uordblks; }

/// Median over rounds of the time of one call, in microseconds.
double microsPerCall(int Calls, const std::function<void(int)> &Call) {
  std::vector<double> Rounds;
  for (int Round = 0; Round < 5; ++Round) {
    const TimePoint Began = EventLoop::now();
    for (int Number = 0; Number < Calls; ++Number)
      Call(Number);
    const Duration Took = EventLoop::now() - Began;
    Rounds.push_back(static_cast<double>(Took.count()) / Calls);
  }
  std::sort(Rounds.begin(), Rounds.end());
  return Rounds[Rounds.size() / 2];
}

void print(const char *What, const Size &Of, double Value, const char *Unit) {
  std::printf("%-44s %6d %10d %7d %7d %12.2f %s\n", What, Of.m_Boxes,
              Of.m_Upstreams, Of.m_Models, Of.m_Groups, Value, Unit);
}

GroupRow makeRow(const Size &Of, int Number) {
  GroupRow Row{.m_Group = groupName(Number)};
  Row.m_Version = static_cast<TableVersion>(Number + 2);
  Row.m_KeyHashes = {std::string(56, 'a') + std::to_string(10000000 + Number)};
  // Ten models for each group, spread over all of them.
  for (int Model = 0; Model < 10; ++Model)
    Row.m_Artifacts.insert(modelName((Number * 7 + Model * 13) % Of.m_Models));
  return Row;
}

Catalogue makeCatalogue(const Size &Of) {
  Catalogue Models;
  Models.m_Version = 1;
  for (int Number = 0; Number < Of.m_Models; ++Number)
    Models.m_Entries[modelName(Number)] = {.m_Name = modelName(Number),
                                           .m_Size = 14000};
  return Models;
}

Table makeTable(const Size &Of) {
  Table Made;
  Made.apply(makeCatalogue(Of));
  for (int Number = 0; Number < Of.m_Groups; ++Number)
    Made.apply(makeRow(Of, Number));
  return Made;
}

UpstreamDigest makeDigest(const Size &Of, int Number, std::uint64_t Sequence) {
  UpstreamDigest Digest;
  Digest.m_Upstream = upstreamName(Number);
  Digest.m_Assignment = 1;
  Digest.m_Sequence = Sequence;
  Digest.m_Ready = true;
  const int Each = Of.m_Models / Of.m_Upstreams + 1;
  for (int Model = 0; Model < Each; ++Model) {
    const ArtifactName Name =
        modelName((Number + Model * Of.m_Upstreams) % Of.m_Models);
    Digest.m_Serving.insert(Name);
    Digest.m_Held[Name] = 14000;
  }
  Digest.m_Available = 80000 - 14000 * Each;
  Digest.m_Load = {static_cast<int>(Sequence) % 8, 0, 8, 0};
  return Digest;
}

UpstreamList makeList(const Size &Of) {
  UpstreamList List{.m_Index = 1, .m_Upstreams = {}};
  for (int Number = 0; Number < Of.m_Upstreams; ++Number)
    List.m_Upstreams.push_back({.m_Name = upstreamName(Number),
                                .m_Address = "10.0.0.1",
                                .m_Port = 8000,
                                .m_Slots = 8,
                                .m_Capacity = 80000});
  return List;
}

UpstreamDirectory makeDirectory(const Size &Of) {
  UpstreamDirectory Made;
  Made.apply(makeList(Of));
  for (int Number = 0; Number < Of.m_Upstreams; ++Number)
    Made.apply(makeDigest(Of, Number, 1));
  return Made;
}

Assignment makeAssignment(const Size &Of) {
  std::vector<BoxName> Boxes;
  for (int Number = 0; Number < Of.m_Boxes; ++Number)
    Boxes.emplace_back("box-" + std::to_string(Number) + "~0123abcd");
  std::vector<UpstreamName> Upstreams;
  for (int Number = 0; Number < Of.m_Upstreams; ++Number)
    Upstreams.push_back(upstreamName(Number));
  return *nextAssignment({}, Boxes, Upstreams);
}

template <typename Make>
void measureMemory(const char *What, const Size &Of, const Make &Made) {
  const std::size_t Before = bytesInUse();
  const auto Held = Made();
  print(What, Of, static_cast<double>(bytesInUse() - Before) / 1024, "KiB");
}

void measureState(const Size &Of) {
  measureMemory("table and catalogue, memory", Of,
                [&] { return makeTable(Of); });
  measureMemory("directory of upstreams, memory", Of,
                [&] { return makeDirectory(Of); });
  measureMemory("assignment, memory", Of, [&] { return makeAssignment(Of); });
  measureMemory("request log of 4096, memory", Of, [] {
    RequestLog Log(4096);
    for (int Number = 0; Number < 4096; ++Number)
      Log.begin({.m_Id = RequestId("box-1~0123abcd-" + std::to_string(Number)),
                 .m_Group = groupName(1),
                 .m_Target = "model-1",
                 .m_Attempts = {{upstreamName(1), BoxName("box-1~0123abcd")}}});
    return Log;
  });
}

void measureRequests(const Size &Of) {
  UpstreamDirectory Directory = makeDirectory(Of);
  const RoutingHook Route = defaultRouting();
  print("entry: candidates and choice, time", Of,
        microsPerCall(20000,
                      [&](int Number) {
                        const auto All = Directory.serving(
                            modelName(Number % Of.m_Models), {});
                        Route(All, static_cast<std::uint64_t>(Number));
                      }),
        "us");
  const Table Rows = makeTable(Of);
  print("entry: key to row, time", Of,
        microsPerCall(20000,
                      [&](int Number) {
                        Rows.findByKeyHash(
                            std::string(56, 'a') +
                            std::to_string(10000000 + Number % Of.m_Groups));
                      }),
        "us");
  UpstreamAdmission Admission(
      {.m_Slots = 8, .m_WeightOf = [](const auto &) { return 1.0; }});
  TimePoint Now{};
  print("owner: offer and finish, time", Of,
        microsPerCall(20000,
                      [&](int Number) {
                        Now += 1ms;
                        const RequestId Id(std::to_string(Number));
                        Admission.offer({.m_Id = Id,
                                         .m_Group = groupName(Number % 16),
                                         .m_Deadline = Now + 1s},
                                        Now);
                        Admission.finished(Id, 10, Now);
                      }),
        "us");
}

void measureControl(const Size &Of) {
  UpstreamDirectory Directory = makeDirectory(Of);
  std::uint64_t Sequence = 1;
  print("digest of one upstream: apply, time", Of,
        microsPerCall(2000,
                      [&](int Number) {
                        Directory.apply(makeDigest(Of, Number % Of.m_Upstreams,
                                                   ++Sequence));
                      }),
        "us");
  DigestFrame Whole;
  const int Owned = Of.m_Upstreams / Of.m_Boxes + 1;
  for (int Number = 0; Number < Owned; ++Number)
    Whole.m_Upstreams.push_back(makeDigest(Of, Number, 7));
  const std::string Bytes = encodeFrame(Whole);
  print("whole digest of one box, bytes", Of, static_cast<double>(Bytes.size()),
        "B");
  print("whole digest of one box, encode", Of,
        microsPerCall(200, [&](int) { encodeFrame(Whole); }), "us");
  print("whole digest of one box, decode", Of,
        microsPerCall(200, [&](int) { decodeFrame(Bytes); }), "us");
  DigestFrame Usual;
  Usual.m_AssignmentSeen = 1234;
  Usual.m_TableCompleteTo = 1234567;
  print("digest without news, bytes", Of,
        static_cast<double>(encodeFrame(Usual).size()), "B");
  for (int Number = 0; Number < Owned; ++Number)
    Usual.m_Loads.push_back({.m_Place = Number * Of.m_Boxes,
                             .m_Load = {.m_Running = 7, .m_Waiting = 2}});
  const std::string UsualBytes = encodeFrame(Usual);
  print("digest with all loads changed, bytes", Of,
        static_cast<double>(UsualBytes.size()), "B");
  print("digest with all loads changed, encode", Of,
        microsPerCall(200, [&](int) { encodeFrame(Usual); }), "us");
  print("digest with all loads changed, decode", Of,
        microsPerCall(200, [&](int) { decodeFrame(UsualBytes); }), "us");
  const Assignment Current = makeAssignment(Of);
  print("assignment document, bytes", Of,
        static_cast<double>(dumpJson(toJson(Current)).size()), "B");
  std::vector<BoxName> Fewer(Current.m_Boxes.begin() + 1,
                             Current.m_Boxes.end());
  std::vector<UpstreamName> Upstreams;
  for (const auto &[Name, Box] : Current.m_OwnerOf)
    Upstreams.push_back(Name);
  print("next assignment without one box, time", Of,
        microsPerCall(20,
                      [&](int) { nextAssignment(Current, Fewer, Upstreams); }),
        "us");
}

void measureTable(const Size &Of) {
  Table Rows = makeTable(Of);
  TableVersion Version = 1000000;
  print("one edit: apply, time", Of,
        microsPerCall(2000,
                      [&](int Number) {
                        GroupRow Row = makeRow(Of, Number % Of.m_Groups);
                        Row.m_Version = ++Version;
                        Rows.apply(Row);
                      }),
        "us");
  print("one row, bytes", Of,
        static_cast<double>(dumpJson(toJson(makeRow(Of, 1))).size()), "B");
  Capacity Engines;
  Engines.m_Engines.assign(static_cast<std::size_t>(Of.m_Upstreams), 72000);
  print("one edit: check of the whole table, time", Of,
        microsPerCall(3, [&](int) { checkRow(Rows, makeRow(Of, 1), Engines); }),
        "us");
}

void measurePlanner(const Size &Of) {
  const Table Rows = makeTable(Of);
  PlacementInput Input;
  for (int Number = 0; Number < Of.m_Upstreams; ++Number) {
    const UpstreamDigest Digest = makeDigest(Of, Number, 1);
    Input.m_Engines.push_back({.m_Upstream = Digest.m_Upstream,
                               .m_Ready = true,
                               .m_Available = Digest.m_Available,
                               .m_Held = Digest.m_Held,
                               .m_Serving = Digest.m_Serving,
                               .m_Pressure = 0.5});
  }
  Input.m_Callable = Rows.callableArtifacts();
  Input.m_Catalogue = &Rows.catalogue();
  for (int Number = 0; Number < Of.m_Models; ++Number)
    Input.m_Demand[modelName(Number)] = 1;
  Placement Policy(Placement::forPreference(0));
  TimePoint Now{};
  print("planner: one plan, time", Of,
        microsPerCall(5,
                      [&](int) {
                        Now += 500ms;
                        Policy.plan(Input, Now);
                      }),
        "us");
}

/// Engines that hold three models each, of \p Models whose demand falls with
/// their rank, and some that callers wait for.
PlannerInput replicaInput(int Engines, int Models) {
  PlannerInput Input;
  for (int Number = 0; Number < Engines; ++Number) {
    PlannedEngine Engine;
    Engine.m_Id = upstreamName(Number).str();
    for (int Place = 0; Place < 3; ++Place)
      Engine.m_Models.insert(
          modelName((Number * 2 + Place * 7) % Models).str());
    Engine.m_InMemory = Engine.m_OnDisk = Engine.m_Models;
    Input.m_Engines.push_back(std::move(Engine));
  }
  for (int Rank = 0; Rank < Models; ++Rank) {
    Input.m_Demand[modelName(Rank).str()] = 0.1 * Engines / (Rank + 2);
    Input.m_Usual[modelName(Rank).str()] = 0.02 * Engines / (Rank + 2);
  }
  for (int Rank = 30; Rank < 34; ++Rank)
    Input.m_Awaited.insert(modelName(Rank).str());
  Input.m_StoreLoads = 10;
  return Input;
}

/// 0.5, 6.9 and 15 ms a plan; 1.1, 36 and 181 ms with ordered maps and searched
/// lists of models.
void measureReplicas() {
  constexpr std::size_t Moves = 6;
  for (const auto &[Engines, Models] :
       {std::pair{18, 39}, std::pair{90, 166}, std::pair{240, 399}}) {
    EngineSpec Spec{.m_Slots = 64,
                    .m_WeightsMb = 220000,
                    .m_AdapterCapacity = 8,
                    .m_LoadsPerSecond = 13};
    for (int Number = 0; Number < Models; ++Number)
      Spec.m_Models.push_back({.m_Name = modelName(Number).str(),
                               .m_SizeMb = 72700,
                               .m_StoreLoad = 4s,
                               .m_DiskLoad = 800ms,
                               .m_MemoryLoad = 400ms});
    const PlannerInput Input = replicaInput(Engines, Models);
    print("order giver: one plan of replicas, time",
          Size{1, Engines, Models, 0},
          microsPerCall(3, [&](int) { planReplicas(Input, Spec, {}, Moves); }),
          "us");
  }
}

} // namespace

int main() {
  std::printf("%-44s %6s %10s %7s %7s %12s\n", "measure", "boxes", "upstreams",
              "models", "groups", "value");
  for (const Size &Each : {Size{6, 132, 425, 250}, Size{12, 265, 850, 500},
                           Size{24, 530, 1700, 1000}}) {
    measureState(Each);
    measureRequests(Each);
    measureControl(Each);
    measureTable(Each);
    measurePlanner(Each);
  }
  measureReplicas();
  return 0;
}
