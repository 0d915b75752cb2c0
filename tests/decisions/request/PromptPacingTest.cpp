#include "decisions/request/PromptPacing.h"
#include "support/Draw.h"
#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

PacingFacts facts(double PendingMs) {
  return {.m_GapTarget = 250ms,
          .m_Target = 400ms,
          .m_Waited = 0us,
          .m_PendingMs = PendingMs};
}

} // namespace

TEST_CASE("A prompt is sent at once where little prompt work is pending",
          "[pace]") {
  REQUIRE_FALSE(pacingDelay(facts(0), {}));
  REQUIRE_FALSE(pacingDelay(facts(60), {}));
}

TEST_CASE(
    "A prompt waits while pending prompts would pause streams for too long",
    "[pace]") {
  REQUIRE(pacingDelay(facts(200), {}));
}

TEST_CASE("A prompt does not wait where the route does not limit pauses",
          "[pace]") {
  PacingFacts NoLimit = facts(200);
  NoLimit.m_GapTarget = 0us;
  REQUIRE_FALSE(pacingDelay(NoLimit, {}));
}

TEST_CASE("A prompt waits no longer than its fraction of the target",
          "[pace][property]") {
  rc::prop("ends within its fraction of the target", [] {
    PacingFacts Facts = facts(*drawn(0, 5000));
    Facts.m_Target = std::chrono::milliseconds(*drawn(50, 5000));
    const PacingOptions Opts;
    while (const auto Wait = pacingDelay(Facts, Opts))
      Facts.m_Waited += *Wait;
    RC_ASSERT(Facts.m_Waited <=
              fromMillis(Opts.m_MaxWaitFraction * inMillis(Facts.m_Target)) +
                  Opts.m_RecheckInterval);
  });
}
