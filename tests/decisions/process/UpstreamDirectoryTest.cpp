#include "decisions/process/UpstreamDirectory.h"
#include "support/Draw.h"
#include "support/Names.h"
#include "support/ProofTable.h"

using namespace havenstair;

namespace {

constexpr int UpstreamCount = 4;

/// The platform's list at \p Index. An upstream that is leaving stays so.
UpstreamList listAt(std::uint64_t Index,
                    const std::map<int, std::uint64_t> &LeavesAt) {
  UpstreamList List{.m_Index = Index, .m_Upstreams = {}};
  for (int Number = 0; Number < UpstreamCount; ++Number) {
    UpstreamSpec Spec;
    Spec.m_Name = upstreamName(Number);
    Spec.m_Leaving =
        LeavesAt.count(Number) != 0 && Index >= LeavesAt.at(Number);
    List.m_Upstreams.push_back(Spec);
  }
  return List;
}

} // namespace

TEST_CASE("A box that saw an upstream leave never gives it work again",
          "[leaving][proof]") {
  const std::string Point = "6 leaving, lists and marks in any order";
  rc::prop(Point, [&] {
    std::map<int, std::uint64_t> LeavesAt;
    for (int Number = 0; Number < UpstreamCount - 1; ++Number)
      LeavesAt[Number] = *drawn<std::uint64_t>(2, 30);
    std::array<UpstreamDirectory, 3> Boxes;
    std::array<std::set<UpstreamName>, 3> Seen;
    std::uint64_t Faults = 0;
    std::uint64_t Violations = 0;
    const auto Steps = *rc::gen::container<std::vector<std::tuple<int, int>>>(
        60, rc::gen::tuple(drawn(0, 9), drawn(1, 40)));
    for (const auto &[Which, Index] : Steps) {
      const auto Box = static_cast<std::size_t>(Which % 3);
      if (Which < 3) {
        // The list lags: any index may arrive after any other.
        const UpstreamList List =
            listAt(static_cast<std::uint64_t>(Index), LeavesAt);
        Faults += Boxes[Box].apply(List) ? 0 : 1;
        for (const UpstreamSpec &Spec : List.m_Upstreams)
          if (Spec.m_Leaving)
            Seen[Box].insert(Spec.m_Name);
      } else {
        const auto From = static_cast<std::size_t>((Which / 3 + Which) % 3);
        for (const auto &[Name, At] : Boxes[From].leaving()) {
          Boxes[Box].markLeaving(Name, At);
          Seen[Box].insert(Name);
        }
      }
      for (std::size_t Each = 0; Each < Boxes.size(); ++Each)
        for (const UpstreamName &Name : Seen[Each])
          Violations += Boxes[Each].mayTakeWork(Name) ? 1 : 0;
    }
    ProofTable::instance().add(Point, Faults, Violations);
    RC_ASSERT(Violations == 0U);
  });
}

TEST_CASE("An older digest changes nothing", "[directory]") {
  UpstreamDirectory Directory;
  Directory.apply(listAt(1, {}));
  UpstreamDigest Digest;
  Digest.m_Upstream = upstreamName(1);
  Digest.m_Assignment = 2;
  Digest.m_Sequence = 5;
  Digest.m_Serving = {modelName(1)};
  Digest.m_Ready = true;
  REQUIRE(Directory.apply(Digest));
  Digest.m_Serving.clear();
  Digest.m_Sequence = 4;
  REQUIRE_FALSE(Directory.apply(Digest));
  REQUIRE(Directory.serving(modelName(1), {}).size() == 1);

  SECTION("a newer owner's digest counts, whatever its sequence") {
    Digest.m_Assignment = 3;
    Digest.m_Sequence = 1;
    REQUIRE(Directory.apply(Digest));
    REQUIRE(Directory.serving(modelName(1), {}).empty());
  }
  SECTION("a new owner that has not read the ledger removes no model") {
    Digest.m_Assignment = 3;
    Digest.m_Ready = false;
    REQUIRE(Directory.apply(Digest));
    REQUIRE(Directory.serving(modelName(1), {}).size() == 1);
  }
}

TEST_CASE("Requests that this box sent count until the next digest",
          "[directory]") {
  UpstreamDirectory Directory;
  Directory.apply(listAt(1, {}));
  UpstreamDigest Digest;
  Digest.m_Upstream = upstreamName(1);
  Digest.m_Assignment = 1;
  Digest.m_Sequence = 1;
  Digest.m_Serving = {modelName(1)};
  Directory.apply(Digest);
  Directory.recordSent(upstreamName(1));
  REQUIRE(Directory.serving(modelName(1), {}).at(0).m_Pressure == 1);
  ++Digest.m_Sequence;
  Directory.apply(Digest);
  REQUIRE(Directory.serving(modelName(1), {}).at(0).m_Pressure == 0);
}
