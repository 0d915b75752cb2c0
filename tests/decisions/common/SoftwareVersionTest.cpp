#include "decisions/common/SoftwareVersion.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace havenstair;

TEST_CASE("A version is kept as its upstream states it", "[stream-version]") {
  REQUIRE(softwareVersionOf("v1.2-rc+7").str() == "v1.2-rc+7");
  REQUIRE(softwareVersionOf("").empty());
}

TEST_CASE(
    "Versions of any text are equal only if their texts are, and fit into "
    "a header field",
    "[stream-version][property]") {
  rc::prop("two drawn texts", [](const std::string &A, const std::string &B) {
    RC_ASSERT((softwareVersionOf(A) == softwareVersionOf(B)) == (A == B));
    const std::string Text = softwareVersionOf(A).str();
    RC_ASSERT(Text.size() <= 64U);
    RC_ASSERT(std::all_of(Text.begin(), Text.end(),
                          [](char Each) { return Each > ' ' && Each <= '~'; }));
  });
}

TEST_CASE(
    "A huge version is replaced by a short one, and no stated text equals "
    "that",
    "[stream-version]") {
  const SoftwareVersion Huge = softwareVersionOf(std::string(100'000, 'v'));
  REQUIRE(Huge.str().size() <= 64);
  REQUIRE(Huge != softwareVersionOf(std::string(100'001, 'v')));
  REQUIRE(softwareVersionOf(Huge.str()) != Huge);
}
