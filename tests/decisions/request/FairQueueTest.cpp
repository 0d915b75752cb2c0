#include "decisions/request/FairQueue.h"
#include "support/Draw.h"
#include "support/Names.h"
#include "support/ProofTable.h"

using namespace havenstair;

namespace {

constexpr int GroupCount = 3;
constexpr int LargestCost = 100;

double weight(const GroupName &Group) {
  return 1 + static_cast<double>(Group.str().back() - '0');
}

QueuedRequest request(int Id, int Group, double Cost) {
  return {.m_Id = requestId(Id), .m_Group = groupName(Group), .m_Cost = Cost};
}

} // namespace

TEST_CASE("A queue serves groups by weight", "[fairness]") {
  FairQueue Queue({.m_WeightOf = weight});
  for (int Id = 0; Id < 300; ++Id)
    Queue.push(request(Id, Id % GroupCount, 10));
  std::map<GroupName, int> Served;
  for (int Count = 0; Count < 60; ++Count)
    ++Served[Queue.pop()->m_Group];
  REQUIRE(Served[groupName(0)] == 10);
  REQUIRE(Served[groupName(1)] == 20);
  REQUIRE(Served[groupName(2)] == 30);
}

TEST_CASE("A group that was idle gets its share at once, and no credit",
          "[fairness]") {
  FairQueue Queue({.m_WeightOf = [](const GroupName &) { return 1.0; }});
  for (int Id = 0; Id < 100; ++Id)
    Queue.push(request(Id, 0, 10));
  for (int Count = 0; Count < 50; ++Count)
    Queue.pop();
  for (int Id = 100; Id < 150; ++Id)
    Queue.push(request(Id, 1, 10));
  int Returned = 0;
  for (int Count = 0; Count < 20; ++Count)
    Returned += Queue.pop()->m_Group == groupName(1) ? 1 : 0;
  REQUIRE(Returned >= 9);
  REQUIRE(Returned <= 11);
}

TEST_CASE("Higher priority runs first within a group only", "[fairness]") {
  FairQueue Queue({.m_WeightOf = [](const GroupName &) { return 1.0; }});
  Queue.push(request(1, 0, 10));
  QueuedRequest Urgent = request(2, 0, 10);
  Urgent.m_Priority = 5;
  Queue.push(Urgent);
  Queue.push(request(3, 1, 10));
  REQUIRE(Queue.pop()->m_Id == requestId(2));
  REQUIRE(Queue.pop()->m_Id == requestId(3));
  REQUIRE(Queue.pop()->m_Id == requestId(1));
}

TEST_CASE("Backlogged groups grow apart by at most one largest request of each",
          "[fairness][proof]") {
  const std::string Point = "5 fairness, gap between backlogged groups";
  rc::prop(Point, [&] {
    FairQueue Queue({.m_WeightOf = weight});
    int Id = 0;
    const auto Costs =
        *rc::gen::container<std::vector<int>>(60, drawn(1, LargestCost + 1));
    for (int Cost : Costs)
      for (int Group = 0; Group < GroupCount; ++Group)
        Queue.push(request(++Id, Group, Cost));
    std::map<GroupName, double> Served;
    std::uint64_t Violations = 0;
    // All groups stay backlogged: each has at least 60 requests.
    for (int Count = 0; Count < 60; ++Count) {
      const QueuedRequest Next = *Queue.pop();
      Served[Next.m_Group] += Next.m_Cost / weight(Next.m_Group);
      for (int A = 0; A < GroupCount; ++A)
        for (int B = 0; B < GroupCount; ++B) {
          const double Bound = LargestCost / weight(groupName(A)) +
                               LargestCost / weight(groupName(B));
          if (Served[groupName(A)] - Served[groupName(B)] > Bound + 1e-6)
            ++Violations;
        }
    }
    ProofTable::instance().add(Point, 0, Violations);
    RC_ASSERT(Violations == 0U);
  });
}

TEST_CASE("A group is charged for cost that other upstreams served to it",
          "[fairness]") {
  FairQueue Queue({.m_WeightOf = [](const GroupName &) { return 1.0; }});
  for (int Id = 0; Id < 40; ++Id)
    Queue.push(request(Id, Id % 2, 10));
  Queue.charge(groupName(0), 100);
  for (int Count = 0; Count < 10; ++Count)
    REQUIRE(Queue.pop()->m_Group == groupName(1));
}
