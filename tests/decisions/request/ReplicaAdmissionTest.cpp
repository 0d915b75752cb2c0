#include "decisions/request/ReplicaAdmission.h"
#include "decisions/request/CallerClock.h"
#include "support/Draw.h"
#include "support/Names.h"

using namespace havenstair;

namespace {

AdmissionFacts facts(double ExpectedMs, double WorkMs) {
  return {.m_Target = 800ms,
          .m_Waited = 0us,
          .m_TimeLeft = 5s,
          .m_ExpectedMs = ExpectedMs,
          .m_WorkMs = WorkMs};
}

} // namespace

TEST_CASE("A request that comes in time is sent", "[admission]") {
  REQUIRE_FALSE(refuseFor(facts(300, 100), {}));
}

TEST_CASE("A request behind too much work is told when to come back",
          "[admission]") {
  const auto Away = refuseFor(facts(3000, 100), {});
  REQUIRE(Away);
  REQUIRE(*Away > 0us);
}

TEST_CASE("A caller comes back when replicas have had time to come",
          "[admission]") {
  // Callers wait for up to a third of the time that they have left.
  AdmissionFacts Long = facts(3000, 100);
  Long.m_TimeLeft = 12s;
  const auto Away = refuseFor(Long, {});
  REQUIRE(Away);
  REQUIRE(*Away >= 3s);
  REQUIRE(*Away <= 4s);
}

TEST_CASE("A large request is not refused for its own size",
          "[admission][property]") {
  rc::prop("size-neutral", [] {
    const double Work = *drawn(1, 3000);
    RC_ASSERT(!refuseFor(facts(Work, Work), {}));
  });
}

TEST_CASE("A refusal that would come late is not given", "[admission]") {
  AdmissionFacts Late = facts(1100, 100);
  Late.m_Waited = 400ms;
  REQUIRE_FALSE(refuseFor(Late, {}));
}

TEST_CASE("A second try is refused only when it cannot begin in time",
          "[admission]") {
  AdmissionFacts Second = facts(1100, 100);
  Second.m_TriedBefore = true;
  REQUIRE_FALSE(refuseFor(Second, {}));
  Second.m_ExpectedMs = 4000;
  REQUIRE(refuseFor(Second, {}));
}

TEST_CASE("A caller that sends less time than others has tried before",
          "[admission]") {
  CallerClock Clock;
  REQUIRE(Clock.sinceFirstTry("r", 5000ms, at(1s)) == 0us);
  REQUIRE(Clock.sinceFirstTry("r", 4999ms, at(2s)) == 0us);
  const Duration Since = Clock.sinceFirstTry("r", 4200ms, at(3s));
  REQUIRE(Since >= 790ms);
  REQUIRE(Since <= 800ms);
  REQUIRE(Clock.sinceFirstTry("other", 4200ms, at(3s)) == 0us);
}

TEST_CASE("A route whose deadlines become shorter is learned anew",
          "[admission]") {
  CallerClock Clock;
  Clock.sinceFirstTry("r", 10s, at(0s));
  REQUIRE(Clock.sinceFirstTry("r", 4s, at(1s)) > 0us);
  REQUIRE(Clock.sinceFirstTry("r", 4s, at(300s)) == 0us);
}
