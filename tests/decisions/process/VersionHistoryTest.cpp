#include "decisions/process/VersionHistory.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

InstanceList listOf(const std::vector<std::string> &Versions) {
  InstanceList Result;
  for (const std::string &Version : Versions) {
    const std::string Id =
        "i-" + std::to_string(Result.m_Instances.size()) + Version;
    Result.m_Instances[Id] = {
        .m_Id = Id, .m_Service = "s", .m_Software = SoftwareVersion(Version)};
  }
  return Result;
}

TimePoint at(Duration After) { return TimePoint(1000s) + After; }

/// The list is known as the store's state from \p From to \p To.
void knowList(VersionHistory &History, Duration From, Duration To) {
  for (Duration After = From; After <= To; After += 1s)
    History.confirm(at(After));
}

} // namespace

TEST_CASE("A service has one version while all its upstreams state the same",
          "[stream-version]") {
  VersionHistory History;
  History.update(listOf({"v1", "v1"}), at(0s));
  const auto Versions = History.versionsOf("s", at(1s));
  REQUIRE(Versions.m_Only == SoftwareVersion("v1"));
  REQUIRE_FALSE(Versions.m_Several);
  REQUIRE_FALSE(History.versionsOf("other", at(1s)).m_Only);
}

TEST_CASE("A version counts for as long as its streams may be taken up after "
          "its last upstream has left",
          "[stream-version]") {
  VersionHistory History;
  History.update(listOf({"v1", "v2"}), at(0s));
  History.update(listOf({"v2"}), at(10s));
  REQUIRE(History.versionsOf("s", at(20s)).m_Several);
  REQUIRE(History.versionsOf("s", at(10s) + VersionHistory::Memory).m_Several);
  const auto Later = History.versionsOf("s", at(11s) + VersionHistory::Memory);
  REQUIRE(Later.m_Only == SoftwareVersion("v2"));
}

TEST_CASE("A box is certain of a service's only version after it has known the "
          "list for long enough",
          "[stream-version]") {
  VersionHistory History;
  REQUIRE_FALSE(History.versionsOf("s", at(0s)).m_Certain);
  History.update(listOf({"v1"}), at(0s));
  knowList(History, 0s, 1s);
  REQUIRE_FALSE(History.versionsOf("s", at(1s)).m_Certain);
  knowList(History, 1s, VersionHistory::Memory);
  REQUIRE(History.versionsOf("s", at(VersionHistory::Memory)).m_Certain);
}

TEST_CASE("A box whose list is old, or was for a while, is not certain of a "
          "service's only version",
          "[stream-version]") {
  constexpr Duration Gap = ListContinuity::MaxAge + 1s;
  constexpr Duration Memory = VersionHistory::Memory;
  VersionHistory History;
  History.update(listOf({"v1"}), at(0s));
  SECTION("never confirmed") {
    REQUIRE_FALSE(History.versionsOf("s", at(Memory)).m_Certain);
  }
  SECTION("confirmed no more") {
    knowList(History, 0s, Memory);
    REQUIRE_FALSE(History.versionsOf("s", at(Memory + Gap)).m_Certain);
  }
  SECTION("confirmed again after a gap") {
    knowList(History, 0s, Memory);
    knowList(History, Memory + Gap, 2 * Memory);
    REQUIRE_FALSE(History.versionsOf("s", at(2 * Memory)).m_Certain);
    knowList(History, 2 * Memory, 2 * Memory + Gap);
    REQUIRE(History.versionsOf("s", at(2 * Memory + Gap)).m_Certain);
  }
}

TEST_CASE("An upstream that states no version leaves the service without an "
          "only one",
          "[stream-version]") {
  VersionHistory History;
  const bool Mixed = GENERATE(true, false);
  History.update(Mixed ? listOf({"v1", ""}) : listOf({""}), at(0s));
  REQUIRE(History.versionsOf("s", at(1s)).m_Several);
  REQUIRE_FALSE(History.versionsOf("s", at(1s)).m_Only);
}

TEST_CASE("Versions that boxes share count like listed ones",
          "[stream-version]") {
  VersionHistory History;
  History.update(listOf({"v2"}), at(0s));
  History.learn("s", {SoftwareVersion("v1"), SoftwareVersion("v2")}, at(1s));
  REQUIRE(History.versionsOf("s", at(2s)).m_Several);
  SECTION("until no box names them") {
    History.learn("s", {SoftwareVersion("v2")}, at(3s));
    REQUIRE(History.versionsOf("s", at(3s)).m_Only == SoftwareVersion("v2"));
  }
  SECTION("for as long as streams of theirs may be taken up") {
    REQUIRE(History.versionsOf("s", at(1s) + VersionHistory::Memory).m_Several);
    REQUIRE(History.versionsOf("s", at(2s) + VersionHistory::Memory).m_Only ==
            SoftwareVersion("v2"));
  }
  SECTION("an unknown one too") {
    History.learn("s", {SoftwareVersion()}, at(3s));
    REQUIRE(History.versionsOf("s", at(3s)).m_Several);
  }
}

TEST_CASE("A version is outlived later than it counts", "[stream-version]") {
  constexpr Duration Limit =
      VersionHistory::Memory + VersionHistory::ForgetMargin;
  const SoftwareVersion Gone("v1");
  VersionHistory History;
  History.update(listOf({"v1", "v2"}), at(0s));
  knowList(History, 0s, 2 * Limit);
  REQUIRE_FALSE(History.outlived("s", Gone, at(2 * Limit)));
  History.update(listOf({"v2"}), at(0s));
  REQUIRE_FALSE(History.outlived("s", Gone, at(Limit)));
  REQUIRE(History.outlived("s", Gone, at(Limit + 1s)));
  REQUIRE(History.observed(at(1s)).at("s").contains(Gone));
  REQUIRE_FALSE(
      History.observed(at(VersionHistory::Memory + 1s)).at("s").contains(Gone));
  History.learn("s", {Gone}, at(10s));
  REQUIRE_FALSE(History.outlived("s", Gone, at(Limit + 1s)));
}

TEST_CASE("No version is outlived at a box whose list is old, or was of late",
          "[stream-version]") {
  constexpr Duration Limit =
      VersionHistory::Memory + VersionHistory::ForgetMargin;
  constexpr Duration Gap = ListContinuity::MaxAge + 1s;
  const SoftwareVersion Other("v1");
  VersionHistory History;
  History.update(listOf({"v2"}), at(0s));
  knowList(History, 0s, 10s);
  REQUIRE_FALSE(History.outlived("s", Other, at(Limit + 1s)));
  knowList(History, 10s + Gap, Limit + 1s);
  REQUIRE_FALSE(History.outlived("s", Other, at(Limit + 1s)));
  knowList(History, Limit + 1s, 10s + Gap + Limit);
  REQUIRE(History.outlived("s", Other, at(10s + Gap + Limit)));
}

TEST_CASE("It is known for how long a version has been listed",
          "[stream-version]") {
  VersionHistory History;
  const SoftwareVersion V1("v1");
  REQUIRE(History.listedFor("s", V1, at(0s)) == 0s);
  History.update(listOf({"v1"}), at(0s));
  History.update(listOf({"v1", "v2"}), at(2s));
  REQUIRE(History.listedFor("s", V1, at(3s)) == 3s);
  REQUIRE(History.listedFor("s", SoftwareVersion("v2"), at(3s)) == 1s);
  History.update(listOf({"v2"}), at(4s));
  REQUIRE(History.listedFor("s", V1, at(5s)) == 0s);
}
