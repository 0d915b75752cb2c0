#include "gateway/process/ConnectionLimits.h"

#include <catch2/catch.hpp>

using namespace havenstair;

TEST_CASE("Each limit of a configuration bounds connections at its own value",
          "[caller-timeout]") {
  const auto Limits = connectionLimits({.m_HeaderBytes = 65536,
                                        .m_BodyBytes = 1000,
                                        .m_HeaderTimeout = 5s,
                                        .m_IdleTimeout = 30s});
  REQUIRE(Limits.m_MaxHeaders >= 65536);
  REQUIRE(Limits.m_MaxHeaders <= 65536 + 8192);
  REQUIRE(Limits.m_MaxBody == 1000);
  REQUIRE(Limits.m_Timeouts.m_Header >= 5s);
  REQUIRE(Limits.m_Timeouts.m_Header < 6s);
  REQUIRE(Limits.m_Timeouts.m_Idle == 40s);
}

TEST_CASE("A limit of zero is the default, and a huge one is bounded",
          "[caller-timeout]") {
  const auto Zero = connectionLimits(
      {.m_HeaderBytes = 0, .m_HeaderTimeout = 0s, .m_IdleTimeout = 0s});
  REQUIRE(Zero == connectionLimits({}));
  const auto Huge = connectionLimits({.m_HeaderBytes = ~std::size_t{},
                                      .m_HeaderTimeout = LongestDuration,
                                      .m_IdleTimeout = LongestDuration});
  REQUIRE(Huge.m_MaxHeaders < 2 << 20);
  REQUIRE(Huge.m_Timeouts.m_Header <= 90000s);
  REQUIRE(Huge.m_Timeouts.m_Idle <= 90000s);
}
