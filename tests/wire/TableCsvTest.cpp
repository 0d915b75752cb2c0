#include "wire/version/TableCsv.h"
#include "support/Draw.h"
#include "support/Names.h"
#include "wire/common/Json.h"
#include "wire/version/TableJson.h"

using namespace havenstair;

namespace {

GroupRow drawnRow(int Number) {
  GroupRow Row{.m_Group = groupName(Number)};
  Row.m_Weight = *drawn(1, 1000) / 8.0;
  Row.m_Limits = {*drawn(0, 100) / 4.0, *drawn(0, 100), *drawn(0, 100) / 4.0};
  Row.m_Targets.m_FirstToken = std::chrono::milliseconds(*drawn(1, 9999));
  Row.m_Targets.m_BetweenTokens = std::chrono::milliseconds(*drawn(1, 999));
  for (int Count = *drawn(0, 4); Count > 0; --Count)
    Row.m_Artifacts.insert(modelName(Count));
  Row.m_Services = {"booking"};
  Row.m_KeyHashes = {std::string(64, 'c')};
  Row.m_Version = static_cast<TableVersion>(*drawn(0, 1000));
  return Row;
}

} // namespace

TEST_CASE("A table is read from CSV as it was written", "[csv][property]") {
  rc::prop("drawn rows", [] {
    std::vector<GroupRow> Rows;
    for (int Number = *drawn(0, 6); Number > 0; --Number)
      Rows.push_back(drawnRow(Number));
    RC_ASSERT(tableFromCsv(tableToCsv(Rows)) == Rows);
  });
}

TEST_CASE("A row is read from JSON as it was written", "[json][property]") {
  rc::prop("drawn rows", [] {
    const GroupRow Row = drawnRow(1);
    RC_ASSERT(groupRowFromJson(parseJson(dumpJson(toJson(Row)))) == Row);
  });
}

TEST_CASE("The error for an invalid CSV names its line", "[csv]") {
  const auto [Text, Words] = GENERATE(table<std::string, std::string>({
      {"", "line 1"},
      {"group,wings\na,2\n", "unknown column 'wings'"},
      {"group,weight\na,heavy\n", "line 2: cell weight: 'heavy'"},
      {"group,weight\na,nan\n", "line 2: cell weight"},
      {"group,weight\na,1\nb\n", "line 3: has 1 cells, not 2"},
      {"group,concurrency\na,1.5\n", "line 2: field concurrency"},
      {"group,concurrency\na,1e300\n", "line 2: field concurrency"},
      {"group,weight\n\"a,1\n", "not valid CSV"},
  }));
  REQUIRE_THROWS_WITH(tableFromCsv(Text), Catch::Contains(Words));
}

TEST_CASE("Numbers out of range are rejected", "[json]") {
  const std::string Text = GENERATE(
      R"({"group":"a","concurrency":99999999999})",
      R"({"group":"a","concurrency":-1e300})",
      R"({"group":"a","first_token_ms":1e300})", R"({"group":7})", "[]");
  REQUIRE_THROWS_AS(groupRowFromJson(parseJson(Text)), DecodeError);
}

TEST_CASE("A document that is nested too deeply is rejected", "[json]") {
  REQUIRE_THROWS_AS(parseJson(std::string(100000, '[')), DecodeError);
}

TEST_CASE("Brackets within strings do not count as nesting", "[json]") {
  const std::string Brackets = "\\\"" + std::string(100, '[');
  REQUIRE(parseJson("[\"" + Brackets + "\"]").at(0) ==
          "\"" + std::string(100, '['));
  const auto Nested = [](std::size_t Levels) {
    return std::string(Levels, '[') + "1" + std::string(Levels, ']');
  };
  REQUIRE_NOTHROW(parseJson(Nested(32)));
  REQUIRE_THROWS_AS(parseJson(Nested(33)), DecodeError);
}
