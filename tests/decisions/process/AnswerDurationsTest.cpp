#include "decisions/process/AnswerDurations.h"

#include <catch2/catch.hpp>

using namespace havenstair;

TEST_CASE("An answer is expected to take as long as most of the last ones on "
          "its route",
          "[answer-durations]") {
  AnswerDurations Answers;
  REQUIRE(Answers.expected("a") == 0us);
  Answers.observe("a", 5s);
  REQUIRE(Answers.expected("a") == 5s);
  REQUIRE(Answers.expected("b") == 0us);
  for (std::size_t Each = 0; Each < AnswerDurations::Remembered; ++Each)
    Answers.observe("a", 1s);
  REQUIRE(Answers.expected("a") == 1s);
}

TEST_CASE("A few answers that took long do not count", "[answer-durations]") {
  AnswerDurations Answers;
  for (std::size_t Each = 0; Each < AnswerDurations::Remembered; ++Each)
    Answers.observe("a", Each < 2 ? 9s : 1s);
  REQUIRE(Answers.expected("a") == 1s);
}

TEST_CASE("The durations of no more routes are kept than are bounded",
          "[answer-durations]") {
  AnswerDurations Answers;
  for (std::size_t Each = 0; Each < AnswerDurations::MaxRoutes; ++Each)
    Answers.observe(std::to_string(Each), 1s);
  Answers.observe("another", 1s);
  REQUIRE(Answers.expected("another") == 0us);
  REQUIRE(Answers.expected("0") == 1s);
}
