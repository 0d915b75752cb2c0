#include "decisions/request/ErrorKind.h"

#include <catch2/catch.hpp>
#include <set>

using namespace havenstair;

TEST_CASE("Each error kind has a distinct code and an HTTP error status",
          "[errors]") {
  std::set<std::string_view> Codes;
  for (int Index = 0; Index < ErrorKindCount; ++Index) {
    const auto Kind = static_cast<ErrorKind>(Index);
    const ErrorAnswer &Answer = answerFor(Kind);
    REQUIRE(Codes.insert(Answer.m_Code).second);
    REQUIRE(Answer.m_HttpStatus >= 400);
    REQUIRE(errorKindFromCode(Answer.m_Code) == Kind);
  }
  REQUIRE_FALSE(errorKindFromCode("no_such_code"));
}

TEST_CASE("Only an error whose request was not run has a Retry-After",
          "[errors]") {
  for (int Index = 0; Index < ErrorKindCount; ++Index) {
    const ErrorAnswer &Answer = answerFor(static_cast<ErrorKind>(Index));
    if (Answer.m_HasRetryAfter)
      REQUIRE(Answer.m_RunState == RunState::NotRun);
  }
}

TEST_CASE("Error kinds and the rows of their table are in the same order",
          "[errors]") {
  REQUIRE(answerFor(ErrorKind::MissingKey).m_Code == "missing_key");
  REQUIRE(answerFor(ErrorKind::RateLimited).m_Code == "rate_limited");
  REQUIRE(answerFor(ErrorKind::OwnerLost).m_Code == "owner_lost");
  REQUIRE(answerFor(ErrorKind::KeyReused).m_Code == "key_reused");
  REQUIRE(answerFor(ErrorKind::OutcomeUnknown).m_Code == "outcome_unknown");
  REQUIRE(answerFor(ErrorKind::Internal).m_Code == "internal");
}
