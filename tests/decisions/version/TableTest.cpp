#include "decisions/version/Table.h"
#include "support/Draw.h"
#include "support/Names.h"
#include "support/ProofTable.h"

using namespace havenstair;

namespace {

const std::string HashA(64, 'a');

Table tableWithModels() {
  Table Result;
  Catalogue Models;
  Models.m_Version = 1;
  Models.m_Entries[modelName(1)] = {.m_Name = modelName(1), .m_Size = 60};
  Models.m_Entries[modelName(2)] = {.m_Name = modelName(2), .m_Size = 50};
  Models.m_Entries[modelName(3)] = {
      .m_Name = modelName(3), .m_Size = 45, .m_Base = modelName(1)};
  Result.apply(Models);
  return Result;
}

GroupRow goodRow() {
  return {.m_Group = groupName(1), .m_Artifacts = {modelName(1)}};
}

const Capacity TwoEngines{{100, 100}};

} // namespace

TEST_CASE("The version of a row only grows, in whatever order edits arrive",
          "[table][proof]") {
  const std::string Point = "8 configuration, versions in any order";
  rc::prop(Point, [&] {
    std::array<Table, 3> Boxes;
    std::map<GroupName, TableVersion> Newest;
    std::uint64_t Violations = 0;
    std::uint64_t Faults = 0;
    const auto Steps =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            60, rc::gen::tuple(drawn(0, 3), drawn(0, 3), drawn(1, 40)));
    for (const auto &[Box, Group, Version] : Steps) {
      Table &Receiver = Boxes[static_cast<std::size_t>(Box)];
      GroupRow Row{.m_Group = groupName(Group)};
      Row.m_Version = static_cast<TableVersion>(Version);
      Row.m_Weight = Version;
      Row.m_Removed = Version % 7 == 0;
      const auto Before = Receiver.allRows().find(Row.m_Group);
      const TableVersion Had =
          Before == Receiver.allRows().end() ? 0 : Before->second.m_Version;
      Faults += Receiver.apply(Row) ? 0 : 1;
      const TableVersion Has = Receiver.allRows().at(Row.m_Group).m_Version;
      Violations += Has == std::max(Had, Row.m_Version) ? 0 : 1;
    }
    // Each box gets all rows of all boxes; then all boxes have the same.
    for (Table &Receiver : Boxes)
      for (const Table &From : Boxes)
        for (const auto &[Name, Row] : From.allRows())
          Receiver.apply(Row);
    for (const Table &Box : Boxes)
      Violations += Box.allRows() == Boxes[0].allRows() ? 0 : 1;
    ProofTable::instance().add(Point, Faults, Violations);
    RC_ASSERT(Violations == 0U);
  });
}

TEST_CASE("An invalid cell is reported by name", "[table]") {
  const Table Current = tableWithModels();
  GroupRow Row = goodRow();
  REQUIRE_FALSE(checkRow(Current, Row, TwoEngines));
  std::string Cell;
  SECTION("weight") {
    Row.m_Weight = GENERATE(0.0, -1.0, 2e6, std::nan(""));
    Cell = "weight";
  }
  SECTION("requests a second") {
    Row.m_Limits.m_RequestsPerSecond = GENERATE(-1.0, std::nan(""));
    Cell = "requests_per_second";
  }
  SECTION("concurrency") {
    Row.m_Limits.m_Concurrency = GENERATE(-1, 1000001);
    Cell = "concurrency";
  }
  SECTION("tokens a second") {
    Row.m_Limits.m_TokensPerSecond = -0.5;
    Cell = "tokens_per_second";
  }
  SECTION("first token") {
    Row.m_Targets.m_FirstToken = GENERATE(0us, Duration(601s));
    Cell = "first_token_ms";
  }
  SECTION("between tokens") {
    Row.m_Targets.m_BetweenTokens = 0us;
    Cell = "between_tokens_ms";
  }
  SECTION("unknown model") {
    Row.m_Artifacts = {modelName(9)};
    Cell = "models";
  }
  SECTION("key hash") {
    Row.m_KeyHashes = {GENERATE(std::string("short"), std::string(64, 'A'))};
    Cell = "key_hashes";
  }
  SECTION("group name") {
    Row.m_Group = GroupName(GENERATE("", "a/b", "a b"));
    Cell = "group";
  }
  const auto Problem = checkRow(Current, Row, TwoEngines);
  REQUIRE(Problem);
  REQUIRE(Problem->m_Cell == Cell);
}

TEST_CASE("A key belongs to one group", "[table]") {
  Table Current = tableWithModels();
  GroupRow First = goodRow();
  First.m_KeyHashes = {HashA};
  First.m_Version = 2;
  Current.apply(First);
  GroupRow Second = goodRow();
  Second.m_Group = groupName(2);
  Second.m_KeyHashes = {HashA};
  REQUIRE(checkRow(Current, Second, TwoEngines)->m_Cell == "key_hashes");
  REQUIRE(Current.findByKeyHash(HashA)->m_Group == groupName(1));
}

TEST_CASE("A row whose models do not fit into memory is refused", "[table]") {
  const Table Current = tableWithModels();
  GroupRow Row = goodRow();
  // A model of 60 and its adapter of 45 exceed an engine of 100.
  Row.m_Artifacts = {modelName(1), modelName(3)};
  REQUIRE(checkRow(Current, Row, TwoEngines)->m_Cell == "models");
  Row.m_Artifacts = {modelName(1), modelName(2)};
  REQUIRE_FALSE(checkRow(Current, Row, TwoEngines));
  REQUIRE(checkRow(Current, Row, Capacity{{100}})->m_Cell == "models");
}

TEST_CASE("An older version does not restore a removed row", "[table]") {
  Table Current = tableWithModels();
  GroupRow Row = goodRow();
  Row.m_KeyHashes = {HashA};
  Row.m_Version = 2;
  Current.apply(Row);
  GroupRow Tombstone{.m_Group = groupName(1)};
  Tombstone.m_Version = 3;
  Tombstone.m_Removed = true;
  Current.apply(Tombstone);
  REQUIRE_FALSE(Current.apply(Row));
  REQUIRE(Current.find(groupName(1)) == nullptr);
  REQUIRE(Current.findByKeyHash(HashA) == nullptr);
}
