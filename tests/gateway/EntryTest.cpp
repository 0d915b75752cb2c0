#include "gateway/GatewayTest.h"
#include "platform/OperatorConfig.h"
#include "platform/UpstreamEntry.h"
#include "support/Draw.h"
#include "support/Names.h"

#include <cstdio>
#include <sstream>

using namespace havenstair;

namespace {

Json goodEntry() {
  return {
      {"service", "s"},
      {"address", "10.0.0.9:80"},
      {"zone", "a"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"coldRemainingMs", 0},
      {"sequenceNumber", 1},
      {"born", 1790000000123},
      {"modelList", Json::array({{{"name", "m"}, {"adapterList", {"a1"}}}})}};
}

/// Values that no field of an entry may have.
std::vector<Json> wrongValues() {
  return {nullptr,          true,           Json::array(),
          Json::array({1}), Json::object(), -1,
          -1e300,           1e300,          0.5};
}

/// A good entry with one error in it.
std::string drawnInvalidEntry() {
  Json Entry = goodEntry();
  std::vector<std::string> Fields;
  for (const auto &[Name, Value] : Entry.items())
    Fields.push_back(Name);
  switch (*drawn(0, 5)) {
  case 0:
    return *rc::gen::container<std::string>(rc::gen::arbitrary<char>()) +
           "\xff";
  case 1: {
    const std::string Name = *rc::gen::elementOf(Fields);
    if (Name == "born" || Name == "modelList")
      return "";
    Entry.erase(Name);
    return dumpJson(Entry);
  }
  case 2: {
    const std::string Name = *rc::gen::elementOf(Fields);
    const Json Value = *rc::gen::elementOf(wrongValues());
    // These values are valid for that field.
    if ((Name == "coldRemainingMs" && Value == 0.5) ||
        (Name == "modelList" && Value == Json::array()) ||
        (Name == "born" && Value.is_null()))
      return "[]";
    Entry[Name] = Value;
    return dumpJson(Entry);
  }
  case 3:
    Entry["state"] = *rc::gen::element<std::string>("", "Ready", "asleep");
    return dumpJson(Entry);
  default:
    return std::string(static_cast<std::size_t>(*drawn(0, 3000)), '[');
  }
}

StoreItem item(const std::string &Id, std::string Value, std::uint64_t At) {
  return {.m_Key = "servers/" + Id,
          .m_Value = std::move(Value),
          .m_Revision = revision(At)};
}

std::size_t countEvents(std::FILE *File, const std::string &Event,
                        std::size_t &Longest) {
  std::rewind(File);
  std::size_t Count = 0;
  std::string Line;
  for (int Letter = std::fgetc(File); Letter != EOF;
       Letter = std::fgetc(File)) {
    if (Letter != '\n') {
      Line += static_cast<char>(Letter);
      continue;
    }
    Longest = std::max(Longest, Line.size());
    Count += Line.find("\"" + Event + "\"") != std::string::npos ? 1 : 0;
    Line.clear();
  }
  return Count;
}

} // namespace

TEST_CASE("An invalid entry does not affect the other entries",
          "[platform][entries][property]") {
  rc::prop("entries", [] {
    EventLoop Loop;
    DecisionLog Log(Loop, {.m_Descriptor = open("/dev/null", O_WRONLY)});
    UpstreamRegistry Registry(platform::decodeUpstream, Log);
    std::map<std::string, StoreItem> Items;
    std::uint64_t Revision = 0;
    for (int Number = 0; Number < 4; ++Number) {
      const std::string Id = "i-" + std::to_string(Number);
      Items["servers/" + Id] = item(Id, dumpJson(goodEntry()), ++Revision);
    }
    const InstanceList Before = Registry.read(Items, revision(Revision), {});
    RC_ASSERT(Before.m_Instances.size() == 4U);
    const std::string Bad = *rc::gen::element<std::string>(
        "i-0", "i-2", "another", "two words", "cr\r\nlf: x", "");
    Items["servers/" + Bad] = item(Bad, drawnInvalidEntry(), ++Revision);
    InstanceList Expected = Before;
    Expected.m_Revision = revision(Revision);
    Expected.m_Instances.erase(Bad);
    RC_ASSERT(Registry.read(Items, revision(Revision), {}) == Expected);
    if (!Before.m_Instances.contains(Bad))
      return;
    Items["servers/" + Bad] = item(Bad, dumpJson(goodEntry()), ++Revision);
    Expected = Before;
    Expected.m_Revision = revision(Revision);
    RC_ASSERT(Registry.read(Items, revision(Revision), {}) == Expected);
  });
}

TEST_CASE("A valid entry under an invalid id is rejected",
          "[platform][entries]") {
  const std::string Good = dumpJson(goodEntry());
  REQUIRE(platform::decodeUpstream("servers/i-1", Good).m_Id == "i-1");
  const std::string Id = GENERATE("", "two words", "cr\r\nlf: x", "\xc3\x28");
  REQUIRE_THROWS_AS(platform::decodeUpstream("servers/" + Id, Good),
                    DecodeError);
}

TEST_CASE("An entry or a report with names longer than any upstream has is "
          "invalid",
          "[platform][entries]") {
  const std::string Key = "servers/i-1";
  const std::string Good(256, 'n');
  const std::string Long(257, 'n');
  Json Entry = goodEntry();
  const std::string Name = GENERATE("service", "zone", "version");
  Entry[Name] = Good;
  REQUIRE_NOTHROW(platform::decodeUpstream(Key, dumpJson(Entry)));
  Entry[Name] = Long;
  REQUIRE_THROWS_AS(platform::decodeUpstream(Key, dumpJson(Entry)),
                    DecodeError);
  REQUIRE_THROWS_AS(
      platform::decodeUpstream("servers/" + Long, dumpJson(goodEntry())),
      DecodeError);
  const Json Models = GENERATE_COPY(
      Json::array({{{"name", Long}, {"adapterList", Json::array()}}}),
      Json::array({{{"name", "m"}, {"adapterList", {Long}}}}),
      Json(std::vector<Json>(10'001, {{"name", "m"}})));
  Entry = goodEntry();
  Entry["modelList"] = Models;
  REQUIRE_THROWS_AS(platform::decodeUpstream(Key, dumpJson(Entry)),
                    DecodeError);
  REQUIRE_THROWS_AS(platform::decodeReport(dumpJson(
                        {{"sequenceNumber", 4}, {"modelList", Models}})),
                    DecodeError);
}

TEST_CASE("A field of a log line has a bounded length", "[log][entries]") {
  EventLoop Loop;
  std::FILE *File = std::tmpfile();
  REQUIRE(File != nullptr);
  {
    DecisionLog Log(Loop, {.m_Descriptor = fileno(File)});
    const std::string Long(1 << 20, 'x');
    Log.write(
        "odd",
        {{"key", Long}, {"names", {Long, "short"}}, {"counts", {{Long, 1}}}});
  }
  std::size_t Longest = 0;
  REQUIRE(countEvents(File, "odd", Longest) == 1);
  REQUIRE(Longest < 8192);
  std::fclose(File);
}

TEST_CASE("A megabyte of invalid bytes costs one short line of the log",
          "[platform][entries]") {
  EventLoop Loop;
  std::FILE *File = std::tmpfile();
  REQUIRE(File != nullptr);
  {
    DecisionLog Log(Loop, {.m_Descriptor = fileno(File)});
    UpstreamRegistry Registry(platform::decodeUpstream, Log);
    const std::string Invalid =
        GENERATE(std::string(1 << 20, '['), std::string(1 << 20, '\xff'),
                 dumpJson({{"service", std::string(1 << 20, 'x')}}));
    const std::map<std::string, StoreItem> Items{
        {"servers/bad", item("bad", Invalid, 1)}};
    for (std::uint64_t Revision = 1; Revision < 5; ++Revision)
      REQUIRE(Registry.read(Items, revision(Revision), {}).m_Instances.empty());
  }
  std::size_t Longest = 0;
  REQUIRE(countEvents(File, "bad_upstream", Longest) == 1);
  REQUIRE(Longest < 400);
  std::fclose(File);
}

TEST_CASE("A report with an invalid field is an error", "[platform][entries]") {
  Json Report{{"sequenceNumber", 4},
              {"utilization", true},
              {"born", 1790000000123},
              {"activeRequests", 3},
              {"modelList", Json::array({{{"name", "m"}}})}};
  REQUIRE_NOTHROW(platform::decodeReport(dumpJson(Report)));
  const auto Wrong = GENERATE(
      std::pair<std::string, std::string>{"sequenceNumber", "-1"},
      std::pair<std::string, std::string>{"sequenceNumber", "1e300"},
      std::pair<std::string, std::string>{"sequenceNumber", "null"},
      std::pair<std::string, std::string>{"utilization", "7"},
      std::pair<std::string, std::string>{"born", "-5"},
      std::pair<std::string, std::string>{"born", "1.5"},
      std::pair<std::string, std::string>{"activeRequests", "-3"},
      std::pair<std::string, std::string>{"modelList", "{}"},
      std::pair<std::string, std::string>{"modelList", "null"},
      std::pair<std::string, std::string>{"modelList", "[[]]"},
      std::pair<std::string, std::string>{"available", "[]"},
      std::pair<std::string, std::string>{"coldRemainingMs", "-1e300"});
  Report[Wrong.first] = parseJson(Wrong.second);
  REQUIRE_THROWS_AS(platform::decodeReport(dumpJson(Report)), DecodeError);
}

TEST_CASE(
    "A report without its list of models is an error, as it would show an "
    "empty engine",
    "[platform][entries]") {
  REQUIRE_THROWS_AS(platform::decodeReport(R"({"sequenceNumber":4})"),
                    DecodeError);
}

TEST_CASE("Durations out of range in a configuration are bounded",
          "[platform][entries]") {
  const ServingConfig Config = platform::decodeConfig(
      R"({"version":1,"services":[],
          "routes":[{"name":"r","host":"h","pathPrefix":"/","service":"s",
                     "timeoutMs":1e300,"targetLatencyMs":-1e300}]})",
      SecretHasher());
  REQUIRE(Config.m_Routes.front().m_Timeout == LongestDuration);
  REQUIRE(Config.m_Routes.front().m_Target == -LongestDuration);
}

TEST_CASE("An invalid header of a cold upstream does not make it count as warm",
          "[platform][entries]") {
  const PlatformBinding Binding = platform::makeBinding("");
  const std::string Text = GENERATE("", "soon", "-5", "99999999999999999999");
  REQUIRE_FALSE(
      Binding.m_Dialect.m_ReadAnswer(200, {{"X-Cold-Remaining-Ms", Text}})
          .m_ColdFor);
}

TEST_CASE("An invalid value of an entry removes one upstream, and a valid one "
          "restores it",
          "[gateway][platform][entries]") {
  GatewayTest Test;
  const auto Answers = [](const StandinRunner::Request &Received,
                          const StandinRunner::ConnectionPtr &Connection) {
    Connection->write(StandinRunner::answer(Received, 200, "run"));
  };
  Test.addRunner("i-1", Answers);
  Test.addRunner("i-2", Answers);
  Test.start();
  const auto Listed = [&] {
    return Test.m_Gateway->state().m_Upstreams.current().size();
  };
  REQUIRE(Test.until([&] { return Listed() == 2; }));
  Json Unnamed = Test.entry("i-1", "ready");
  Unnamed["service"] = "nobody's";
  const std::vector<std::string> Invalid{"\xff\xfe", R"({"state":[]})",
                                         dumpJson(Test.entry("i-1", "asleep")),
                                         dumpJson(Unnamed)};
  const auto Index = GENERATE(range<std::size_t>(0, 4));
  Test.m_Store.put("servers/i-1", Invalid.at(Index));
  const auto Removed = [&] {
    const auto &All = Test.m_Gateway->state().m_Upstreams.current();
    const auto Found = All.find("i-1");
    return Found == All.end() || Found->second.m_Service != "s";
  };
  REQUIRE(Test.until(Removed));
  for (int Number = 0; Number < 8; ++Number) {
    const std::string Id = "id-" + std::to_string(Number);
    REQUIRE(Test.fetch("/safe/x", Id).m_Status == 200);
  }
  REQUIRE(Test.m_Runners.at("i-1")->requests().empty());
  Test.list("i-1", "ready");
  REQUIRE(Test.until([&] { return !Removed(); }));
}
