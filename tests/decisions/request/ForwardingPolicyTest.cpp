#include "decisions/request/ForwardingPolicy.h"
#include "support/Draw.h"

using namespace havenstair;

namespace {

ForwardingFacts drawnFacts() {
  ForwardingFacts Facts;
  Facts.m_Idempotent = *rc::gen::arbitrary<bool>();
  Facts.m_Resumable = Facts.m_Idempotent && *rc::gen::arbitrary<bool>();
  Facts.m_BytesPassed = *rc::gen::arbitrary<bool>();
  Facts.m_MayHaveRun = *rc::gen::arbitrary<bool>();
  Facts.m_MaxSends = *drawn(1, 4);
  Facts.m_Sends = *drawn(0, Facts.m_MaxSends + 1);
  Facts.m_TimeLeft = *rc::gen::arbitrary<bool>();
  return Facts;
}

SendOutcome drawnOutcome() { return static_cast<SendOutcome>(*drawn(0, 5)); }

bool repeats(ForwardingStep Step) {
  return Step == ForwardingStep::SendAgain || Step == ForwardingStep::Resume;
}

} // namespace

TEST_CASE(
    "A request that is not idempotent is not repeated once it may have run",
    "[forwarding][property]") {
  rc::prop("at most once", [] {
    ForwardingFacts Facts = drawnFacts();
    Facts.m_Idempotent = Facts.m_Resumable = false;
    const SendOutcome Outcome =
        *rc::gen::element(SendOutcome::Broken, SendOutcome::ServerError);
    RC_ASSERT(!repeats(nextStep(Outcome, Facts, true)));
  });
}

TEST_CASE(
    "A request is refused only if it was not run, as a caller may repeat it",
    "[forwarding][property]") {
  rc::prop("refused means not run", [] {
    ForwardingFacts Facts = drawnFacts();
    const SendOutcome Outcome = drawnOutcome();
    Facts.m_MayHaveRun = Facts.m_MayHaveRun || Outcome == SendOutcome::Broken;
    const bool Budget = *rc::gen::arbitrary<bool>();
    if (nextStep(Outcome, Facts, Budget) == ForwardingStep::Refuse)
      RC_ASSERT(!Facts.m_MayHaveRun && !Facts.m_BytesPassed);
  });
}

TEST_CASE(
    "Sends stay within the route's attempts, the retry budget and the deadline",
    "[forwarding][property]") {
  rc::prop("bounded", [] {
    const ForwardingFacts Facts = drawnFacts();
    const SendOutcome Outcome = drawnOutcome();
    const bool Budget = *rc::gen::arbitrary<bool>();
    const ForwardingStep Step = nextStep(Outcome, Facts, Budget);
    if (!repeats(Step))
      return;
    RC_ASSERT(Facts.m_Sends < Facts.m_MaxSends);
    RC_ASSERT(Facts.m_TimeLeft);
    RC_ASSERT(Budget || !needsRetryBudget(Step, Outcome));
  });
}

TEST_CASE("Once a caller has got bytes, its stream is resumed or cut, never "
          "restarted",
          "[forwarding][property]") {
  rc::prop("resume or cut", [] {
    ForwardingFacts Facts = drawnFacts();
    Facts.m_BytesPassed = true;
    const SendOutcome Outcome = drawnOutcome();
    const ForwardingStep Step = nextStep(Outcome, Facts, true);
    if (Outcome == SendOutcome::Answered)
      RC_ASSERT(Step == ForwardingStep::PassOn);
    else
      RC_ASSERT(Step == ForwardingStep::Cut ||
                (Step == ForwardingStep::Resume && Facts.m_Resumable));
  });
}

TEST_CASE("A failure that an upstream answers goes to the caller unchanged",
          "[forwarding]") {
  ForwardingFacts Facts{.m_Sends = 1, .m_MaxSends = 1};
  REQUIRE(nextStep(SendOutcome::ServerError, Facts, true) ==
          ForwardingStep::PassOn);
  REQUIRE(impliesNotRun(503));
  REQUIRE_FALSE(impliesNotRun(500));
}
