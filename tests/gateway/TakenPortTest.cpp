#include "gateway/GatewayTest.h"
#include "support/HeldPort.h"

#include <optional>

using namespace havenstair;

namespace {

class TakenPortTest : public GatewayTest {
public:
  explicit TakenPortTest(
      const std::function<void(GatewayOptions &, const Endpoint &)> &Take) {
    addRunner("i-1", [](const Request &Received, const ConnectionPtr &To) {
      To->write(StandinRunner::answer(Received, 200, "body"));
    });
    configure(1);
    GatewayOptions Options = options();
    Take(Options, m_Port.endpoint());
    m_Gateway = makeGateway(Options, [this] { m_Stopped = true; });
    REQUIRE(until([&] { return m_Gateway->state().ready(); }));
  }

  /// \returns the status that \p From gives for \p Path; 0 for none.
  int statusOf(const Endpoint &From, const std::string &Path) {
    HttpCall Call;
    Call.m_To = From;
    Call.m_Target = Path;
    return fetch(std::move(Call)).m_Status;
  }
  int readiness() { return statusOf(m_Gateway->readiness(), "/v1/readiness"); }
  /// This box's entry in the store; empty if there is none.
  std::optional<Json> ownEntry() const {
    const std::optional<std::string> Value =
        m_Store.firstValue("havenstair/box/");
    return Value ? std::optional(parseJson(*Value)) : std::nullopt;
  }

  HeldPort m_Port;
};

} // namespace

TEST_CASE("A box whose callers' port is taken at its start serves once it is "
          "free, and is not ready before",
          "[gateway][startup][ports]") {
  TakenPortTest Test([](GatewayOptions &Options, const Endpoint &Taken) {
    Options.m_Callers = Taken;
  });
  REQUIRE(Test.readiness() == 503);
  Test.m_Port.release();
  REQUIRE(Test.until([&] { return Test.readiness() == 200; }));
  REQUIRE(Test.fetch("/safe/x", "id-1").m_Status == 200);
}

TEST_CASE("A box whose readiness port is taken at its start says that it is "
          "ready once it is free",
          "[gateway][startup][ports]") {
  TakenPortTest Test([](GatewayOptions &Options, const Endpoint &Taken) {
    Options.m_Readiness = Taken;
  });
  REQUIRE(Test.fetch("/safe/x", "id-1").m_Status == 200);
  Test.m_Port.release();
  REQUIRE(Test.until([&] { return Test.readiness() == 200; }));
}

TEST_CASE("A box whose metrics port is taken at its start serves",
          "[gateway][startup][ports]") {
  TakenPortTest Test([](GatewayOptions &Options, const Endpoint &Taken) {
    Options.m_Metrics = Taken;
  });
  REQUIRE(Test.readiness() == 200);
  REQUIRE(Test.fetch("/safe/x", "id-1").m_Status == 200);
  Test.m_Port.release();
  REQUIRE(Test.until([&] {
    return Test.statusOf(Test.m_Gateway->metrics(), "/metrics") == 200;
  }));
}

TEST_CASE("A box whose port for links is taken at its start has no entry in "
          "the store until it is free",
          "[gateway][startup][ports]") {
  TakenPortTest Test([](GatewayOptions &Options, const Endpoint &Taken) {
    Options.m_Peers = Taken;
  });
  REQUIRE(Test.readiness() == 200);
  REQUIRE(Test.fetch("/safe/x", "id-1").m_Status == 200);
  REQUIRE_FALSE(Test.ownEntry());
  Test.m_Port.release();
  REQUIRE(Test.until([&] { return Test.ownEntry().has_value(); }));
  REQUIRE(Test.ownEntry()->at("peers") == Test.m_Port.endpoint().str());
}

TEST_CASE("A box whose port for passed requests is taken at its start names it "
          "in the store once it is free",
          "[gateway][startup][ports]") {
  TakenPortTest Test([](GatewayOptions &Options, const Endpoint &Taken) {
    Options.m_Passing = Taken;
  });
  REQUIRE(Test.until([&] { return Test.ownEntry().has_value(); }));
  REQUIRE_FALSE(Test.ownEntry()->contains("passing"));
  Test.m_Port.release();
  REQUIRE(Test.until([&] { return Test.ownEntry()->contains("passing"); }));
  REQUIRE(Test.ownEntry()->at("passing") == Test.m_Port.endpoint().str());
}

TEST_CASE("A box that stops while a port is taken stops",
          "[gateway][startup][ports][stop]") {
  TakenPortTest Test([](GatewayOptions &Options, const Endpoint &Taken) {
    Options.m_Callers = Taken;
  });
  Test.m_Gateway->stop();
  REQUIRE(Test.until([&] { return Test.m_Stopped; }));
}
