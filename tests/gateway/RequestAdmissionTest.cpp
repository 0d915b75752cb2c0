#include "gateway/request/RequestAdmission.h"

#include "gateway/process/ServingState.h"
#include <catch2/catch.hpp>
#include <vector>

using namespace havenstair;

namespace {

const TimePoint Arrived = TimePoint() + 10s;

/// One engine, and a request for a model.
class AdmissionTest {
public:
  AdmissionTest() {
    m_State.m_Upstreams.update(
        {.m_Revision = {.m_Number = 1},
         .m_Instances = {{"i-1", {.m_Id = "i-1", .m_Service = "s"}}}},
        Arrived);
    ServiceSpec Service{.m_Name = "s"};
    Service.m_Engine = EngineSpec{.m_Models = {{.m_Name = "m"}}};
    m_State.m_Config = std::make_shared<const ServingConfig>(
        ServingConfig{.m_Version = 1, .m_Services = {Service}});
  }

  RequestAdmission::Verdict
  decide(const std::optional<ChosenReplica> &Chosen = std::nullopt) {
    m_Admission.onChosen(Chosen ? 1 : 0, Chosen);
    return m_Admission.decide({.m_Eligible = eligible(),
                               .m_Chosen = Chosen,
                               .m_Regions = m_Regions,
                               .m_Software = m_Software},
                              Arrived);
  }
  UpstreamEligibility eligible() const {
    return {m_State.m_Upstreams, m_State.m_DataCentres,
            m_Regions,           m_Service,
            m_Request,           m_Software};
  }

  ServingState m_State;
  AdmissionOptions m_AdmissionOpts;
  PacingOptions m_PacingOpts;
  AllowedRegions m_Regions;
  std::string m_Service = "s";
  std::optional<SoftwareVersion> m_Software;
  RequestDescriptor m_Request{.m_Model = "m"};
  Route m_Route{
      .m_Kind = RouteKind::Stream, .m_Target = 1s, .m_GapTarget = 100ms};
  RequestTimes m_Times{m_Route, 20s, Arrived};
  std::vector<ModelKey> m_Missing;
  RequestAdmission m_Admission{
      m_State,
      {.m_Admission = m_AdmissionOpts,
       .m_Pacing = m_PacingOpts,
       .m_StoppingRetryAfter = 10ms},
      {.m_Missing = [this](const ModelKey &Key) { m_Missing.push_back(Key); },
       .m_Random = [] { return 0.5; }},
      {.m_Request = m_Request,
       .m_Route = m_Route,
       .m_Times = m_Times,
       .m_Service = m_Service}};
};

} // namespace

TEST_CASE("A request whose upstream answers in time is sent",
          "[gateway][request-admission]") {
  AdmissionTest Test;
  const ChosenReplica Quick{.m_ExpectedMs = 200, .m_WorkMs = 150};
  REQUIRE(Test.decide(Quick).m_Step == AdmissionStep::Send);
  REQUIRE(Test.m_Missing.empty());
  REQUIRE(Test.m_Admission.details().m_Replicas == 1);
  REQUIRE(Test.m_Admission.details().m_ExpectedMs == 200);
  REQUIRE_FALSE(Test.m_Admission.details().m_Reason.empty());
}

TEST_CASE("A request that would be late by the work of others is refused with "
          "the reason that is logged",
          "[gateway][request-admission]") {
  AdmissionTest Test;
  const ChosenReplica Late{.m_ExpectedMs = 60000, .m_WorkMs = 150};
  const RequestAdmission::Verdict Verdict = Test.decide(Late);
  REQUIRE(Verdict.m_Step == AdmissionStep::Refuse);
  REQUIRE(Verdict.m_Refusal.m_Kind == ErrorKind::Overloaded);
  REQUIRE(Verdict.m_Refusal.m_RetryAfter > 0us);
  REQUIRE(Verdict.m_Refusal.m_Detail == Test.m_Admission.details().m_Reason);
}

TEST_CASE("Plain services queue requests themselves",
          "[gateway][request-admission]") {
  AdmissionTest Test;
  Test.m_Request.m_Model.clear();
  const ChosenReplica Late{.m_ExpectedMs = 60000};
  REQUIRE(Test.decide(Late).m_Step == AdmissionStep::Send);
}

TEST_CASE("A model that no upstream holds is reported missing, but not for a "
          "request that is bound to a version",
          "[gateway][request-admission]") {
  AdmissionTest Test;
  REQUIRE(Test.decide().m_Step != AdmissionStep::Send);
  REQUIRE(Test.m_Missing ==
          std::vector<ModelKey>{{.m_Service = "s", .m_Model = "m"}});
  Test.m_Missing.clear();
  Test.m_Software = SoftwareVersion("");
  Test.decide();
  REQUIRE(Test.m_Missing.empty());
}

TEST_CASE("A model that nobody knows is not reported missing",
          "[gateway][request-admission]") {
  AdmissionTest Test;
  Test.m_Request.m_Model = std::string(8000, 'x');
  REQUIRE(Test.decide().m_Step != AdmissionStep::Send);
  REQUIRE(Test.m_Missing.empty());
}

TEST_CASE("A request for which no upstream is eligible is refused by what "
          "excludes all",
          "[gateway][request-admission]") {
  AdmissionTest Test;
  SECTION("its software version") {
    Test.m_Software = SoftwareVersion("v9");
    const RequestAdmission::Verdict Verdict = Test.decide();
    REQUIRE(Verdict.m_Step == AdmissionStep::Refuse);
    REQUIRE(Verdict.m_Refusal ==
            Failure{.m_Kind = ErrorKind::NoUpstreamOfVersion,
                    .m_RetryAfter = 1s,
                    .m_Detail = "v9"});
  }
  SECTION("its regions") {
    Route North;
    North.m_AllowedRegions = {RegionName("north")};
    Test.m_Regions = AllowedRegions(North, nullptr);
    const RequestAdmission::Verdict Verdict = Test.decide();
    REQUIRE(Verdict.m_Step == AdmissionStep::Refuse);
    REQUIRE(Verdict.m_Refusal == Failure{.m_Kind = ErrorKind::NoAllowedUpstream,
                                         .m_RetryAfter = 1s,
                                         .m_Detail = Test.m_Regions.text()});
  }
  REQUIRE(Test.m_Missing.empty());
}

TEST_CASE("A request waits for a load that it asked for, but not at a box that "
          "stops",
          "[gateway][request-admission]") {
  AdmissionTest Test;
  const RequestAdmission::Verdict Waits = Test.decide();
  REQUIRE(Waits.m_Step == AdmissionStep::Wait);
  REQUIRE(Waits.m_Delay ==
          fromMillis(Test.m_AdmissionOpts.m_LoadVisibleWithinMs));
  Test.m_State.m_Stopping = true;
  const RequestAdmission::Verdict Refused = Test.decide();
  REQUIRE(Refused.m_Step == AdmissionStep::Refuse);
  REQUIRE(Refused.m_Refusal ==
          Failure{.m_Kind = ErrorKind::Stopping, .m_RetryAfter = 10ms});
}

TEST_CASE("Where all upstreams need permits, the refusal tells why and when "
          "one may be available",
          "[gateway][request-admission]") {
  AdmissionTest Test;
  const RequestPermit::Deferral Deferral{.m_After = 700ms,
                                         .m_Kind = BoundKind::Limit};
  REQUIRE(
      Test.m_Admission.refusalUntilLater(Test.eligible(), Deferral, Arrived) ==
      Failure{.m_Kind = ErrorKind::Overloaded,
              .m_RetryAfter = 700ms,
              .m_Detail = "server_limit"});
  REQUIRE_FALSE(Test.m_Admission.refusalUntilLater(Test.eligible(),
                                                   std::nullopt, Arrived));
}

TEST_CASE("A prompt waits where another one already holds up running streams",
          "[gateway][request-admission]") {
  AdmissionTest Test;
  const ChosenReplica Free{.m_PendingMs = 0};
  const ChosenReplica Busy{.m_PendingMs = 90};
  REQUIRE_FALSE(Test.m_Admission.promptDelay(Free, Arrived));
  REQUIRE(Test.m_Admission.promptDelay(Busy, Arrived) ==
          Test.m_PacingOpts.m_RecheckInterval);
  Test.m_Route.m_Kind = RouteKind::Safe;
  REQUIRE_FALSE(Test.m_Admission.promptDelay(Busy, Arrived));
}
