#include "gateway/GatewayTest.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

void answerWell(const Request &Received, const ConnectionPtr &Connection) {
  Connection->write(StandinRunner::answer(Received, 200, "body"));
}

/// A gateway in the region n with a runner there, one in the region south and
/// one in a data centre without a region. The key of each organisation is its
/// name.
class RegionTest : public GatewayTest {
public:
  RegionTest() {
    std::string Path = "/tmp/havenstair-log-XXXXXX";
    m_LogDescriptor = mkstemp(Path.data());
    m_LogPath = Path;
    add("north", "a", answerWell);
    add("south", "b", answerWell);
    add("nowhere", "x", answerWell);
    Json Anywhere = organisation("anywhere", "anywhere");
    Json Southern = organisation("southern", "southern");
    Southern["allowedRegions"] = Json::array({"south"});
    m_Organisations = Json::array({Anywhere, Southern});
  }
  ~RegionTest() { unlink(m_LogPath.c_str()); }

  void add(const std::string &Id, const std::string &Zone,
           StandinRunner::Behaviour Behave) {
    m_Runners[Id] = std::make_unique<StandinRunner>(m_Loop, std::move(Behave));
    list(Id, "ready", Zone);
  }

  /// Puts a configuration into the store in which all routes may be served in
  /// \p Regions.
  void configureRegions(std::uint64_t Version, const Json &Regions) {
    Json Routes = Json::array();
    for (const char *Kind : {"safe", "unsafe"})
      Routes.push_back(route(Kind, Kind));
    Routes.push_back(route("resumable", "streaming", true));
    for (Json &Each : Routes)
      Each["allowedRegions"] = Regions;
    m_Store.put("op/config",
                dumpJson({{"version", Version},
                          {"routes", std::move(Routes)},
                          {"services", Json::array({{{"name", "s"}}})},
                          {"limits", Json::object()},
                          {"tenants", m_Organisations}}));
  }

  void startIn(const Json &Regions) {
    configureRegions(1, Regions);
    startWith();
  }

  /// Starts the gateway with the configuration in the store.
  void startWith() {
    GatewayOptions Options = options();
    Options.m_Regions =
        DataCentreMap({{DataCentreName("a"), RegionName("n")},
                       {DataCentreName("b"), RegionName("south")}});
    m_Gateway = makeGateway(Options, [] {});
    REQUIRE(until([&] { return m_Gateway->state().ready(); }));
  }

  HttpAnswer fetchFor(const std::string &Organisation,
                      const std::string &Target, const std::string &Id) {
    HttpCall Call = call(Target, Id);
    Call.m_Headers.push_back({"Api-Key", Organisation});
    return fetch(std::move(Call));
  }

  std::size_t at(const std::string &Runner, const std::string &Id) const {
    return m_Runners.at(Runner)->arrivals(Id);
  }

  std::string log() const {
    std::ifstream File(m_LogPath);
    std::stringstream Text;
    Text << File.rdbuf();
    return Text.str();
  }

  /// Makes all runners react to a request with \p First, change the allowed
  /// regions to \p Regions, and close the connection once the gateway has the
  /// change.
  void changeOnArrival(const Json &Regions,
                       const StandinRunner::Behaviour &First) {
    for (const auto &[Id, Runner] : m_Runners)
      Runner->setBehaviour(
          [this, Regions, First](const Request &Received,
                                 const ConnectionPtr &Connection) {
            First(Received, Connection);
            configureRegions(2, Regions);
            m_Polls.push_back(m_Loop.every(5ms, [this, Connection] {
              if (m_Gateway->state().configVersion() >= 2)
                Connection->close();
            }));
          });
  }

  std::string m_LogPath;
  /// One for each request; the box probes the runners as well.
  std::vector<Timer> m_Polls;
};

std::string retryAfter(const HttpAnswer &Answer) {
  for (const auto &Header : Answer.m_Headers)
    if (Header.m_Name == "Retry-After")
      return Header.m_Value;
  return "";
}

} // namespace

TEST_CASE("A route with regions is served only there, even if they are distant",
          "[gateway][regions]") {
  RegionTest Test;
  Test.startIn(Json::array({"south"}));
  const std::string Target = GENERATE("/safe/x", "/unsafe/x");
  for (int Number = 0; Number < 6; ++Number) {
    const std::string Id = "id-" + std::to_string(Number);
    REQUIRE(Test.fetchFor("anywhere", Target, Id).m_Status == 200);
    REQUIRE(Test.at("south", Id) == 1);
    REQUIRE(Test.arrivals(Id) == 1);
  }
}

TEST_CASE("A request is served only where route and organisation both allow it",
          "[gateway][regions]") {
  RegionTest Test;
  SECTION("in a region that both allow") {
    Test.startIn(Json::array({"n", "south"}));
    REQUIRE(Test.fetchFor("southern", "/unsafe/x", "id-1").m_Status == 200);
    REQUIRE(Test.at("south", "id-1") == 1);
  }
  SECTION("where only the organisation names regions") {
    Test.startIn(Json::array());
    REQUIRE(Test.fetchFor("southern", "/unsafe/x", "id-1").m_Status == 200);
    REQUIRE(Test.at("south", "id-1") == 1);
    REQUIRE(Test.fetchFor("anywhere", "/unsafe/x", "id-2").m_Status == 200);
    REQUIRE(Test.at("south", "id-2") == 0);
  }
  SECTION("without a common region it is refused at once and not run") {
    Test.startIn(Json::array({"n"}));
    const HttpAnswer Answer = Test.fetchFor("southern", "/unsafe/x", "id-1");
    REQUIRE(Answer.m_Status == 503);
    REQUIRE(Answer.m_Body.find("no_allowed_region") != std::string::npos);
    REQUIRE(retryAfter(Answer) == "60.000");
    REQUIRE(Test.arrivals("id-1") == 0);
    HttpCall Metrics;
    Metrics.m_To = Test.m_Gateway->metrics();
    Metrics.m_Target = "/metrics";
    const HttpAnswer Shown = Test.fetch(std::move(Metrics));
    REQUIRE(Shown.m_Body.find("outcome=\"no_allowed_region\"") !=
            std::string::npos);
    REQUIRE(Test.until([&] {
      return Test.log().find("\"regions\":\"none in common\"") !=
             std::string::npos;
    }));
  }
}

TEST_CASE(
    "A request is refused at once when no upstream is in an allowed region",
    "[gateway][regions]") {
  RegionTest Test;
  Test.startIn(Json::array({"west"}));
  const HttpAnswer Answer = Test.fetchFor("anywhere", "/unsafe/x", "id-1");
  REQUIRE(Answer.m_Status == 503);
  REQUIRE(Answer.m_Body.find("no_allowed_upstream") != std::string::npos);
  REQUIRE(retryAfter(Answer) == "1.000");
  REQUIRE(Test.arrivals("id-1") == 0);
}

TEST_CASE("Regions that change between two sends apply to the second one",
          "[gateway][regions]") {
  RegionTest Test;
  Test.startIn(Json::array());
  const bool Same = GENERATE(true, false);
  Test.changeOnArrival(Same ? Json::array() : Json::array({"west"}),
                       [](const Request & /*Received*/,
                          const ConnectionPtr & /*Connection*/) {});
  REQUIRE(Test.fetchFor("anywhere", "/safe/x", "id-1").m_Status == 502);
  REQUIRE(Test.arrivals("id-1") == (Same ? 2 : 1));
}

TEST_CASE("A stream is not resumed in a region that is no longer allowed",
          "[gateway][regions]") {
  RegionTest Test;
  Test.startIn(Json::array());
  const bool Same = GENERATE(true, false);
  Test.changeOnArrival(
      Same ? Json::array() : Json::array({"west"}),
      [](const Request &Received, const ConnectionPtr &Connection) {
        Connection->write(StandinRunner::streamHead(Received) +
                          StandinRunner::event(1));
      });
  const HttpAnswer Answer = Test.fetchFor("anywhere", "/resumable/x", "id-1");
  REQUIRE(Answer.m_End == HttpEnd::Broken);
  REQUIRE(Test.arrivals("id-1") == (Same ? 2 : 1));
}

TEST_CASE("Regions that change while a request waits apply to it",
          "[gateway][regions]") {
  RegionTest Test;
  // The request waits to learn of a load of its model; meanwhile the
  // configuration changes so that no upstream is in an allowed region.
  Test.m_Organisations = Json::array();
  const auto Configure = [&](std::uint64_t Version, const char *Region) {
    Json Route = Test.route("llm", "streaming", true);
    Route["service"] = "llm";
    Route["allowedRegions"] = Json::array({Region});
    const Json Engine{{"slots", 8},
                      {"weightsMb", 100},
                      {"adapterCapacity", 4},
                      {"loadsPerS", 2},
                      {"modelList", Json::array({{{"name", "m"}}})}};
    Test.m_Store.put(
        "op/config",
        dumpJson({{"version", Version},
                  {"routes", Json::array({Route})},
                  {"services", Json::array({{{"name", "llm"},
                                             {"inferenceEngine", Engine}}})}}));
  };
  Test.listEngine("north", {});
  Configure(1, "n");
  Test.startWith();
  HttpCall Call = Test.call("/llm/x", "id-1", R"({"model":"m"})");
  Call.m_Headers.push_back({"X-Model-Name", "m"});
  HttpAnswer Answer;
  bool Done = false;
  Test.m_Http.fetch(std::move(Call), [&](HttpAnswer Received) {
    Answer = std::move(Received);
    Done = true;
  });
  REQUIRE(
      Test.until([&] { return !Test.m_Gateway->state().m_Demand.empty(); }));
  REQUIRE(Test.m_Gateway->state().configVersion() == 1);
  Configure(2, "south");
  REQUIRE(Test.until([&] { return Done; }));
  REQUIRE(Answer.m_Status == 503);
  REQUIRE(Answer.m_Body.find("no_allowed_upstream") != std::string::npos);
  REQUIRE(Test.arrivals("id-1") == 0);
}
