#include "havenstaird/process/Settings.h"

#include "havenstaird/process/PolicySettings.h"
#include "havenstaird/process/ServeCommand.h"
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <map>
#include <unistd.h>

using namespace havenstair;

namespace {

using Variables = std::map<std::string, std::string>;

Variables goodVariables() {
  return {{"HAVENSTAIR_BOX", "box-1"},
          {"HAVENSTAIR_DATA_CENTRE", "kl"},
          {"HAVENSTAIR_CALLERS", "127.0.0.1:0"},
          {"HAVENSTAIR_OPERATORS", "127.0.0.1:0"},
          {"HAVENSTAIR_PEERS", "[::1]:0"},
          {"HAVENSTAIR_PLATFORM", "127.0.0.1:8500"},
          {"HAVENSTAIR_PEER_SECRET", "sixteen-characters"},
          {"HAVENSTAIR_OPERATOR_TOKEN", "sixteen-characters"}};
}

Settings read(const std::vector<std::string> &Flags, const Variables &Set) {
  return readSettings(
      Flags, [&](const std::string &Name) -> std::optional<std::string> {
        const auto Found = Set.find(Name);
        if (Found == Set.end())
          return std::nullopt;
        return Found->second;
      });
}

/// A settings file of the platform, removed on destruction.
class NodeFile {
public:
  NodeFile() {
    const int Made = mkstemp(m_Path.data());
    close(Made);
    std::ofstream(m_Path) << R"({"nodeName": "n-1", "ipAddress": "127.0.0.1",
      "zone": "a", "internalPortRange": [7380, 7395],
      "listenAddresses": {"frontend": "127.0.0.1:1", "ready": "127.0.0.1:2"},
      "platform": {"address": "127.0.0.1:3"}})";
  }
  ~NodeFile() { std::remove(m_Path.c_str()); }
  NodeFile(const NodeFile &) = delete;
  NodeFile &operator=(const NodeFile &) = delete;

  std::string m_Path = "/tmp/havenstair-node-XXXXXX";
};

int checkServe(const std::string &Flag, const std::string &Value) {
  const NodeFile File;
  return runServe(
      {"serve", "--node-file", File.m_Path, "--check-settings", Flag, Value},
      [](const std::string &) { return std::nullopt; });
}

} // namespace

TEST_CASE("Each policy flag of the help page can be set", "[settings]") {
  for (const auto &[Flag, Default] : policyDefaults()) {
    INFO(Flag);
    REQUIRE(checkServe(Flag, std::to_string(Default)) == 0);
    REQUIRE_THROWS_AS(checkServe(Flag, "many"), SettingError);
  }
}

TEST_CASE("Flags override variables", "[settings]") {
  Variables Set = goodVariables();
  Set["HAVENSTAIR_LEASE_MS"] = "20000";
  REQUIRE(read({}, Set).m_LeaseTimeToLive == 20s);
  const Settings Given = read({"--lease-ms", "30000", "--box", "other",
                               "--seeds", "127.0.0.1:1,127.0.0.1:2"},
                              Set);
  REQUIRE(Given.m_LeaseTimeToLive == 30s);
  REQUIRE(Given.m_Box == BoxName("other"));
  REQUIRE(Given.m_Seeds.size() == 2);
  REQUIRE(Given.m_Peers == Endpoint{"::1", 0});
}

TEST_CASE("The error for a setting names it, its value and what is allowed",
          "[settings]") {
  const auto [Name, Value] = GENERATE(table<std::string, std::string>({
      {"--box", "a box"},           {"--box", ""},
      {"--data-centre", "k/l"},     {"--callers", "localhost:80"},
      {"--operators", "127.0.0.1"}, {"--peers", "127.0.0.1:99999"},
      {"--platform", "nowhere"},    {"--seeds", "here"},
      {"--lease-ms", "10"},         {"--lease-ms", "15s"},
      {"--renew-ms", "9000"},       {"--order-life-ms", "-1"},
      {"--clock-skew-ms", "-5"},    {"--key-retention-ms", "1"},
      {"--deadline-ms", "0"},       {"--digest-ms", "1e9"},
      {"--stop-limit-ms", "never"}, {"--few-moves", "2"},
      {"--few-moves", "nan"},       {"--max-body", "1"},
      {"--log-level", "loud"},
  }));
  CAPTURE(Name, Value);
  REQUIRE_THROWS_WITH(read({Name + "=" + Value}, goodVariables()),
                      Catch::Contains(Name) && Catch::Contains(Value) &&
                          Catch::Contains("allowed"));
}

TEST_CASE("Secrets are required, have a minimum length and are never shown",
          "[settings]") {
  const auto Name =
      GENERATE("HAVENSTAIR_PEER_SECRET", "HAVENSTAIR_OPERATOR_TOKEN");
  Variables Set = goodVariables();
  Set[Name] = "short-secret";
  REQUIRE_THROWS_WITH(read({}, Set), Catch::Contains(Name) &&
                                         !Catch::Contains("short-secret"));
  Set.erase(Name);
  REQUIRE_THROWS_WITH(read({}, Set), Catch::Contains("missing"));
}
