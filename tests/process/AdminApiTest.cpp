#include "process/ProcessTest.h"

#include <cstdio>
#include <fstream>

using namespace havenstair;

namespace {

HttpHeaders match(const Json &Row) {
  return {{"If-Match", "\"" + Row.at("version").dump() + "\""}};
}

} // namespace

TEST_CASE("Of concurrent edits of a row by operators one succeeds",
          "[process][table]") {
  const auto System = startSmallSystem();
  const std::string Path = "/admin/v1/groups/g";
  const Json Row = System->admin("box-1", Path);

  SECTION("without the token nothing is shown or changed") {
    for (const char *Target :
         {"/admin/v1/table", "/admin/v1/boxes", "/metrics"}) {
      const HttpAnswer Answer = System->client().call(
          System->box("box-1").m_Operators, HttpMethod::Get, Target, "",
          {{"Authorization", "Bearer key-g"}});
      CHECK(Answer.m_Status == 401);
      CHECK(errorCode(Answer) == "operator_token_needed");
    }
  }
  SECTION("of two edits based on the same row, one succeeds") {
    Json First = Row;
    First["weight"] = 2;
    Json Second = Row;
    Second["weight"] = 3;
    const HttpAnswer Won =
        System->adminSend("box-1", HttpMethod::Put, Path, First, match(Row));
    REQUIRE(Won.m_Status == 200);
    const HttpAnswer Lost =
        System->adminSend("box-2", HttpMethod::Put, Path, Second, match(Row));
    REQUIRE(Lost.m_Status == 409);
    REQUIRE(errorCode(Lost) == "edit_conflict");
    REQUIRE(parseJson(Lost.m_Body).at("current").at("weight") == 2);
  }
  SECTION("concurrent edits of different rows all succeed") {
    std::vector<int> Statuses;
    for (int Number = 0; Number < 6; ++Number) {
      const std::string Name = "n" + std::to_string(Number);
      System->client().start(
          System->box(Number % 2 == 0 ? "box-1" : "box-2").m_Operators,
          HttpMethod::Put, "/admin/v1/groups/" + Name, R"({"weight":2})",
          {{"Authorization", "Bearer " + TestOperatorToken},
           {"If-None-Match", "*"}},
          [&](const HttpAnswer &Answer) {
            Statuses.push_back(Answer.m_Status);
          });
    }
    REQUIRE(System->client().runUntil([&] { return Statuses.size() == 6; }));
    REQUIRE(Statuses == std::vector<int>(6, 200));
    REQUIRE(System->waitFor([&] {
      return System->admin("box-1", "/admin/v1/table").at("rows").size() == 7 &&
             System->admin("box-2", "/admin/v1/table").at("rows").size() == 7;
    }));
  }
  SECTION("an edit whose answer was lost is reported as accepted, once") {
    System->platformFault("lose_answers", 1);
    Json Wanted = Row;
    Wanted["weight"] = 5;
    const HttpAnswer Answer =
        System->adminSend("box-1", HttpMethod::Put, Path, Wanted, match(Row));
    REQUIRE(Answer.m_Status == 200);
    const Json Now = System->admin("box-1", Path);
    REQUIRE(Now.at("weight") == 5);
    REQUIRE(Now.at("version") == parseJson(Answer.m_Body).at("version"));
    REQUIRE(Now.at("version").get<int>() == Row.at("version").get<int>() + 1);
  }
  SECTION("an invalid cell is named, and an edit must name a version") {
    Json Wanted = Row;
    Wanted["weight"] = -1;
    const HttpAnswer Bad =
        System->adminSend("box-1", HttpMethod::Put, Path, Wanted, match(Row));
    REQUIRE(Bad.m_Status == 422);
    REQUIRE(parseJson(Bad.m_Body).at("error").at("param") == "weight");
    Wanted["weight"] = "heavy";
    REQUIRE(
        System->adminSend("box-1", HttpMethod::Put, Path, Wanted, match(Row))
            .m_Status == 422);
    REQUIRE(
        System->adminSend("box-1", HttpMethod::Put, Path, Row, {}).m_Status ==
        400);
  }
  SECTION("while the platform is down an edit is refused with that reason") {
    System->platformFault("down");
    Json Wanted = Row;
    Wanted["weight"] = 9;
    const HttpAnswer Answer =
        System->adminSend("box-1", HttpMethod::Put, Path, Wanted, match(Row));
    REQUIRE(Answer.m_Status == 503);
    REQUIRE(errorCode(Answer) == "platform_unavailable");
    System->platformFault("");
    REQUIRE(System->admin("box-1", Path).at("weight") == 1);
  }
  SECTION("a removed group is removed everywhere") {
    REQUIRE(
        System->adminSend("box-1", HttpMethod::Delete, Path, Json(), match(Row))
            .ok());
    REQUIRE(System->waitFor([&] {
      return System->complete("box-2", "g", "plans", "x", false).m_Status ==
             401;
    }));
  }
}

TEST_CASE("The command line shows, exports and imports the table",
          "[process][command-line]") {
  const auto System = startSmallSystem();
  int Status = 0;
  const std::string Csv =
      System->commandLine("box-1", {"table", "export"}, Status);
  REQUIRE(Status == 0);
  const std::string File = std::tmpnam(nullptr);
  const auto Import = [&](const std::string &Text,
                          const std::vector<std::string> &More) {
    std::ofstream(File) << Text;
    std::vector<std::string> Words{"table", "import", File};
    Words.insert(Words.end(), More.begin(), More.end());
    return System->commandLine("box-1", Words, Status);
  };
  std::string Changed = Csv;
  const std::size_t Weight = Changed.find("\"g\",\"1.0\"");
  REQUIRE(Weight != std::string::npos);
  Changed.replace(Weight, 9, "\"g\",\"4.0\"");

  SECTION("a dry run shows the difference and writes nothing") {
    const std::string Output = Import(Changed, {"--dry-run"});
    REQUIRE(Status == 0);
    REQUIRE(Output.find("weight: 1 -> 4") != std::string::npos);
    REQUIRE(System->admin("box-1", "/admin/v1/groups/g").at("weight") == 1);
  }
  SECTION("an import writes what differs") {
    Import(Changed, {});
    REQUIRE(Status == 0);
    REQUIRE(System->admin("box-1", "/admin/v1/groups/g").at("weight") == 4);
    // The file now has an older version than the row.
    Import(Csv, {});
    REQUIRE(Status == 3);
  }
  SECTION("an invalid cell gives its own exit code") {
    std::string Bad = Csv;
    Bad.replace(Weight, 9, "\"g\",\"-4.0\"");
    Import(Bad, {});
    REQUIRE(Status == 4);
  }
  SECTION("views are printed as tables and as JSON") {
    for (const char *View : {"boxes", "upstreams", "moves", "models"}) {
      System->commandLine("box-1", {View}, Status);
      CHECK(Status == 0);
      const std::string Text =
          System->commandLine("box-1", {View, "--json"}, Status);
      CHECK(Status == 0);
      CHECK_NOTHROW(parseJson(Text));
    }
    const Json Moves = System->admin("box-1", "/admin/v1/moves").at("moves");
    REQUIRE_FALSE(Moves.empty());
    const std::string Why = System->commandLine(
        "box-2", {"explain", Moves.at(0).at("id").get<std::string>()}, Status);
    REQUIRE(Status == 0);
    REQUIRE(Why.find("Reason: coverage") != std::string::npos);
  }
  SECTION("groups are added, changed and removed") {
    const auto Run = [&](const std::vector<std::string> &Words) {
      System->commandLine("box-2", Words, Status);
      return Status;
    };
    CHECK(Run({"group", "add", "new", "--set", "weight=2"}) == 0);
    CHECK(Run({"group", "add", "new"}) == 3);
    CHECK(Run({"group", "set", "new", "--set", "weight=3", "--set",
               "models=plans notes"}) == 0);
    CHECK(Run({"table", "edit", "new", "concurrency", "7"}) == 0);
    CHECK(Run({"table", "edit", "new", "wings", "2"}) == 4);
    const Json Row = System->admin("box-2", "/admin/v1/groups/new");
    CHECK(Row.at("weight") == 3);
    CHECK(Row.at("concurrency") == 7);
    CHECK(Row.at("models").size() == 2);
    CHECK(Run({"group", "remove", "new"}) == 0);
    CHECK(System->admin("box-2", "/admin/v1/groups/new").is_null());
  }
  SECTION("a drained box hands over and exits") {
    System->commandLine("box-1", {"drain", "box-2"}, Status);
    REQUIRE(Status == 0);
    REQUIRE(System->box("box-2").m_Process->wait() == 0);
    REQUIRE(System->complete("box-1", "g", "plans", "x", true).ok());
    REQUIRE(System->complete("box-1", "g", "notes", "x", true).ok());
  }
  SECTION("load reports latencies and outcomes") {
    const std::string Text = System->commandLine(
        "box-1",
        {"load", "--callers=" + System->box("box-1").m_Callers.str(),
         "--keys=key-g", "--models=plans,notes", "--rate=20", "--seconds=1",
         "--max-tokens=2", "--quiet", "--json"},
        Status);
    REQUIRE(Status == 0);
    const Json Result = parseJson(Text);
    REQUIRE(Result.at("sent").get<int>() > 0);
    REQUIRE(Result.at("outcomes").at("ok") == Result.at("sent"));
  }
  std::remove(File.c_str());
}
