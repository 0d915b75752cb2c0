#include "gateway/process/VersionRecords.h"
#include "gateway/common/DecisionLog.h"
#include "platform/StoreClient.h"
#include "standin/StandinStore.h"
#include "wire/common/HttpClient.h"
#include "wire/common/Json.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <optional>
#include <string>
#include <vector>

using namespace havenstair;

namespace {

constexpr Duration Limit = 20s;
const std::string Key = "havenstair/software/s";

InstanceList listOf(const std::vector<std::string> &Versions) {
  InstanceList Result;
  for (const std::string &Version : Versions)
    Result.m_Instances["i-" + Version] = {.m_Id = "i-" + Version,
                                          .m_Service = "s",
                                          .m_Software =
                                              SoftwareVersion(Version)};
  return Result;
}

/// \p List with an upstream of another service.
InstanceList withOther(InstanceList List) {
  List.m_Instances["i-other"] = {.m_Id = "i-other",
                                 .m_Service = "other",
                                 .m_Software = SoftwareVersion("v1")};
  return List;
}

/// A store, and the loop on which all runs.
struct World {
  EventLoop m_Loop;
  StandinStore m_Store{m_Loop};

  bool until(const std::function<bool()> &Done) {
    return m_Loop.runUntil(Done, Limit);
  }
  Json versions() const {
    return m_Store.has(Key) ? parseJson(m_Store.value(Key))["versions"]
                            : Json();
  }
};

/// What one box knows of the versions of the service `s`.
class Box {
public:
  explicit Box(World &In, bool FirstStart = false)
      : m_World(In),
        m_Records(m_Client, m_Log,
                  {.m_Prefix = "havenstair/", .m_FirstStart = FirstStart},
                  m_History) {}

  void list(const std::vector<std::string> &Versions, TimePoint Now) {
    list(listOf(Versions), Now);
  }
  /// Its list is known all the time until \p Now.
  void list(const InstanceList &List, TimePoint Now) {
    for (; m_Confirmed <= Now; m_Confirmed += 1s)
      m_History.confirm(m_Confirmed);
    m_History.update(List, Now);
    m_Records.refresh(Now);
  }
  VersionHistory::Versions known(TimePoint Now) const {
    return m_History.versionsOf("s", Now);
  }

  World &m_World;
  HttpClient m_Http{m_World.m_Loop};
  StoreEraTracker m_Eras{
      {.m_Changed = [](const auto &) {}, .m_Ignored = [](const auto &) {}}};
  platform::StoreClient m_Client{m_Http, m_World.m_Store.endpoint(), m_Eras};
  DecisionLog m_Log{m_World.m_Loop,
                    {.m_Descriptor = open("/dev/null", O_WRONLY)}};
  VersionHistory m_History;
  VersionRecords m_Records;
  TimePoint m_Confirmed = EventLoop::now();
};

/// Time at which the boxes of a test list their first upstreams. The records
/// ask the clock for when they learned of a version.
TimePoint start() { return EventLoop::now(); }

} // namespace

TEST_CASE("A box that has just started learns of a version that no upstream "
          "has any more",
          "[stream-version]") {
  World Now;
  {
    Box Before(Now, true);
    Before.list({"v1"}, start());
    REQUIRE(Now.until(
        [&] { return Before.m_Records.names("s", SoftwareVersion("v1")); }));
  }
  Box After(Now);
  After.list({"v2"}, start());
  REQUIRE(Now.until([&] { return After.m_Records.known("s"); }));
  REQUIRE(After.known(start()).m_Several);
  REQUIRE(Now.until([&] { return Now.versions() == Json({"v1", "v2"}); }));
}

TEST_CASE("A service whose versions no key names may have had others unless "
          "the whole fleet starts",
          "[stream-version]") {
  World Now;
  const bool FirstStart = GENERATE(true, false);
  Box Started(Now, FirstStart);
  Started.list({"v1"}, start());
  REQUIRE(Now.until([&] { return Started.m_Records.known("s"); }));
  REQUIRE(Started.known(start()).m_Several == !FirstStart);
  REQUIRE(Now.until([&] { return Now.m_Store.has(Key); }));
}

TEST_CASE("A key that cannot be read, or is of an earlier era, may lack "
          "versions",
          "[stream-version]") {
  World Now;
  Now.m_Store.put(Key, GENERATE("not JSON", R"({"era":1})",
                                R"({"era":0,"versions":["v1"]})",
                                R"({"era":1,"versions":[1]})"));
  Box Started(Now);
  Started.list({"v1"}, start());
  REQUIRE(Now.until([&] { return Started.m_Records.known("s"); }));
  REQUIRE(Started.known(start()).m_Several);
}

TEST_CASE("Boxes that write the versions of a service at one moment lose none",
          "[stream-version]") {
  World Now;
  Box First(Now, true);
  Box Second(Now, true);
  Box Third(Now, true);
  First.list({"v1"}, start());
  Second.list({"v1", "v2"}, start());
  Third.list({"v3"}, start());
  const Json All{"v1", "v2", "v3"};
  REQUIRE(Now.until([&] {
    for (Box *Each : {&First, &Second, &Third})
      Each->m_Records.refresh(start());
    return Now.versions() == All;
  }));
}

TEST_CASE("A version is named until every stream that it may have begun is "
          "over",
          "[stream-version]") {
  World Now;
  Box One(Now, true);
  const TimePoint Begin = start();
  One.list({"v1", "v2"}, Begin);
  REQUIRE(Now.until([&] { return Now.versions() == Json({"v1", "v2"}); }));
  One.list({"v2"}, Begin + 1s);
  One.list({"v2"}, Begin + VersionHistory::Memory);
  REQUIRE(Now.versions() == Json({"v1", "v2"}));
  const TimePoint Later =
      Begin + 10s + VersionHistory::Memory + VersionHistory::ForgetMargin;
  REQUIRE(Now.until([&] {
    One.list({"v2"}, Later);
    return Now.versions() == Json::array({"v2"});
  }));
}

TEST_CASE("The only version there was stays named as the first one when others "
          "come",
          "[stream-version]") {
  const std::optional<SoftwareVersion> V1 = SoftwareVersion("v1");
  World Now;
  Box One(Now, true);
  const TimePoint Begin = start();
  One.list({"v1"}, Begin);
  REQUIRE(Now.until([&] { return One.m_Records.firstOf("s") == V1; }));
  One.list({"v1", "v2"}, Begin + 1s);
  REQUIRE(Now.until([&] { return Now.versions() == Json({"v1", "v2"}); }));
  REQUIRE(One.m_Records.firstOf("s") == V1);
  Box Started(Now);
  Started.list({"v2", "v3"}, Begin + 1s);
  REQUIRE(Now.until([&] {
    return Now.versions() == Json({"v1", "v2", "v3"});
  }));
  REQUIRE(Started.m_Records.firstOf("s") == V1);
}

TEST_CASE("There is no first version where several came at once or the store "
          "may lack some",
          "[stream-version]") {
  World Now;
  Box One(Now, true);
  const std::vector<std::string> Both{"v1", "v2"};
  SECTION("several came at once") {}
  SECTION("the key is of an earlier era") {
    Now.m_Store.put(Key, R"({"era":0,"versions":["v1"],"first":"v1"})");
  }
  SECTION("the key names no first one") {
    Now.m_Store.put(Key, R"({"era":1,"versions":["v1"]})");
  }
  One.list(Both, start());
  REQUIRE(Now.until([&] {
    return Now.m_Store.has(Key) &&
           One.m_Records.names("s", SoftwareVersion("v2"));
  }));
  REQUIRE_FALSE(One.m_Records.firstOf("s"));
}

TEST_CASE("There is no first version beside one that is not stated",
          "[stream-version]") {
  World Now;
  Box One(Now, true);
  const TimePoint Begin = start();
  One.list({"v1"}, Begin);
  REQUIRE(Now.until([&] { return Now.versions() == Json::array({"v1"}); }));
  One.list({"v1", ""}, Begin + 1s);
  REQUIRE(Now.until([&] { return Now.versions() == Json({"", "v1"}); }));
  REQUIRE(Now.until([&] { return !One.m_Records.firstOf("s"); }));
}

TEST_CASE("A first version that is over is not named when several others serve",
          "[stream-version]") {
  World Now;
  Box One(Now, true);
  const TimePoint Begin = start();
  One.list({"v1"}, Begin);
  REQUIRE(Now.until([&] { return Now.versions() == Json::array({"v1"}); }));
  const TimePoint Later =
      Begin + 10s + VersionHistory::Memory + VersionHistory::ForgetMargin;
  One.list({"v2", "v3"}, Begin + 1s);
  REQUIRE(Now.until([&] {
    return Now.versions() == Json({"v1", "v2", "v3"});
  }));
  REQUIRE(One.m_Records.firstOf("s"));
  REQUIRE(Now.until([&] {
    One.list({"v2", "v3"}, Later);
    return !One.m_Records.firstOf("s");
  }));
  REQUIRE(Now.versions() == Json({"v2", "v3"}));
}

// The store came back from a copy without keys before its upstreams were
// listed again.
TEST_CASE("A service that is listed after the keys were read may have had "
          "versions that no key names",
          "[stream-version]") {
  World Now;
  Box Started(Now);
  const TimePoint Begin = start();
  Started.list(withOther({}), Begin);
  REQUIRE(
      Now.until([&] { return Now.m_Store.has("havenstair/software/other"); }));
  SECTION("if the box has not known the list for long") {
    Started.list(withOther(listOf({"v1"})), Begin + 1s);
    REQUIRE(Now.until([&] { return Now.m_Store.has(Key); }));
    REQUIRE(Started.known(Begin + 1s).m_Several);
  }
  SECTION("unless the box would have listed them") {
    const TimePoint Later = Begin + VersionHistory::Memory;
    Started.list(withOther(listOf({"v1"})), Later);
    REQUIRE(Now.until([&] { return Now.m_Store.has(Key); }));
    REQUIRE(Started.known(Later).m_Only == SoftwareVersion("v1"));
  }
}

TEST_CASE("A box whose list is old leaves in the key what other boxes may list",
          "[stream-version]") {
  World Now;
  Box One(Now, true);
  const TimePoint Begin = start();
  One.list({"v1", "v2"}, Begin);
  REQUIRE(Now.until([&] { return Now.versions() == Json({"v1", "v2"}); }));
  Box Old(Now);
  Old.list({"v2"}, Begin);
  REQUIRE(Now.until(
      [&] { return Old.m_Records.names("s", SoftwareVersion("v1")); }));
  const TimePoint Later =
      Begin + 10s + VersionHistory::Memory + VersionHistory::ForgetMargin;
  Old.m_History.update(listOf({"v2", "v3"}), Later);
  REQUIRE(Now.until([&] {
    Old.m_Records.refresh(Later);
    return Old.m_Records.names("s", SoftwareVersion("v3"));
  }));
  REQUIRE(Now.versions() == Json({"v1", "v2", "v3"}));
}
