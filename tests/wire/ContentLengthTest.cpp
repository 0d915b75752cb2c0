#include "wire/common/ContentLength.h"

#include <catch2/catch.hpp>
#include <string>

using namespace havenstair;

TEST_CASE("A length is a number without signs, blanks or lists",
          "[wire][content-length]") {
  REQUIRE(parseContentLength("0") == 0);
  REQUIRE(parseContentLength("0012") == 12);
  const std::string Other =
      GENERATE("", "-1", "+1", " 1", "1 ", "1,1", "1x", "0x1", "1.0");
  REQUIRE_FALSE(parseContentLength(Other));
}

TEST_CASE("A length that sums might exceed is none", "[wire][content-length]") {
  REQUIRE(parseContentLength("4611686018427387902") == 4611686018427387902U);
  REQUIRE_FALSE(parseContentLength("4611686018427387903"));
  REQUIRE_FALSE(parseContentLength("18446744073709551616"));
}
