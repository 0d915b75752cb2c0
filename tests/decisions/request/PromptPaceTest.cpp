#include "decisions/request/PromptPace.h"
#include "support/Draw.h"
#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

PaceFacts facts(double PendingMs) {
  return {.m_GapTarget = 250ms,
          .m_Target = 400ms,
          .m_Waited = 0us,
          .m_PendingMs = PendingMs};
}

} // namespace

TEST_CASE("A prompt is read at once where little is to be read", "[pace]") {
  REQUIRE_FALSE(paceFor(facts(0), {}));
  REQUIRE_FALSE(paceFor(facts(60), {}));
}

TEST_CASE("A prompt waits behind others that would pause streams for too long",
          "[pace]") {
  REQUIRE(paceFor(facts(200), {}));
}

TEST_CASE("A prompt does not wait where no pause matters", "[pace]") {
  PaceFacts Any = facts(200);
  Any.m_GapTarget = 0us;
  REQUIRE_FALSE(paceFor(Any, {}));
}

TEST_CASE("A prompt that was looked at often enough is sent in time",
          "[pace][property]") {
  rc::prop("ends within its part of the target", [] {
    PaceFacts Facts = facts(*drawn(0, 5000));
    Facts.m_Target = std::chrono::milliseconds(*drawn(50, 5000));
    const PaceOptions Opts;
    while (const auto Wait = paceFor(Facts, Opts))
      Facts.m_Waited += *Wait;
    RC_ASSERT(Facts.m_Waited <=
              fromMillis(Opts.m_WaitPart * inMillis(Facts.m_Target)) +
                  Opts.m_LookAgain);
  });
}
