#include "decisions/request/ReplicaChoice.h"
#include "support/Draw.h"
#include "support/Names.h"

using namespace havenstair;

namespace {

UpstreamInstance engine(const std::string &Id, const std::string &Zone = "a") {
  UpstreamInstance Result;
  Result.m_Id = Id;
  Result.m_Zone = Zone;
  Result.m_Slots = 64;
  return Result;
}

RequestDescriptor prompt(int Shared, int Own) {
  RequestDescriptor Result;
  Result.m_Model = "m";
  Result.m_PromptTokens = Shared + Own;
  Result.m_Prompt = {{"shared", Shared}, {"own", Own}};
  return Result;
}

struct Books {
  LoadBook m_Loads;
  PrefixIndex m_Prefixes{1e6};
  LatencyModel m_Latency;
  FailureBook m_Failures;
  DataCentreMap m_DataCentres;
  WarmUpView m_WarmUp;
  UpstreamSignals m_Words;
  SendBounds m_Bounds{m_WarmUp, m_Words};

  std::optional<ChosenReplica>
  choose(const std::vector<const UpstreamInstance *> &Candidates,
         const RequestDescriptor &Request, double Tie = 0) const {
    return chooseReplica(Candidates, Request, "a",
                         {.m_Loads = m_Loads,
                          .m_Prefixes = m_Prefixes,
                          .m_Latency = m_Latency,
                          .m_Failures = m_Failures,
                          .m_DataCentres = m_DataCentres,
                          .m_Bounds = &m_Bounds},
                         {}, Tie, at(1s));
  }
};

} // namespace

TEST_CASE("Nothing is chosen from nothing", "[choice]") {
  REQUIRE_FALSE(Books().choose({}, prompt(0, 10)));
}

TEST_CASE("The upstream with less work ahead is chosen", "[choice]") {
  Books Known;
  const auto A = engine("a"), B = engine("b");
  Known.m_Loads.sent("a", 500, 100);
  REQUIRE(Known.choose({&A, &B}, prompt(0, 100))->m_Instance == &B);
}

TEST_CASE("What other boxes tell counts like what this box sent", "[choice]") {
  Books Known;
  const auto A = engine("a"), B = engine("b");
  Known.m_Loads.told(boxName(1), {{"a", {.m_Running = 1, .m_PendingMs = 500}}},
                     at(900ms));
  REQUIRE(Known.choose({&A, &B}, prompt(0, 100))->m_Instance == &B);
}

TEST_CASE("An engine that has read the shared parts is preferred", "[choice]") {
  Books Known;
  const auto A = engine("a"), B = engine("b");
  const bool First = GENERATE(true, false);
  const auto &Reader = First ? A : B;
  RequestDescriptor Earlier = prompt(8000, 10);
  Earlier.m_Prompt.back().m_Id = "other";
  Known.m_Prefixes.recordRead(Reader.m_Id, Earlier);
  REQUIRE(Known.choose({&A, &B}, prompt(8000, 1000))->m_Instance == &Reader);
}

TEST_CASE("All boxes prefer the same engine for the same shared parts",
          "[choice][property]") {
  rc::prop("agreement", [] {
    std::vector<UpstreamInstance> Engines;
    for (int Index = 0; Index < *drawn(2, 7); ++Index)
      Engines.push_back(engine("engine-" + std::to_string(Index)));
    std::vector<const UpstreamInstance *> Candidates;
    for (const UpstreamInstance &Each : Engines)
      Candidates.push_back(&Each);
    RequestDescriptor Request = prompt(9000, 100);
    Request.m_Prompt.front().m_Id = *rc::gen::arbitrary<std::string>();
    const auto One = Books().choose(Candidates, Request, 0.1);
    const auto Other = Books().choose(Candidates, Request, 0.9);
    RC_ASSERT(One->m_Instance == Other->m_Instance);
  });
}

TEST_CASE("An upstream that fails is left until it is judged again",
          "[choice]") {
  Books Known;
  const auto A = engine("a"), B = engine("b", "z");
  REQUIRE(Known.choose({&A, &B}, prompt(0, 100))->m_Instance == &A);
  Known.m_Failures.unreachable("a", at(1s));
  REQUIRE(Known.choose({&A, &B}, prompt(0, 100))->m_Instance == &B);
  REQUIRE(Known.m_Failures.rate("a", at(60s)) < 0.01);
}

TEST_CASE("A long prompt keeps away from running streams", "[choice]") {
  Books Known;
  const auto A = engine("a"), B = engine("b", "z");
  for (int Count = 0; Count < 10; ++Count)
    Known.m_Loads.sent("a", 0, 100);
  REQUIRE(Known.choose({&A, &B}, prompt(0, 30000))->m_Instance == &B);
}

TEST_CASE("Distance costs by its class", "[choice][regions]") {
  Books Known;
  Known.m_DataCentres = DataCentreMap({{DataCentreName("a"), RegionName("n")},
                                       {DataCentreName("b"), RegionName("n")},
                                       {DataCentreName("c"), RegionName("s")}});
  const auto Own = engine("own", "a"), Near = engine("near", "b"),
             Far = engine("far", "c"), Unknown = engine("unknown", "x");
  RequestDescriptor Plain;
  const auto Cost = [&](const UpstreamInstance &Of) {
    return Known.choose({&Of}, Plain)->m_CostMs;
  };
  const ReplicaWeights Weights;
  REQUIRE(Cost(Near) - Cost(Own) == Approx(Weights.m_OtherZoneMs));
  REQUIRE(Cost(Far) - Cost(Own) == Approx(Weights.m_OtherRegionMs));
  REQUIRE(Cost(Unknown) == Approx(Cost(Near)));
  SECTION("the region's own server is taken while it costs less") {
    Known.m_Loads.sent("near", 10, 10);
    REQUIRE(Known.choose({&Near, &Far}, Plain)->m_Instance == &Near);
    Known.m_Loads.sent("near", 10000, 10);
    REQUIRE(Known.choose({&Near, &Far}, Plain)->m_Instance == &Far);
  }
}

TEST_CASE("A cold engine is chosen where warm ones would be later by more than "
          "its rate and the wait for a permit",
          "[choice][warmup]") {
  Books Known;
  ServiceSpec Service;
  Service.m_Name = "s";
  Service.m_WarmUp = {.m_ColdTime = 60s, .m_RequestsPerSecond = 10};
  Known.m_WarmUp.configure({Service});
  UpstreamInstance Cold = engine("cold");
  UpstreamInstance Warm = engine("warm");
  Cold.m_Service = Warm.m_Service = "s";
  Cold.m_ColdFor = 60s;
  Known.m_WarmUp.update(
      {.m_Revision = 1, .m_Instances = {{"cold", Cold}, {"warm", Warm}}},
      at(1s));
  const auto Chosen = [&] {
    return Known.choose({&Cold, &Warm}, prompt(0, 10))->m_Instance->m_Id;
  };
  Known.m_Loads.sent("warm", 60, 10);
  REQUIRE(Chosen() == "warm");
  Known.m_Loads.sent("warm", 120, 10);
  REQUIRE(Chosen() == "cold");
  Known.m_Bounds.recordNextPermit("cold", at(1s) + 900ms, at(1s));
  REQUIRE(Chosen() == "warm");
}

TEST_CASE("A server that names a limit is chosen like others while a permit is "
          "to be had",
          "[choice][server-limit]") {
  Books Known;
  const UpstreamInstance Limited = engine("limited");
  const UpstreamInstance Whole = engine("whole");
  Known.m_Words.mergeLimit(Limited.incarnation(), 1, BoxName("b"), 0s, at(1s));
  const auto Chosen = [&] {
    return *Known.choose({&Limited, &Whole}, prompt(0, 10));
  };
  REQUIRE(Chosen().m_Instance == &Whole);
  Known.m_Loads.sent("whole", 20, 10);
  REQUIRE(Chosen().m_Instance == &Limited);
  REQUIRE(Chosen().m_Limited);
  REQUIRE(Chosen().m_SpareMs.value() > 0);
  REQUIRE(Chosen().m_SpareMs.value() < 25);
  Known.m_Bounds.recordNextPermit("limited", at(1s) + 100ms, at(1s));
  REQUIRE(Chosen().m_Instance == &Whole);
  SECTION("alone it has no other to be compared with") {
    REQUIRE_FALSE(Known.choose({&Limited}, prompt(0, 10))->m_SpareMs);
  }
}
