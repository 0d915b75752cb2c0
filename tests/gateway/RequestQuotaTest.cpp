#include "gateway/request/RequestQuota.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace havenstair;

namespace {

/// Keeps queries until the test answers them.
class DeferredQuotaService : public QuotaService {
public:
  void acquire(const std::string &, const QuotaRequest &,
               Done Callback) override {
    m_Queries.push_back(std::move(Callback));
  }
  void refund(const std::string &, double Units) override {
    m_GivenBack += Units;
  }

  std::vector<Done> m_Queries;
  double m_GivenBack = 0;
};

const QuotaVerdict Granted{.m_Step = QuotaStep::Grant};

} // namespace

TEST_CASE("Units that were granted and not used are given back once",
          "[gateway][quota]") {
  const auto Service = std::make_shared<DeferredQuotaService>();
  const auto Grant = [&](RequestQuota &Quota) {
    bool Answered = false;
    REQUIRE_FALSE(Quota.granted());
    Quota.ask(0us, [&](const auto &) { Answered = true; });
    Service->m_Queries.back()(Granted);
    REQUIRE(Answered);
    REQUIRE(Quota.granted());
  };
  {
    RequestQuota Ended(Service, "o", 700);
    Grant(Ended);
  }
  REQUIRE(Service->m_GivenBack == 700);
  {
    RequestQuota Refused(Service, "o", 30);
    Grant(Refused);
    Refused.refund();
  }
  REQUIRE(Service->m_GivenBack == 730);
  {
    RequestQuota Sent(Service, "o", 5);
    Grant(Sent);
    Sent.noteSent();
  }
  REQUIRE(Service->m_GivenBack == 730);
}

TEST_CASE("A grant that comes after the request has ended is given back",
          "[gateway][quota]") {
  const auto Service = std::make_shared<DeferredQuotaService>();
  bool Answered = false;
  {
    RequestQuota Quota(Service, "o", 700);
    Quota.ask(0us, [&](const auto &) { Answered = true; });
  }
  Service->m_Queries.at(0)(Granted);
  REQUIRE_FALSE(Answered);
  REQUIRE(Service->m_GivenBack == 700);
}

TEST_CASE("A request that outlives the service gets no verdict",
          "[gateway][quota]") {
  auto Service = std::make_shared<DeferredQuotaService>();
  RequestQuota Quota(Service, "o", 700);
  Quota.ask(0us, [](const auto &) {});
  Service->m_Queries.at(0)(Granted);
  Service.reset();
  Quota.refund();
  bool HasVerdict = true;
  Quota.ask(0us,
            [&](const auto &Verdict) { HasVerdict = Verdict.has_value(); });
  REQUIRE_FALSE(HasVerdict);
}
