#include "gateway/GatewayTest.h"

using namespace havenstair;

TEST_CASE("A box that starts tells when it had what it needs to serve",
          "[gateway][startup]") {
  GatewayTest Test;
  Test.addRunner("i-1", [](const GatewayTest::Request &Received,
                           const GatewayTest::ConnectionPtr &To) {
    To->write(StandinRunner::answer(Received, 200, "body"));
  });
  Test.start();
  const auto Page = [&] {
    HttpCall Call;
    Call.m_To = Test.m_Gateway->metrics();
    Call.m_Target = "/metrics";
    return Test.fetch(std::move(Call)).m_Body;
  };
  const auto Tells = [&](const std::string &Step) {
    return Page().find("havenstair_startup_seconds{step=\"" + Step + "\"}") !=
           std::string::npos;
  };
  for (const char *Step : {"boxes", "config", "upstreams", "ready"})
    REQUIRE(Tells(Step));
  REQUIRE_FALSE(Tells("first_answer"));
  REQUIRE(Test.fetch("/safe/x", "id-1").m_Status == 200);
  REQUIRE(Tells("first_answer"));
}
