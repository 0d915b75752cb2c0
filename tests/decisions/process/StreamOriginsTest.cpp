#include "decisions/process/StreamOrigins.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace havenstair;

namespace {

StreamOrigin origin(const std::string &Version) {
  return {.m_Service = "s",
          .m_Software = SoftwareVersion(Version),
          .m_Request = RequestDigest("d")};
}

TimePoint at(Duration After) { return TimePoint(100s) + After; }

} // namespace

TEST_CASE("A stream's origin is known until its caller can come no more",
          "[stream-version]") {
  StreamOrigins Streams;
  Streams.record("a", origin("v1"), 10s, at(0s));
  REQUIRE(Streams.find("a", at(10s)).m_Origin == origin("v1"));
  REQUIRE(Streams.find("a", at(11s)) == StreamOrigins::Knowledge{});
  REQUIRE(Streams.find("b", at(0s)) == StreamOrigins::Knowledge{});
}

TEST_CASE("Being told of a stream again keeps it for longer and never shorter",
          "[stream-version]") {
  StreamOrigins Streams;
  Streams.record("a", origin("v1"), 10s, at(0s));
  Streams.record("a", origin("v1"), 1s, at(2s));
  REQUIRE(Streams.find("a", at(9s)).m_Origin == origin("v1"));
  Streams.record("a", origin("v1"), 20s, at(5s));
  REQUIRE(Streams.find("a", at(24s)).m_Origin == origin("v1"));
  REQUIRE(Streams.size() == 1);
}

TEST_CASE("An attempt that is recorded with two origins is unknown, and stays "
          "so",
          "[stream-version]") {
  StreamOrigins Streams;
  Streams.record("a", origin("v1"), 10s, at(0s));
  Streams.record("a", origin("v2"), 10s, at(1s));
  Streams.record("a", origin("v1"), 10s, at(2s));
  REQUIRE_FALSE(Streams.find("a", at(3s)).m_Origin);
  REQUIRE(Streams.find("a", at(3s)).m_Contradicted);
}

TEST_CASE("The streams that end first are forgotten when there are too many",
          "[stream-version]") {
  StreamOrigins Streams({.m_MaxStreams = 2});
  Streams.record("long", origin("v1"), 60s, at(0s));
  Streams.record("short", origin("v1"), 5s, at(1s));
  Streams.record("middle", origin("v1"), 30s, at(2s));
  REQUIRE(Streams.size() == 2);
  REQUIRE_FALSE(Streams.find("short", at(2s)).m_Origin);
  REQUIRE(Streams.find("long", at(2s)).m_Origin);
}

TEST_CASE("A stream that is found has the origin that was recorded for it",
          "[stream-version][property]") {
  rc::prop("any order of records", [] {
    StreamOrigins Streams({.m_MaxStreams = 4});
    std::map<std::string, std::set<std::string>> Recorded;
    TimePoint Now = at(0s);
    for (int Step = 0; Step < 30; ++Step) {
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
      const std::string Attempt =
          std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 6)));
      const std::string Version = *rc::gen::element("v1", "v2");
      Recorded[Attempt].insert(Version);
      Streams.record(Attempt, origin(Version),
                     std::chrono::seconds(*rc::gen::inRange(1, 20)), Now);
      RC_ASSERT(Streams.size() <= 4U);
      const auto Found = Streams.find(Attempt, Now).m_Origin;
      if (Found)
        RC_ASSERT(Recorded[Attempt].contains(Found->m_Software.str()));
    }
  });
}
