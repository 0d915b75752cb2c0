#include "gateway/request/RequestPermit.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace havenstair;

namespace {

/// Keeps queries until the test answers them.
class DeferredPermitService : public PermitService {
public:
  void ask(const InstanceId &, Duration, Done Callback) override {
    m_Queries.push_back(std::move(Callback));
  }
  void reportCold(const InstanceId &Upstream, Duration, TimePoint) override {
    m_ColdReports.push_back(Upstream);
  }
  void reportEnd(const InstanceId &, bool) override {}

  std::vector<Done> m_Queries;
  std::vector<InstanceId> m_ColdReports;
};

/// A request that two cold upstreams can serve.
class RequestPermitTest {
public:
  RequestPermitTest() {
    ServiceSpec Service;
    Service.m_Name = "s";
    Service.m_WarmUp = {.m_ColdTime = 60s, .m_RequestsPerSecond = 6.6};
    m_View.configure({Service});
    InstanceList List;
    for (const char *Id : {"e", "f"}) {
      UpstreamInstance &Entry = List.m_Instances[Id];
      Entry.m_Id = Id;
      Entry.m_Service = "s";
      Entry.m_ColdFor = 60s;
    }
    m_View.update(List, EventLoop::now());
  }

  static PermitAnswer granted(Duration From, Duration For) {
    const TimePoint Now = EventLoop::now();
    return {.m_Permit =
                SendPermit{.m_From = Now + From, .m_Until = Now + From + For},
            .m_RetryAt = {}};
  }
  bool ready(const InstanceId &Upstream) {
    return m_Permit.ready(Upstream, 1s, EventLoop::now());
  }
  bool resumed(int Times) {
    return m_Loop.runUntil([&] { return m_Resumed == Times; }, 20s);
  }

  EventLoop m_Loop;
  WarmUpView m_View;
  UpstreamSignals m_Signals;
  SendBounds m_Bounds{m_View, m_Signals};
  std::shared_ptr<DeferredPermitService> m_Service =
      std::make_shared<DeferredPermitService>();
  int m_Resumed = 0;
  RequestPermit m_Permit{m_Loop, m_Service, m_Bounds, [this] { ++m_Resumed; }};
};

} // namespace

TEST_CASE(
    "A send to a cold upstream needs a permit, which is good for one send",
    "[gateway][warmup]") {
  RequestPermitTest Test;
  REQUIRE_FALSE(Test.ready("e"));
  REQUIRE_FALSE(Test.ready("e"));
  REQUIRE(Test.m_Service->m_Queries.size() == 1);
  Test.m_Service->m_Queries[0](RequestPermitTest::granted(0us, 60s));
  REQUIRE(Test.resumed(1));
  REQUIRE(Test.m_Permit.excludes("f", EventLoop::now()));
  REQUIRE_FALSE(Test.m_Permit.excludes("e", EventLoop::now()));
  REQUIRE(Test.ready("e"));
  Test.m_Permit.noteSent();
  REQUIRE_FALSE(Test.ready("e"));
  REQUIRE(Test.m_Service->m_Queries.size() == 2);
}

TEST_CASE("A permit for later is awaited, and an expired one is not used",
          "[gateway][warmup]") {
  RequestPermitTest Test;
  REQUIRE_FALSE(Test.ready("e"));
  SECTION("for later") {
    Test.m_Service->m_Queries[0](RequestPermitTest::granted(60s, 60s));
    REQUIRE_FALSE(Test.ready("e"));
    REQUIRE(Test.m_Service->m_Queries.size() == 1);
  }
  SECTION("expired") {
    Test.m_Service->m_Queries[0](RequestPermitTest::granted(-2s, 1s));
    REQUIRE_FALSE(Test.m_Permit.excludes("f", EventLoop::now()));
    REQUIRE_FALSE(Test.ready("e"));
    REQUIRE(Test.m_Service->m_Queries.size() == 2);
  }
  SECTION("its upstream is gone") {
    Test.m_Service->m_Queries[0](RequestPermitTest::granted(0us, 60s));
    REQUIRE(Test.m_Permit.drop());
    REQUIRE_FALSE(Test.m_Permit.drop());
    REQUIRE_FALSE(Test.m_Permit.excludes("f", EventLoop::now()));
  }
}

TEST_CASE("A request that is resumed before its permit begins is resumed again",
          "[gateway][warmup]") {
  RequestPermitTest Test;
  REQUIRE_FALSE(Test.ready("e"));
  Test.m_Service->m_Queries[0](RequestPermitTest::granted(50ms, 60s));
  // A timer may expire some milliseconds early, and other events resume it too.
  REQUIRE_FALSE(Test.m_Permit.ready("e", 1s, EventLoop::now() - 10ms));
  REQUIRE(Test.resumed(1));
  while (!Test.ready("e"))
    REQUIRE(Test.resumed(Test.m_Resumed + 1));
  REQUIRE(Test.m_Service->m_Queries.size() == 1);
}

TEST_CASE(
    "An upstream is excluded after a refusal until a permit may be available",
    "[gateway][warmup]") {
  RequestPermitTest Test;
  REQUIRE_FALSE(Test.m_Permit.deferral(EventLoop::now()));
  REQUIRE_FALSE(Test.ready("e"));
  const TimePoint RetryAt = EventLoop::now() + 60s;
  Test.m_Service->m_Queries[0](
      {.m_Permit = std::nullopt, .m_RetryAt = RetryAt});
  REQUIRE(Test.resumed(1));
  REQUIRE(Test.m_Permit.excludes("e", EventLoop::now()));
  REQUIRE_FALSE(Test.m_Permit.excludes("f", EventLoop::now()));
  REQUIRE_FALSE(Test.m_Permit.excludes("e", RetryAt));
  REQUIRE(Test.m_Permit.deferral(RetryAt - 5s)->m_After == 5s);
  REQUIRE(Test.m_Permit.deferral(RetryAt - 5s)->m_Kind == BoundKind::Cold);
  REQUIRE_FALSE(Test.m_Permit.deferral(RetryAt));
}

TEST_CASE(
    "A request that chooses another upstream does not wait for the permit",
    "[gateway][warmup]") {
  RequestPermitTest Test;
  REQUIRE_FALSE(Test.ready("e"));
  REQUIRE(Test.ready("warm"));
  Test.m_Service->m_Queries[0](RequestPermitTest::granted(0us, 60s));
  REQUIRE_FALSE(Test.m_Permit.hasValidPermit(EventLoop::now()));
}

TEST_CASE("A request that outlives the service is refused permits",
          "[gateway][warmup]") {
  RequestPermitTest Test;
  const auto Late = [&] {
    Test.ready("e");
    return Test.m_Service->m_Queries[0];
  }();
  Test.m_Service.reset();
  REQUIRE_FALSE(Test.ready("f"));
  REQUIRE(Test.m_Permit.excludes("f", EventLoop::now()));
  Late(RequestPermitTest::granted(0us, 60s));
  REQUIRE_FALSE(Test.m_Permit.hasValidPermit(EventLoop::now()));
}

TEST_CASE("The warm-up state in an answer counts for the instance that gave it",
          "[gateway][warmup]") {
  RequestPermitTest Test;
  const TimePoint Now = EventLoop::now();
  Test.m_Permit.reportCold({}, "e", Now);
  REQUIRE(Test.m_Service->m_ColdReports.empty());
  AnswerFacts Facts;
  Facts.m_ColdFor = 2s;
  Test.m_Permit.reportCold(Facts, "e", Now);
  Facts.m_Instance = "other";
  Test.m_Permit.reportCold(Facts, "e", Now);
  REQUIRE(Test.m_Service->m_ColdReports == std::vector<InstanceId>{"e"});
}
