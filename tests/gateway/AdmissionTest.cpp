#include "gateway/GatewayTest.h"

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

/// One engine that holds one of two models and answers nothing.
class AdmissionTest : public GatewayTest {
public:
  AdmissionTest() {
    addRunner("i-1", [](const Request &, const ConnectionPtr &) {});
    listEngine("i-1", {"m"});
    Json Route = route("llm", "streaming");
    Route["targetLatencyMs"] = 10000;
    const auto Model = [](const char *Name) {
      return Json{{"name", Name}, {"weightsMb", 40}, {"loadTimeS", 4}};
    };
    configureEngines(std::move(Route), Json::array({Model("m"), Model("n")}));
    startGateway();
    REQUIRE(until([&] { return m_Gateway->state().ready(); }));
  }

  void ask(const std::string &Id, const std::string &Model) {
    HttpCall Call = call("/llm/x", Id);
    Call.m_Headers.push_back({"X-Model-Name", Model});
    Call.m_Headers.push_back({"X-Token-Counts", "5000,10"});
    m_Http.fetch(std::move(Call),
                 [this](HttpAnswer Answer) { m_Answer = std::move(Answer); });
  }

  std::optional<HttpAnswer> m_Answer;
};

} // namespace

TEST_CASE("A stop answers those that wait for a load, and says where to go",
          "[gateway][admission]") {
  AdmissionTest Test;
  const auto Waits = [&] { return Test.m_Gateway->openRequests() == 1; };
  SECTION("they came before it") {
    Test.ask("id-1", "n");
    REQUIRE(Test.until(Waits));
    Test.m_Gateway->stop();
  }
  SECTION("they come during it") {
    Test.m_Gateway->stop();
    Test.ask("id-1", "n");
  }
  REQUIRE(Test.until([&] { return Test.m_Answer.has_value(); }));
  REQUIRE(Test.m_Answer->m_Status == 503);
  const std::string Away = findHeader(Test.m_Answer->m_Headers, "retry-after");
  REQUIRE_FALSE(Away.empty());
  // Another box is there at once; the load is seconds away.
  REQUIRE(std::stod(Away) < 0.1);
  REQUIRE(Test.arrivals("id-1") == 0);
}
