#include "decisions/request/ReplicaAdmission.h"
#include "support/Draw.h"
#include "support/Names.h"

using namespace havenstair;

namespace {

AdmissionFacts facts(double FirstMs, double WorkMs) {
  return {.m_Target = 800ms,
          .m_TimeLeft = 5s,
          .m_Start =
              ExpectedStart{.m_FirstTokenMs = FirstMs, .m_WorkMs = WorkMs}};
}

AdmissionFacts withoutReplica() {
  return {.m_Target = 5s, .m_TimeLeft = 12s, .m_Start = std::nullopt};
}

AdmissionDecision decisionOn(const AdmissionFacts &Facts) {
  return admit(Facts, {}, 0.5);
}

bool sent(const AdmissionFacts &Facts) {
  return decisionOn(Facts).m_Step == AdmissionStep::Send;
}

bool refused(const AdmissionFacts &Facts) {
  return decisionOn(Facts).m_Step == AdmissionStep::Refuse;
}

} // namespace

TEST_CASE("A request that will meet its target is sent", "[admission]") {
  REQUIRE(sent(facts(300, 100)));
}

TEST_CASE("A request behind too much work is refused with a retry time",
          "[admission]") {
  const AdmissionDecision Decision = decisionOn(facts(1500, 100));
  REQUIRE(Decision.m_Step == AdmissionStep::Refuse);
  REQUIRE(Decision.m_Delay > 0us);
}

TEST_CASE("The retry time is when the next replica serves, if that is known",
          "[admission]") {
  AdmissionFacts Facts = facts(1500, 100);
  SECTION("a load is in progress") {
    Facts.m_ServesIn = 600ms;
    REQUIRE(decisionOn(Facts).m_Delay >= 600ms);
    REQUIRE(decisionOn(Facts).m_Delay <= 900ms);
  }
  SECTION("nothing is known, and callers wait for a third of their time left") {
    Facts.m_TimeLeft = 12s;
    REQUIRE(decisionOn(Facts).m_Delay >= 3s);
    REQUIRE(decisionOn(Facts).m_Delay <= 4s);
  }
  SECTION("retries are spread") {
    Facts.m_ServesIn = 1s;
    REQUIRE(admit(Facts, {}, 0).m_Delay < admit(Facts, {}, 1).m_Delay);
  }
}

TEST_CASE("A large request is not refused for its own size",
          "[admission][property]") {
  rc::prop("size-neutral", [] {
    // The bound keeps the first token within the caller's patience.
    const double Work = *drawn(1, 1000);
    RC_ASSERT(sent(facts(Work, Work)));
  });
}

TEST_CASE("A request that has waited is decided on like one that has not",
          "[admission][property]") {
  // A rule that depended on the time waited would have windows of the target in
  // which requests are refused that would be sent before or after.
  rc::prop("no windows", [] {
    AdmissionFacts Facts = facts(*drawn(1, 1200), 1);
    Facts.m_GapTarget = 600ms;
    const bool Sent = sent(Facts);
    Facts.m_Waited = std::chrono::milliseconds(*drawn(0, 1000));
    RC_ASSERT(sent(Facts) == Sent);
  });
}

TEST_CASE("The same rule holds for a caller's first attempt and for retries",
          "[admission]") {
  // A retry has less time left; nothing else differs.
  AdmissionFacts Retry = facts(1100, 100);
  Retry.m_TimeLeft = 3500ms;
  REQUIRE(refused(Retry));
  REQUIRE(decisionOn(Retry).m_Reason == "overloaded");
  Retry.m_Start->m_FirstTokenMs = 700;
  REQUIRE(sent(Retry));
  Retry.m_Start->m_FirstTokenMs = 4000;
  REQUIRE(refused(Retry));
}

TEST_CASE("A request waits for a load only if the load can end in time for it",
          "[admission]") {
  AdmissionFacts Facts = withoutReplica();
  SECTION("the load ends in time") {
    Facts.m_ServesIn = 5500ms;
    REQUIRE(decisionOn(Facts) ==
            AdmissionDecision{AdmissionStep::Wait, 5500ms, "loads"});
  }
  SECTION("the caller will have left") {
    Facts.m_ServesIn = 5500ms;
    Facts.m_TimeLeft = 5s;
    REQUIRE(refused(Facts));
  }
  SECTION("the caller takes silence for a failure before that") {
    Facts.m_Target = 800ms;
    Facts.m_ServesIn = 5500ms;
    REQUIRE(refused(Facts));
  }
  SECTION("whether a load begins is not known yet") {
    REQUIRE(decisionOn(Facts).m_Step == AdmissionStep::Wait);
    REQUIRE(decisionOn(Facts).m_Delay < 1s);
  }
  SECTION("no load has begun") {
    Facts.m_Waited = 1s;
    REQUIRE(refused(Facts));
  }
  SECTION("no upstream has to load anything") {
    Facts.m_NamesModel = false;
    REQUIRE(refused(Facts));
  }
}

TEST_CASE("Every wait ends before the caller gives up",
          "[admission][property]") {
  rc::prop("bounded waits", [] {
    AdmissionFacts Facts = withoutReplica();
    Facts.m_Target = std::chrono::milliseconds(*drawn(1, 6000));
    Facts.m_TimeLeft = std::chrono::milliseconds(*drawn(1, 20000));
    Facts.m_Waited = std::chrono::milliseconds(*drawn(0, 20000));
    if (*rc::gen::arbitrary<bool>())
      Facts.m_ServesIn = std::chrono::milliseconds(*drawn(0, 20000));
    const AdmissionDecision Decision = decisionOn(Facts);
    RC_ASSERT(Decision.m_Step != AdmissionStep::Send);
    RC_ASSERT(Decision.m_Delay > 0us);
    if (Decision.m_Step == AdmissionStep::Wait)
      RC_ASSERT(Decision.m_Delay < Facts.m_TimeLeft);
  });
}
