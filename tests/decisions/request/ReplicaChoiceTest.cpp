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

struct UpstreamStats {
  LoadTracker m_Loads;
  PrefixIndex m_Prefixes{1e6};
  LatencyModel m_Latency;
  FailureTracker m_Failures;
  DataCentreMap m_DataCentres;
  WarmUpView m_WarmUp;
  UpstreamSignals m_Signals;
  SendBounds m_Bounds{m_WarmUp, m_Signals};

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

TEST_CASE("Without candidates nothing is chosen", "[choice]") {
  REQUIRE_FALSE(UpstreamStats().choose({}, prompt(0, 10)));
}

TEST_CASE("The upstream with less work ahead is chosen", "[choice]") {
  UpstreamStats Stats;
  const auto A = engine("a"), B = engine("b");
  Stats.m_Loads.onSent("a", 500, 100);
  REQUIRE(Stats.choose({&A, &B}, prompt(0, 100))->m_Instance == &B);
}

TEST_CASE("Load that other boxes report counts like load that this box sent",
          "[choice]") {
  UpstreamStats Stats;
  const auto A = engine("a"), B = engine("b");
  Stats.m_Loads.receiveLoads(
      boxName(1), {{"a", {.m_Running = 1, .m_PendingMs = 500}}}, at(900ms));
  REQUIRE(Stats.choose({&A, &B}, prompt(0, 100))->m_Instance == &B);
}

TEST_CASE(
    "An engine that has the shared parts in its prefix cache is preferred",
    "[choice]") {
  UpstreamStats Stats;
  const auto A = engine("a"), B = engine("b");
  const bool First = GENERATE(true, false);
  const auto &Cached = First ? A : B;
  RequestDescriptor Earlier = prompt(8000, 10);
  Earlier.m_Prompt.back().m_Id = "other";
  Stats.m_Prefixes.recordRead(Cached.m_Id, Earlier);
  REQUIRE(Stats.choose({&A, &B}, prompt(8000, 1000))->m_Instance == &Cached);
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
    const auto One = UpstreamStats().choose(Candidates, Request, 0.1);
    const auto Other = UpstreamStats().choose(Candidates, Request, 0.9);
    RC_ASSERT(One->m_Instance == Other->m_Instance);
  });
}

TEST_CASE("An upstream that fails is avoided until its failures have decayed",
          "[choice]") {
  UpstreamStats Stats;
  const auto A = engine("a"), B = engine("b", "z");
  REQUIRE(Stats.choose({&A, &B}, prompt(0, 100))->m_Instance == &A);
  Stats.m_Failures.recordUnreachable("a", at(1s));
  REQUIRE(Stats.choose({&A, &B}, prompt(0, 100))->m_Instance == &B);
  REQUIRE(Stats.m_Failures.rate("a", at(60s)) < 0.01);
}

TEST_CASE("A long prompt is not sent to an engine with running streams",
          "[choice]") {
  UpstreamStats Stats;
  const auto A = engine("a"), B = engine("b", "z");
  for (int Count = 0; Count < 10; ++Count)
    Stats.m_Loads.onSent("a", 0, 100);
  REQUIRE(Stats.choose({&A, &B}, prompt(0, 30000))->m_Instance == &B);
}

TEST_CASE("An upstream in another data centre or region costs a surcharge",
          "[choice][regions]") {
  UpstreamStats Stats;
  Stats.m_DataCentres = DataCentreMap({{DataCentreName("a"), RegionName("n")},
                                       {DataCentreName("b"), RegionName("n")},
                                       {DataCentreName("c"), RegionName("s")}});
  const auto Own = engine("own", "a"), Near = engine("near", "b"),
             Far = engine("far", "c"), Unknown = engine("unknown", "x");
  RequestDescriptor Plain;
  const auto Cost = [&](const UpstreamInstance &Candidate) {
    return Stats.choose({&Candidate}, Plain)->m_CostMs;
  };
  const ReplicaWeights Weights;
  REQUIRE(Cost(Near) - Cost(Own) == Approx(Weights.m_OtherZoneMs));
  REQUIRE(Cost(Far) - Cost(Own) == Approx(Weights.m_OtherRegionMs));
  REQUIRE(Cost(Unknown) == Approx(Cost(Near)));
  SECTION("the upstream in the own region is chosen while it costs less") {
    Stats.m_Loads.onSent("near", 10, 10);
    REQUIRE(Stats.choose({&Near, &Far}, Plain)->m_Instance == &Near);
    Stats.m_Loads.onSent("near", 10000, 10);
    REQUIRE(Stats.choose({&Near, &Far}, Plain)->m_Instance == &Far);
  }
}

TEST_CASE(
    "A cold engine is chosen where warm ones would be slower by more than "
    "its rate and the wait for a permit cost",
    "[choice][warmup]") {
  UpstreamStats Stats;
  ServiceSpec Service;
  Service.m_Name = "s";
  Service.m_WarmUp = {.m_ColdTime = 60s, .m_RequestsPerSecond = 10};
  Stats.m_WarmUp.configure({Service});
  UpstreamInstance Cold = engine("cold");
  UpstreamInstance Warm = engine("warm");
  Cold.m_Service = Warm.m_Service = "s";
  Cold.m_ColdFor = 60s;
  Stats.m_WarmUp.update({.m_Revision = revision(1),
                         .m_Instances = {{"cold", Cold}, {"warm", Warm}}},
                        at(1s));
  const auto Chosen = [&] {
    return Stats.choose({&Cold, &Warm}, prompt(0, 10))->m_Instance->m_Id;
  };
  Stats.m_Loads.onSent("warm", 60, 10);
  REQUIRE(Chosen() == "warm");
  Stats.m_Loads.onSent("warm", 120, 10);
  REQUIRE(Chosen() == "cold");
  Stats.m_Bounds.recordNextPermit("cold", at(1s) + 900ms, at(1s));
  REQUIRE(Chosen() == "warm");
}

TEST_CASE(
    "An upstream with a rate limit is chosen like others while permits are "
    "available",
    "[choice][server-limit]") {
  UpstreamStats Stats;
  const UpstreamInstance Limited = engine("limited");
  const UpstreamInstance Unlimited = engine("unlimited");
  Stats.m_Signals.mergeLimit(Limited.incarnation(), 1, BoxName("b"), 0s,
                             at(1s));
  const auto Chosen = [&] {
    return *Stats.choose({&Limited, &Unlimited}, prompt(0, 10));
  };
  REQUIRE(Chosen().m_Instance == &Unlimited);
  Stats.m_Loads.onSent("unlimited", 20, 10);
  REQUIRE(Chosen().m_Instance == &Limited);
  REQUIRE(Chosen().m_Limited);
  REQUIRE(Chosen().m_PermitSavingMs.value() > 0);
  REQUIRE(Chosen().m_PermitSavingMs.value() < 25);
  Stats.m_Bounds.recordNextPermit("limited", at(1s) + 100ms, at(1s));
  REQUIRE(Chosen().m_Instance == &Unlimited);
  SECTION("alone it has no upstream to be compared with") {
    REQUIRE_FALSE(Stats.choose({&Limited}, prompt(0, 10))->m_PermitSavingMs);
  }
}
