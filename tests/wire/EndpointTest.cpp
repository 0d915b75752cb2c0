#include "wire/common/Endpoint.h"

#include <catch2/catch.hpp>

using namespace havenstair;

TEST_CASE("An endpoint is an IP address with a port", "[endpoint]") {
  REQUIRE(Endpoint::parse("127.0.0.1:80") == Endpoint{"127.0.0.1", 80});
  REQUIRE(Endpoint::parse("[::1]:0") == Endpoint{"::1", 0});
  REQUIRE(Endpoint{"::1", 7}.str() == "[::1]:7");
  const auto Bad = GENERATE("", ":", "localhost:80", "127.0.0.1",
                            "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1",
                            "127.0.0.1:8x", "1.2.3:4", "127.0.0.1:123456");
  REQUIRE_FALSE(Endpoint::parse(Bad));
}
