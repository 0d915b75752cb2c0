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

TEST_CASE("A prompt is read at once where little is to be read", "[pace]") {
  REQUIRE_FALSE(pacingDelay(facts(0), {}));
  REQUIRE_FALSE(pacingDelay(facts(60), {}));
}

TEST_CASE("A prompt waits behind others that would pause streams for too long",
          "[pace]") {
  REQUIRE(pacingDelay(facts(200), {}));
}

TEST_CASE("A prompt does not wait where no pause matters", "[pace]") {
  PacingFacts Any = facts(200);
  Any.m_GapTarget = 0us;
  REQUIRE_FALSE(pacingDelay(Any, {}));
}

TEST_CASE("A prompt that was looked at often enough is sent in time",
          "[pace][property]") {
  rc::prop("ends within its part of the target", [] {
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
