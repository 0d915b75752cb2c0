#include "gateway/GatewayTest.h"

#include "platform/NodeFile.h"
#include "platform/OperatorConfig.h"
#include "platform/UpstreamEntry.h"
#include <filesystem>
#include <fstream>

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

void answerWithSuccess(const Request &Of, const ConnectionPtr &To) {
  To->write(StandinRunner::answer(Of, 200, "body"));
}

int readiness(GatewayTest &Test) {
  HttpCall Call;
  Call.m_To = Test.m_Gateway->readiness();
  Call.m_Target = "/v1/readiness";
  return Test.fetch(std::move(Call)).m_Status;
}

} // namespace

TEST_CASE("A box without a configuration is not ready and refuses requests",
          "[gateway][config]") {
  GatewayTest Test;
  Test.addRunner("i-1", answerWithSuccess);
  Test.startGateway();
  REQUIRE(readiness(Test) == 503);
  REQUIRE(Test.fetch("/safe/x", "id-1").m_Status == 503);
  Test.configure(1);
  REQUIRE(Test.until([&] { return Test.m_Gateway->state().ready(); }));
  REQUIRE(readiness(Test) == 200);
  REQUIRE(Test.fetch("/safe/x", "id-2").m_Status == 200);
  REQUIRE(Test.fetch("/none/x", "id-3").m_Status == 404);
}

TEST_CASE("A newer configuration is adopted, an older or malformed one is not",
          "[gateway][config]") {
  GatewayTest Test;
  Test.addRunner("i-1", answerWithSuccess);
  Test.start();
  const auto Version = [&] {
    return Test.m_Gateway->state().m_Config->m_Version;
  };
  Test.configure(7, Json::array({Test.route("added", "safe")}));
  REQUIRE(Test.until([&] { return Version() == 7; }));
  REQUIRE(Test.fetch("/added/x", "id-1").m_Status == 200);
  Test.configure(3);
  Test.m_Store.put("op/config", "{ not json");
  Test.m_Store.put("servers/bad", "neither");
  Test.configure(9);
  REQUIRE(Test.until([&] { return Version() == 9; }));
  REQUIRE(Test.fetch("/added/x", "id-2").m_Status == 404);
}

TEST_CASE("A change that is missing from the store's history is read again",
          "[gateway][config]") {
  GatewayTest Test;
  Test.addRunner("i-1", answerWithSuccess);
  Test.start();
  Test.m_Store.setFault(StandinStore::Fault::Refuses);
  Test.m_Store.forgetHistory();
  Test.configure(5);
  Test.m_Store.forgetHistory();
  Test.m_Store.setFault(StandinStore::Fault::None);
  REQUIRE(Test.until(
      [&] { return Test.m_Gateway->state().m_Config->m_Version == 5; }));
}

TEST_CASE("Requests are served while the store is unavailable",
          "[gateway][store]") {
  GatewayTest Test;
  Test.addRunner("i-1", answerWithSuccess);
  Test.start();
  Test.m_Store.setFault(
      GENERATE(StandinStore::Fault::Refuses, StandinStore::Fault::Silent));
  for (int Number = 0; Number < 5; ++Number)
    REQUIRE(Test.fetch("/safe/x", "id-" + std::to_string(Number)).m_Status ==
            200);
  REQUIRE(readiness(Test) == 200);
}

TEST_CASE("A draining runner gets no requests while another one serves",
          "[gateway][drain]") {
  GatewayTest Test;
  StandinRunner &Leaving = Test.addRunner("i-1", answerWithSuccess);
  Test.addRunner("i-2", answerWithSuccess);
  Test.start();
  Test.list("i-1", "draining");
  REQUIRE(Test.until([&] {
    return Test.m_Gateway->state().m_Upstreams.current().at("i-1").m_Draining;
  }));
  for (int Number = 0; Number < 6; ++Number)
    REQUIRE(Test.fetch("/safe/x", "id-" + std::to_string(Number)).m_Status ==
            200);
  REQUIRE(Leaving.requests().empty());
}

TEST_CASE(
    "A stop completes running requests and refuses those that come too late",
    "[gateway][stop]") {
  GatewayTest Test;
  ConnectionPtr Held;
  Request Waiting;
  Test.addRunner("i-1", [&](const Request &Of, const ConnectionPtr &To) {
    if (Of.header("x-attempt-id") != "id-slow")
      return answerWithSuccess(Of, To);
    Waiting = Of;
    Held = To;
  });
  Test.start();
  HttpAnswer Slow;
  bool Done = false;
  Test.m_Http.fetch(Test.call("/unsafe/x", "id-slow"), [&](HttpAnswer Answer) {
    Slow = std::move(Answer);
    Done = true;
  });
  REQUIRE(Test.until([&] { return Held != nullptr; }));
  Test.m_Gateway->stop();
  REQUIRE(readiness(Test) == 503);
  const HttpAnswer Early = Test.fetch("/safe/x", "id-early");
  REQUIRE(Early.m_Status == 200);
  REQUIRE(findHeader(Early.m_Headers, "Connection") == "close");
  int LateStatus = 200;
  for (int Number = 0; LateStatus == 200; ++Number)
    LateStatus = Test.fetch("/safe/x", "id-" + std::to_string(Number)).m_Status;
  REQUIRE(LateStatus == 503);
  REQUIRE_FALSE(Test.m_Stopped);
  const std::string Large(6 << 20, 'x');
  Held->write(StandinRunner::answer(Waiting, 200, Large));
  // The process ends here: bytes that are not written by then are lost.
  REQUIRE(Test.until([&] { return Test.m_Stopped; }));
  Test.m_Gateway.reset();
  REQUIRE(Test.until([&] { return Done; }));
  REQUIRE(Slow.m_End == HttpEnd::Complete);
  REQUIRE(Slow.m_Body == Large);
  REQUIRE_FALSE(Test.m_Store.has("havenstair/giver"));
}

TEST_CASE("The settings file is read in the platform's format",
          "[platform][settings]") {
  Json File{{"nodeName", "n"},
            {"zone", "z"},
            {"ipAddress", "10.0.0.1"},
            {"listenAddresses",
             {{"frontend", "10.0.0.1:80"}, {"ready", "10.0.0.1:81"}}},
            {"internalPortRange", {7380, 7395}},
            {"seedNodes", {"10.0.0.2:90", "no address"}},
            {"bounds", {{"gracePeriodS", 6}, {"retryBudgetRatio", 0.3}}},
            {"platform", {{"address", "10.9.9.9:99"}, {"ttl_min_ms", 1500}}},
            {"unknown", "ignored"}};
  const GatewayOptions Options = platform::parseNodeFile(dumpJson(File));
  REQUIRE(Options.m_Callers == Endpoint{"10.0.0.1", 80});
  REQUIRE(Options.m_Peers == Endpoint{"10.0.0.1", 7380});
  REQUIRE(Options.m_Seeds == std::vector{Endpoint{"10.0.0.2", 7380}});
  REQUIRE(Options.m_Bounds.m_GracePeriod == 6s);
  REQUIRE(Options.m_Bounds.m_RetryRatio == 0.3);
  REQUIRE(Options.m_MinLease == 1500ms);
  const std::string Missing =
      GENERATE("nodeName", "internalPortRange", "ipAddress", "listenAddresses");
  File.erase(Missing);
  REQUIRE_THROWS_AS(platform::parseNodeFile(dumpJson(File)), DecodeError);
}

TEST_CASE("Settings that are missing or not whole may come, wrong ones do not "
          "become right",
          "[platform][settings]") {
  const std::string Path = std::filesystem::temp_directory_path() /
                           ("settings-test-" + std::to_string(getpid()));
  REQUIRE_THROWS_AS(platform::readNodeFile(Path), SettingsUnavailable);
  std::ofstream(Path) << R"({"nodeName":"n","zo)";
  REQUIRE_THROWS_AS(platform::readNodeFile(Path), SettingsUnavailable);
  std::ofstream(Path) << R"({"nodeName":1})";
  try {
    platform::readNodeFile(Path);
    FAIL("the settings are wrong");
  } catch (const SettingsUnavailable &) {
    FAIL("the settings do not become right");
  } catch (const std::runtime_error &) {
    SUCCEED();
  }
  std::filesystem::remove(Path);
}

TEST_CASE("Warm-up, start times, regions and evacuations are decoded",
          "[platform][regions][warm-up]") {
  const GatewayOptions Options = platform::parseNodeFile(
      R"({"nodeName":"n","zone":"a","ipAddress":"10.0.0.1",
          "listenAddresses":{"frontend":"10.0.0.1:80","ready":"10.0.0.1:81"},
          "internalPortRange":[7380,7395],
          "zones":{"a":"north","b":"north","c":"south"},
          "bounds":{"coldOverage":1.5,"coldAllowance":5,"evacuationMs":4500},
          "platform":{"address":"10.9.9.9:99"}})");
  CHECK(Options.m_Regions.regionOf(DataCentreName("c")) == RegionName("south"));
  CHECK(Options.m_Bounds.m_WarmUp ==
        WarmUpTolerance{.m_Factor = 1.5, .m_Allowance = 5});
  CHECK(Options.m_Bounds.m_EvacuationDelay == 4500ms);

  const UpstreamInstance Server = platform::decodeUpstream(
      "servers/i-1", R"({"service":"s","address":"10.0.0.9:80","zone":"a",
                         "version":"v1","slots":8,"state":"ready",
                         "sequenceNumber":1,
                         "born":1790000000123,"coldRemainingMs":2500})");
  CHECK(Server.incarnation() ==
        UpstreamIncarnation{.m_Id = "i-1", .m_StartTime = 1790000000123});
  CHECK(Server.m_ColdFor == 2500ms);

  const ServingConfig Config = platform::decodeConfig(
      R"({"version":1,
          "routes":[{"name":"r","host":"h","pathPrefix":"/","service":"s",
                     "allowedRegions":["north","south"]}],
          "services":[{"name":"s","coldStartS":3,"coldPerS":6.6}],
          "tenants":[{"name":"t","allowedRegions":["south"]}]})",
      SecretHasher());
  CHECK(Config.m_Routes.front().m_AllowedRegions ==
        std::set{RegionName("north"), RegionName("south")});
  CHECK(Config.m_Organisations.front().m_AllowedRegions ==
        std::set{RegionName("south")});
  CHECK(Config.m_Services.front().m_WarmUp ==
        WarmUpSpec{.m_ColdTime = 3s, .m_RequestsPerSecond = 6.6});

  const PlatformBinding Binding = platform::makeBinding("");
  const AnswerFacts Facts = Binding.m_Dialect.m_ReadAnswer(
      200, {{"X-Instance-Id", "i-1"}, {"X-Cold-Remaining-Ms", "700"}});
  CHECK(Facts.m_Instance == "i-1");
  CHECK(Facts.m_ColdFor == 700ms);
}

TEST_CASE("A time to retry after is read from an answer that rejects a request",
          "[platform]") {
  const RequestDialect Dialect = platform::makeBinding("").m_Dialect;
  const auto Read = [&](int Status, const std::string &Text) {
    return Dialect.m_ReadAnswer(Status, {{"retry-after", Text}});
  };
  SECTION("in seconds, also as a fraction") {
    CHECK(Read(503, "3").m_RetryAfter == 3s);
    CHECK(Read(429, "0.25").m_RetryAfter == 250ms);
    CHECK_FALSE(Read(503, "0").m_RetryAfter);
    CHECK_FALSE(Read(503, "0").m_BadRetryAfter);
  }
  SECTION("as a date, relative to the date of the answer") {
    const std::string Until = "Thu, 03 Dec 2026 12:00:05 GMT";
    const AnswerFacts Facts =
        Dialect.m_ReadAnswer(503, {{"Date", "Thu, 03 Dec 2026 12:00:00 GMT"},
                                   {"Retry-After", Until}});
    CHECK(Facts.m_RetryAfter == 5s);
    CHECK(Read(503, Until).m_BadRetryAfter);
  }
  SECTION("not from other answers, nor if it cannot be parsed") {
    CHECK_FALSE(Read(200, "3").m_RetryAfter);
    const std::string Text =
        GENERATE("", "-1", "soon", "1,2", "1e9", "9999999");
    CHECK_FALSE(Read(503, Text).m_RetryAfter);
    CHECK(Read(503, Text).m_BadRetryAfter);
    const AnswerFacts Twice =
        Dialect.m_ReadAnswer(503, {{"Retry-After", "1"}, {"Retry-After", "1"}});
    CHECK(Twice.m_BadRetryAfter);
    CHECK_FALSE(Twice.m_RetryAfter);
  }
}

TEST_CASE("An upstream leaves only if the header has the one valid value",
          "[platform]") {
  const RequestDialect Dialect = platform::makeBinding("").m_Dialect;
  CHECK(Dialect.m_ReadAnswer(503, {{"server-leaving", "1"}}).m_Leaving);
  const std::string Text = GENERATE("", "0", "no", "11");
  CHECK_FALSE(Dialect.m_ReadAnswer(200, {{"Server-Leaving", Text}}).m_Leaving);
  CHECK_FALSE(Dialect.m_ReadAnswer(200, {}).m_Leaving);
}

TEST_CASE("A limit is read only from a single decimal number", "[platform]") {
  const RequestDialect Dialect = platform::makeBinding("").m_Dialect;
  const auto Read = [&](const HttpHeaders &Headers) {
    return Dialect.m_ReadAnswer(200, Headers);
  };
  SECTION("an integer or a fraction") {
    const auto [Text, Value] = GENERATE(table<std::string, double>(
        {{"0", 0}, {"0.5", 0.5}, {"1", 1}, {"2.50", 2.5}, {"1000", 1000}}));
    CHECK(Read({{"server-limit", Text}}).m_Limit == Value);
    CHECK_FALSE(Read({{"server-limit", Text}}).m_BadLimit);
  }
  SECTION("no other text") {
    const std::string Text =
        GENERATE("", "-1", "-0", "x", "1,2", "1 a second", "nan", "inf", "1e3",
                 "0x10", "99999999999", "+1");
    CHECK_FALSE(Read({{"Server-Limit", Text}}).m_Limit);
    CHECK(Read({{"Server-Limit", Text}}).m_BadLimit);
  }
  SECTION("no two values") {
    const AnswerFacts Facts =
        Read({{"Server-Limit", "1"}, {"Server-Limit", "1"}});
    CHECK_FALSE(Facts.m_Limit);
    CHECK(Facts.m_BadLimit);
  }
  SECTION("no header") {
    CHECK_FALSE(Read({}).m_Limit);
    CHECK_FALSE(Read({}).m_BadLimit);
  }
}

TEST_CASE("A refusal limit is read only from a single decimal number",
          "[platform]") {
  const RequestDialect Dialect = platform::makeBinding("").m_Dialect;
  const auto Read = [&](const HttpHeaders &Headers) {
    return Dialect.m_ReadAnswer(200, Headers);
  };
  SECTION("an integer or a fraction") {
    const auto [Text, Value] = GENERATE(table<std::string, double>(
        {{"0", 0}, {"0.5", 0.5}, {"3", 3}, {"1000", 1000}}));
    CHECK(Read({{"server-brittle", Text}}).m_RefusalLimit == Value);
    CHECK_FALSE(Read({{"server-brittle", Text}}).m_BadRefusalLimit);
  }
  SECTION("no other text") {
    const std::string Text =
        GENERATE("", "-1", "x", "1,2", "nan", "1e3", "99999999999", "+1");
    CHECK_FALSE(Read({{"Server-Brittle", Text}}).m_RefusalLimit);
    CHECK(Read({{"Server-Brittle", Text}}).m_BadRefusalLimit);
  }
  SECTION("no two values") {
    const AnswerFacts Facts =
        Read({{"Server-Brittle", "1"}, {"Server-Brittle", "1"}});
    CHECK_FALSE(Facts.m_RefusalLimit);
    CHECK(Facts.m_BadRefusalLimit);
  }
  SECTION("no header") {
    CHECK_FALSE(Read({}).m_RefusalLimit);
    CHECK_FALSE(Read({}).m_BadRefusalLimit);
  }
}

TEST_CASE("Only a 503 that was not executed and does not announce leaving is "
          "for lack of room",
          "[platform]") {
  const RequestDialect Dialect = platform::makeBinding("").m_Dialect;
  const HttpHeader NotRun{"X-Request-Not-Executed", "1"};
  CHECK(Dialect.m_ReadAnswer(503, {NotRun}).m_NoRoom);
  CHECK_FALSE(Dialect.m_ReadAnswer(503, {}).m_NoRoom);
  CHECK_FALSE(Dialect.m_ReadAnswer(429, {NotRun}).m_NoRoom);
  CHECK_FALSE(Dialect.m_ReadAnswer(421, {NotRun}).m_NoRoom);
  CHECK_FALSE(
      Dialect.m_ReadAnswer(503, {NotRun, {"Server-Leaving", "1"}}).m_NoRoom);
}

TEST_CASE("A malformed configuration or upstream entry is an error",
          "[platform]") {
  const std::string Text =
      GENERATE("", "null", "[]", "{}", R"({"version":-1})",
               R"({"version":1,"routes":{},"services":7})",
               R"({"version":1,"routes":[{"name":1}],"services":[]})");
  REQUIRE_THROWS_AS(platform::decodeConfig(Text, SecretHasher()), DecodeError);
  REQUIRE_THROWS_AS(platform::decodeUpstream("servers/i", Text), DecodeError);
}

TEST_CASE("An upstream entry without a usable address is an error",
          "[platform]") {
  const std::string Address = GENERATE("", "nowhere", "nowhere:80", "127.0.0.1",
                                       "127.0.0.1:99999", "127.0.0.1:0");
  Json Entry{{"service", "s"},      {"address", "127.0.0.1:99"},
             {"zone", "a"},         {"slots", 8},
             {"state", "ready"},    {"version", "v1"},
             {"sequenceNumber", 1}, {"coldRemainingMs", 0}};
  REQUIRE_NOTHROW(platform::decodeUpstream("servers/i", dumpJson(Entry)));
  Entry["address"] = Address;
  REQUIRE_THROWS_AS(platform::decodeUpstream("servers/i", dumpJson(Entry)),
                    DecodeError);
}

TEST_CASE("A runner's report states its pending orders and loads",
          "[platform]") {
  const ResidencyReport Report = platform::decodeReport(
      R"({"sequenceNumber":4,"utilization":true,
          "modelList":[{"name":"m","version":1,"adapterList":["a1"]}],
          "pendingLoads":["m/a2@1"],
          "available":{"resident":["m"],"persisted":["m","n"]}})");
  REQUIRE(Report.m_OrderCount == 4);
  REQUIRE(Report.m_OrderUnderWay);
  REQUIRE(Report.m_Models.front().m_Adapters.contains("a1"));
  REQUIRE(Report.m_Pending.front().m_Adapters.contains("a2"));
  REQUIRE(Report.m_OnDisk.contains("n"));
}

TEST_CASE(
    "The removal of a runner is noticed although the watch of the list is dead",
    "[gateway][platform]") {
  GatewayTest Test;
  Test.addRunner("i-1", [](const Request &, const ConnectionPtr &) {});
  Test.start();
  const auto Serving = [&] {
    return Test.m_Gateway->state().m_Upstreams.current().contains("i-1");
  };
  REQUIRE(Test.until(Serving));
  REQUIRE(Test.until([&] { return Test.m_Store.silenceWatch("servers/"); }));
  Test.m_Store.remove("servers/i-1");
  REQUIRE(Test.until([&] { return !Serving(); }));
}
