#include "decisions/process/WarmUpView.h"
#include "support/Draw.h"

using namespace havenstair;

namespace {

constexpr TimePoint Start(1000s);

ServiceSpec service(double Rate) {
  ServiceSpec Result;
  Result.m_Name = "s";
  Result.m_WarmUp = {.m_ColdTime = 3s, .m_RequestsPerSecond = Rate};
  return Result;
}

UpstreamInstance upstream(const InstanceId &Id, StartTime Started,
                          Duration ColdFor = 0us) {
  UpstreamInstance Result;
  Result.m_Id = Id;
  Result.m_Service = "s";
  Result.m_Zone = "a";
  Result.m_StartTime = Started;
  Result.m_ColdFor = ColdFor;
  return Result;
}

InstanceList list(const std::vector<UpstreamInstance> &All) {
  InstanceList Result;
  for (const UpstreamInstance &Each : All)
    Result.m_Instances[Each.m_Id] = Each;
  return Result;
}

/// A view with one warm upstream.
WarmUpView settled() {
  WarmUpView View;
  View.configure({service(6.6)});
  View.update(list({upstream("e", 5)}), Start);
  return View;
}

} // namespace

TEST_CASE("Upstreams in the first list are warm unless they say otherwise",
          "[warmup]") {
  WarmUpView View;
  View.configure({service(6.6)});
  View.update(list({upstream("e", 5), upstream("f", 5, 2s)}), Start);
  CHECK_FALSE(View.cold("e", Start));
  CHECK(View.warmAt("f", Start) == Start + 2s);
  CHECK_FALSE(View.cold("f", Start + 2s));
  CHECK(View.coldByDataCentre(Start) ==
        std::map<DataCentreName, int>{{DataCentreName("a"), 1}});
}

TEST_CASE("No upstream is cold when operators configure no rate", "[warmup]") {
  WarmUpView View;
  View.configure({service(0)});
  View.update(list({upstream("e", 5, 2s)}), Start);
  View.suspect("e", Start);
  View.recordColdTime("e", 2s, Start, Start);
  CHECK_FALSE(View.cold("e", Start));
  CHECK_FALSE(View.active());
}

TEST_CASE(
    "An upstream that is new or starts again is cold until it says otherwise",
    "[warmup]") {
  WarmUpView View = settled();
  SECTION("new") {
    View.update(list({upstream("e", 5), upstream("f", 9)}), Start + 1s);
    CHECK(View.warmAt("f", Start + 1s) == Start + 4s);
  }
  SECTION("started again") {
    View.update(list({upstream("e", 6)}), Start + 1s);
    CHECK(View.warmAt("e", Start + 1s) == Start + 4s);
    // The answer to a request from before the start is of the earlier
    // incarnation.
    View.recordColdTime("e", 0us, Start, Start + 1100ms);
    CHECK(View.cold("e", Start + 1100ms));
    View.recordColdTime("e", 0us, Start + 1050ms, Start + 1100ms);
    CHECK_FALSE(View.cold("e", Start + 1100ms));
  }
  SECTION("started again and said how long") {
    View.update(list({upstream("e", 6, 2500ms)}), Start + 1s);
    CHECK(View.warmAt("e", Start + 1s) == Start + 3500ms);
    View.update(list({upstream("e", 5)}), Start + 3s);
    CHECK(View.cold("e", Start + 3s));
  }
  SECTION("listed again as the same incarnation") {
    View.update(list({}), Start + 1s);
    View.update(list({upstream("e", 5)}), Start + 9s);
    CHECK_FALSE(View.cold("e", Start + 9s));
  }
}

TEST_CASE("The latest statement wins among entries and answers", "[warmup]") {
  WarmUpView View = settled();
  View.recordColdTime("e", 3s, Start + 5s, Start + 5s);
  CHECK(View.warmAt("e", Start + 5s) == Start + 8s);
  SECTION("an entry that was written before arrives late") {
    UpstreamInstance Late = upstream("e", 5);
    Late.m_Models = {{.m_Name = "m", .m_Adapters = {}}};
    View.update(list({Late}), Start + 5500ms);
    CHECK(View.warmAt("e", Start + 5500ms) == Start + 7200ms);
    SECTION("and one that was written after") {
      Late.m_Models = {};
      View.update(list({Late}), Start + 6500ms);
      CHECK_FALSE(View.cold("e", Start + 6500ms));
    }
    SECTION("and one that says that it is cold") {
      Late.m_ColdFor = 2s;
      View.update(list({Late}), Start + 6500ms);
      CHECK(View.warmAt("e", Start + 6500ms) == Start + 8500ms);
    }
  }
  SECTION("an entry that has not changed is no statement") {
    View.update(list({upstream("e", 5)}), Start + 7s);
    CHECK(View.cold("e", Start + 7s));
  }
  SECTION("an answer says that it is warm") {
    View.recordColdTime("e", 0us, Start + 6s, Start + 6s);
    CHECK_FALSE(View.cold("e", Start + 6s));
  }
}

TEST_CASE("A suspected upstream is cold until it says otherwise", "[warmup]") {
  WarmUpView View = settled();
  SECTION("by its name") { View.suspect("e", Start + 10s); }
  SECTION("by its data centre") {
    View.suspectAt(DataCentreName("b"), Start + 10s);
    CHECK_FALSE(View.cold("e", Start + 10s));
    View.suspectAt(DataCentreName("a"), Start + 10s);
  }
  CHECK(View.warmAt("e", Start + 10s) == Start + 13s);
  View.recordColdTime("e", 0us, Start + 9900ms, Start + 10s);
  CHECK(View.cold("e", Start + 10s));
  View.recordColdTime("e", 700ms, Start + 10s, Start + 10100ms);
  CHECK(View.warmAt("e", Start + 10100ms) == Start + 10800ms);
}
