#include "decisions/request/UpstreamAdmission.h"
#include "support/Draw.h"
#include "support/Names.h"
#include "support/ProofTable.h"

using namespace havenstair;

namespace {

UpstreamAdmission makeAdmission(int Slots) {
  return UpstreamAdmission(
      {.m_Slots = Slots, .m_WeightOf = [](const GroupName &) { return 1.0; }});
}

QueuedRequest request(int Id, TimePoint Deadline, int Group = 0) {
  return {.m_Id = requestId(Id),
          .m_Group = groupName(Group),
          .m_Cost = 10,
          .m_Deadline = Deadline};
}

/// Oracle that tracks the state of each request and counts violations.
struct AdmissionOracle {
  std::set<RequestId> m_Waiting;
  std::set<RequestId> m_Running;
  std::uint64_t m_Violations = 0;

  void record(const AdmissionActions &Actions, int Slots) {
    for (const AdmissionAction &Action : Actions) {
      if (const auto *Start = std::get_if<StartRequest>(&Action)) {
        m_Violations += m_Waiting.erase(Start->m_Id) == 1 ? 0 : 1;
        m_Running.insert(Start->m_Id);
      } else {
        const auto &Refusal = std::get<RefuseRequest>(Action);
        m_Violations += m_Waiting.erase(Refusal.m_Id) == 1 ? 0 : 1;
        m_Violations += Refusal.m_Failure.m_RetryAfter > 0us ? 0 : 1;
      }
    }
    m_Violations += static_cast<int>(m_Running.size()) > Slots ? 1 : 0;
  }
};

} // namespace

TEST_CASE("A request that cannot start in time is refused on arrival",
          "[admission]") {
  UpstreamAdmission Admission = makeAdmission(1);
  REQUIRE(std::holds_alternative<StartRequest>(
      Admission.offer(request(1, at(10s)), at(0us)).at(0)));
  // The initial service time is 200 ms.
  const AdmissionActions Actions =
      Admission.offer(request(2, at(100ms)), at(0us));
  REQUIRE(Actions.size() == 1);
  const auto &Refusal = std::get<RefuseRequest>(Actions.at(0));
  REQUIRE(Refusal.m_Failure.m_Kind == ErrorKind::Overloaded);
  REQUIRE(Refusal.m_Failure.m_RetryAfter == 200ms);
}

TEST_CASE("A waiting request is refused as soon as it cannot meet its deadline",
          "[admission]") {
  UpstreamAdmission Admission = makeAdmission(1);
  Admission.offer(request(1, at(10s)), at(0us));
  REQUIRE(Admission.offer(request(2, at(300ms)), at(0us)).empty());
  REQUIRE(Admission.sweep(at(100ms)).empty());
  const AdmissionActions Actions = Admission.sweep(at(101ms));
  REQUIRE(Actions.size() == 1);
  REQUIRE(std::get<RefuseRequest>(Actions.at(0)).m_Failure.m_Kind ==
          ErrorKind::Overloaded);
}

TEST_CASE(
    "A group far above its share leaves a slot free for a returning group",
    "[admission][fairness]") {
  UpstreamAdmission Admission = makeAdmission(4);
  const auto Started = [](const AdmissionActions &Actions) {
    return Actions.size() == 1 &&
           std::holds_alternative<StartRequest>(Actions.at(0));
  };
  SECTION("while the other was active recently") {
    // With three groups each has a share of 1.33 slots.
    for (int Group : {1, 2}) {
      REQUIRE(
          Started(Admission.offer(request(Group, at(10s), Group), at(0us))));
      Admission.finished(requestId(Group), 10, at(1ms));
    }
    for (int Id = 3; Id < 12; ++Id)
      Admission.offer(request(Id, at(100s), 0), at(2ms));
    REQUIRE(Admission.load(at(2ms)).m_Running == 3);
    REQUIRE(Started(Admission.offer(request(20, at(10s), 1), at(3ms))));
  }
  SECTION("but alone it may use all slots") {
    for (int Id = 2; Id < 12; ++Id)
      Admission.offer(request(Id, at(100s), 0), at(2ms));
    REQUIRE(Admission.load(at(2ms)).m_Running == 4);
  }
}

TEST_CASE("Refused requests count as offered load for some time",
          "[admission]") {
  UpstreamAdmission Admission = makeAdmission(1);
  Admission.offer(request(1, at(10s)), at(0us));
  for (int Id = 2; Id < 7; ++Id)
    Admission.offer(request(Id, at(1ms)), at(0us));
  REQUIRE(Admission.load(at(0us)).m_Refused == 5);
  REQUIRE(Admission.load(at(0us)).offered() == 6);
  REQUIRE(Admission.load(at(0us)).pressure() == 1);
  REQUIRE(Admission.load(at(2s)).m_Refused == 0);
}

TEST_CASE("A request that ends lets the next one start", "[admission]") {
  UpstreamAdmission Admission = makeAdmission(1);
  Admission.offer(request(1, at(10s)), at(0us));
  Admission.offer(request(2, at(10s)), at(0us));
  const AdmissionActions Actions =
      Admission.finished(requestId(1), 10, at(50ms));
  const auto &Start = std::get<StartRequest>(Actions.at(0));
  REQUIRE(Start.m_Id == requestId(2));
  REQUIRE(Start.m_Waited == 50ms);
}

TEST_CASE("Each request is started or refused exactly once, within the slots",
          "[admission][proof]") {
  const std::string Point = "4 admission, one fate for each request";
  rc::prop(Point, [&] {
    const int Slots = *drawn(1, 4);
    UpstreamAdmission Admission = makeAdmission(Slots);
    AdmissionOracle Oracle;
    TimePoint Now = at(0us);
    int Next = 0;
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        80, rc::gen::pair(drawn(0, 6), drawn(0, 500)));
    for (const auto &[Command, Size] : Steps) {
      Now += std::chrono::milliseconds(Size % 40);
      if (Command <= 2) {
        const QueuedRequest Offered =
            request(++Next, Now + std::chrono::milliseconds(Size), Size % 3);
        Oracle.m_Waiting.insert(Offered.m_Id);
        Oracle.record(Admission.offer(Offered, Now), Slots);
      } else if (Command == 3 && !Oracle.m_Running.empty()) {
        const RequestId Done = *Oracle.m_Running.begin();
        Oracle.m_Running.erase(Done);
        Oracle.record(Admission.finished(Done, Size, Now), Slots);
      } else if (Command == 4 && !Oracle.m_Waiting.empty()) {
        const RequestId Gone = *Oracle.m_Waiting.begin();
        Oracle.m_Waiting.erase(Gone);
        Oracle.record(Admission.cancelled(Gone, Now), Slots);
      } else {
        Oracle.record(Admission.sweep(Now), Slots);
      }
      const UpstreamLoad Load = Admission.load(Now);
      Oracle.m_Violations +=
          Load.m_Waiting == static_cast<int>(Oracle.m_Waiting.size()) ? 0 : 1;
    }
    ProofTable::instance().add(Point, 0, Oracle.m_Violations);
    RC_ASSERT(Oracle.m_Violations == 0U);
  });
}
