#include "decisions/process/GroupLimiter.h"
#include "support/Draw.h"
#include "support/Names.h"

using namespace havenstair;

TEST_CASE("The parts of a concurrency limit add up to it",
          "[limits][property]") {
  rc::prop("any limit over any number of boxes", [] {
    const int Whole = *drawn(1, 1000);
    const int Boxes = *drawn(1, 50);
    int Sum = 0;
    for (int Index = 0; Index < Boxes; ++Index)
      Sum += concurrencyShare(Whole, {.m_Index = Index, .m_Boxes = Boxes});
    RC_ASSERT(Sum == Whole);
  });
}

TEST_CASE("A rate limit refuses with the time until the next request",
          "[limits]") {
  GroupLimiter Limiter({});
  GroupRow Row{.m_Group = groupName(1)};
  Row.m_Limits.m_RequestsPerSecond = 2;
  REQUIRE_FALSE(Limiter.tryAdmit(Row, at(0us)));
  REQUIRE_FALSE(Limiter.tryAdmit(Row, at(0us)));
  const auto Refused = Limiter.tryAdmit(Row, at(0us));
  REQUIRE(Refused);
  REQUIRE(Refused->m_Kind == ErrorKind::RateLimited);
  REQUIRE(Refused->m_RetryAfter == 500ms);
  REQUIRE_FALSE(Limiter.tryAdmit(Row, at(500ms)));
}

TEST_CASE("Tokens are charged once their number is known", "[limits]") {
  GroupLimiter Limiter({});
  GroupRow Row{.m_Group = groupName(1)};
  Row.m_Limits.m_TokensPerSecond = 100;
  REQUIRE_FALSE(Limiter.tryAdmit(Row, at(0us)));
  Limiter.finished(groupName(1), 300);
  const auto Refused = Limiter.tryAdmit(Row, at(0us));
  REQUIRE(Refused);
  REQUIRE(Refused->m_RetryAfter == 2s);
  REQUIRE_FALSE(Limiter.tryAdmit(Row, at(2s)));
}
