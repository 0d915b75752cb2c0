#include "gateway/GatewayTest.h"

using namespace havenstair;

namespace {

using Request = StandinRunner::Request;
using ConnectionPtr = StandinRunner::ConnectionPtr;

/// One engine that holds one of two models and never answers.
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

TEST_CASE(
    "A box that stops refuses requests that wait for a load, with an early "
    "retry time",
    "[gateway][admission]") {
  AdmissionTest Test;
  const auto Waits = [&] { return Test.m_Gateway->openRequests() == 1; };
  SECTION("requests that came before the stop") {
    Test.ask("id-1", "n");
    REQUIRE(Test.until(Waits));
    Test.m_Gateway->stop();
  }
  SECTION("requests that come during the stop") {
    Test.m_Gateway->stop();
    Test.ask("id-1", "n");
  }
  REQUIRE(Test.until([&] { return Test.m_Answer.has_value(); }));
  REQUIRE(Test.m_Answer->m_Status == 503);
  const std::string RetryAfter =
      findHeader(Test.m_Answer->m_Headers, "retry-after");
  REQUIRE_FALSE(RetryAfter.empty());
  // Another box can serve at once, while the load takes seconds.
  REQUIRE(std::stod(RetryAfter) < 0.1);
  REQUIRE(Test.arrivals("id-1") == 0);
}

TEST_CASE("Requests for models that nobody knows do not count as demand",
          "[gateway][admission]") {
  AdmissionTest Test;
  for (std::size_t Number = 0; Number < 20; ++Number) {
    const std::string Model = "invented-" + std::to_string(Number);
    Test.ask("id-" + std::to_string(Number), Model);
    REQUIRE(
        Test.until([&] { return Test.m_Gateway->openRequests() > Number; }));
    REQUIRE_FALSE(
        Test.m_Gateway->state().m_Demand.contains({"llm", Model, ""}));
  }
}
