/// \file
/// A gateway between a stand-in store and stand-in upstreams, all on one event
/// loop.
#ifndef HAVENSTAIR_TESTS_GATEWAY_GATEWAYTEST_H
#define HAVENSTAIR_TESTS_GATEWAY_GATEWAYTEST_H

#include "gateway/process/Gateway.h"
#include "platform/Binding.h"
#include "standin/StandinRunner.h"
#include "standin/StandinStore.h"
#include "wire/common/HttpClient.h"
#include "wire/common/Json.h"

#include <catch2/catch.hpp>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace havenstair {

/// Fixture whose configuration has the routes `/safe/`, `/unsafe/`, `/stream/`
/// (not resumable) and `/resumable/`, all of the host `test.example`.
class GatewayTest {
public:
  using Request = StandinRunner::Request;
  using ConnectionPtr = StandinRunner::ConnectionPtr;

  GatewayTest() : m_Store(m_Loop), m_Http(m_Loop) {}

  /// Adds an upstream that is listed under \p Id and behaves as \p Behave says.
  StandinRunner &addRunner(const std::string &Id,
                           StandinRunner::Behaviour Behave) {
    auto &Runner = m_Runners[Id];
    Runner = std::make_unique<StandinRunner>(m_Loop, std::move(Behave));
    list(Id, "ready");
    return *Runner;
  }

  void list(const std::string &Id, const std::string &State,
            const std::string &DataCentre = "a") {
    m_Store.put("servers/" + Id, dumpJson(entry(Id, State, DataCentre)));
  }

  Json entry(const std::string &Id, const std::string &State,
             const std::string &DataCentre = "a") const {
    return {
        {"service", "s"},     {"address", m_Runners.at(Id)->endpoint().str()},
        {"zone", DataCentre}, {"slots", 8},
        {"state", State},     {"sequenceNumber", 1},
        {"version", "v1"},    {"coldRemainingMs", 0}};
  }

  /// Lists the upstream \p Id with the start time \p Born.
  void listStarted(const std::string &Id, StartTime Born) {
    Json Entry = entry(Id, "ready");
    Entry["born"] = Born;
    m_Store.put("servers/" + Id, dumpJson(Entry));
  }

  Json route(const std::string &Name, const std::string &Kind,
             bool Resumable = false) const {
    return {{"name", Name},
            {"host", "test.example"},
            {"pathPrefix", "/" + Name + "/"},
            {"routeKind", Kind},
            {"timeoutMs", m_TimeoutMs},
            {"targetLatencyMs", 1000},
            {"priority", 1},
            {"service", "s"},
            {"maxAttempts", 2},
            {"resumable", Resumable}};
  }

  void configure(std::uint64_t Version, Json MoreRoutes = Json::array()) {
    Json Routes = Json::array({route("safe", "safe"), route("unsafe", "unsafe"),
                               route("stream", "streaming"),
                               route("resumable", "streaming", true)});
    for (Json &Each : MoreRoutes)
      Routes.push_back(std::move(Each));
    const Json Config{{"version", Version},
                      {"routes", std::move(Routes)},
                      {"services", Json::array({{{"name", "s"}}})},
                      {"limits", Json::object()},
                      {"tenants", m_Organisations}};
    m_Store.put("op/config", dumpJson(Config));
  }

  /// Lists the upstream \p Id as an engine of the service `llm` that holds \p
  /// Models.
  void listEngine(const std::string &Id, const std::vector<std::string> &Models,
                  StartTime Born = 0, const std::string &DataCentre = "a") {
    Json Resident = Json::array();
    for (const std::string &Name : Models)
      Resident.push_back({{"name", Name}, {"adapterList", Json::array()}});
    m_Store.put("servers/" + Id,
                dumpJson({{"service", "llm"},
                          {"address", m_Runners.at(Id)->endpoint().str()},
                          {"zone", DataCentre},
                          {"slots", 8},
                          {"state", "ready"},
                          {"version", "v1"},
                          {"coldRemainingMs", 0},
                          {"sequenceNumber", 1},
                          {"born", Born},
                          {"modelList", std::move(Resident)}}));
  }

  /// Writes a configuration with one \p Route, to the service `llm`, whose
  /// engines may hold \p Models.
  void configureEngines(Json Route, Json Models) {
    Route["service"] = "llm";
    const Json Engine{{"slots", 8},
                      {"weightsMb", 100},
                      {"adapterCapacity", 4},
                      {"loadsPerS", 2},
                      {"modelList", std::move(Models)}};
    const Json Service{{"name", "llm"}, {"inferenceEngine", Engine}};
    m_Store.put("op/config",
                dumpJson({{"version", 1},
                          {"routes", Json::array({std::move(Route)})},
                          {"services", Json::array({Service})}}));
  }

  GatewayOptions options() const {
    GatewayOptions Options;
    Options.m_Box = BoxName("box");
    Options.m_DataCentre = DataCentreName("a");
    Options.m_Callers = Options.m_Readiness = Options.m_Peers =
        Options.m_Metrics = {"127.0.0.1", 0};
    Options.m_Passing = Endpoint{"127.0.0.1", 0};
    Options.m_Store = m_Store.endpoint();
    Options.m_Bounds.m_RetryAllowance = 100;
    Options.m_FirstStart = m_FirstStart;
    return Options;
  }

  std::unique_ptr<Gateway> makeGateway(const GatewayOptions &Options,
                                       std::function<void()> Stopped) {
    PlatformBinding Binding = platform::makeBinding("");
    Binding.m_ReadOptions = [Options] { return Options; };
    Binding.m_DecodeConfig =
        [this, Box = Options.m_Box,
         Decode = std::move(Binding.m_DecodeConfig)](const std::string &Value) {
          ServingConfig Result = Decode(Value);
          if (Box == m_OutdatedBox && Result.m_Version > 1)
            throw DecodeError("a field that this box does not know");
          return Result;
        };
    Binding.m_DecodeUpstream = [this, Box = Options.m_Box,
                                Decode = std::move(Binding.m_DecodeUpstream)](
                                   const std::string &Key,
                                   const std::string &Value) {
      UpstreamInstance Entry = Decode(Key, Value);
      return m_SeenBy ? m_SeenBy(Box, std::move(Entry)) : Entry;
    };
    return std::make_unique<Gateway>(m_Loop, std::move(Binding), Options,
                                     GatewayPolicy{}, m_LogDescriptor,
                                     std::move(Stopped));
  }

  void startGateway() {
    m_Gateway = makeGateway(options(), [this] { m_Stopped = true; });
  }

  /// Starts a gateway and waits until it has the configuration and the list of
  /// upstreams.
  void start() {
    configure(1);
    startGateway();
    REQUIRE(until([&] { return m_Gateway->state().ready(); }));
  }

  /// Runs the loop until \p Done. \returns false after 20 s without it.
  bool until(const std::function<bool()> &Done) {
    return m_Loop.runUntil(Done, 20s);
  }

  /// Runs the loop for \p For, so that token buckets fill and lists age.
  void wait(Duration For) {
    bool Over = false;
    const Timer End = m_Loop.after(For, [&] { Over = true; });
    REQUIRE(until([&] { return Over; }));
  }

  HttpCall call(const std::string &Target, const std::string &Id,
                const std::string &Body = "") const {
    return callTo(*m_Gateway, Target, Id, Body);
  }

  static HttpCall callTo(const Gateway &Box, const std::string &Target,
                         const std::string &Id, const std::string &Body = "") {
    HttpCall Call;
    Call.m_To = Box.callers();
    Call.m_Method = HttpMethod::Post;
    Call.m_Target = Target;
    Call.m_Headers = {{"Host", "test.example"},
                      {"X-Attempt-Id", Id},
                      {"X-Deadline-Remaining-Ms", "8000"}};
    Call.m_Body = Body;
    return Call;
  }

  HttpAnswer fetch(HttpCall Call) {
    HttpAnswer Result;
    bool Done = false;
    m_Http.fetch(std::move(Call), [&](HttpAnswer Answer) {
      Result = std::move(Answer);
      Done = true;
    });
    REQUIRE(until([&] { return Done; }));
    return Result;
  }

  HttpAnswer fetch(const std::string &Target, const std::string &Id,
                   const std::string &Body = "") {
    return fetch(call(Target, Id, Body));
  }

  /// How often requests with the attempt id \p Id arrived at any upstream.
  std::size_t arrivals(const std::string &Id) const {
    std::size_t Sum = 0;
    for (const auto &[Name, Runner] : m_Runners)
      Sum += Runner->arrivals(Id);
    return Sum;
  }

  /// An organisation in the platform's format, with one API key.
  static Json organisation(const std::string &Name, const std::string &Key,
                           double TokensPerS = 0) {
    return {{"name", Name},
            {"apiKeys", Json::array({Key})},
            {"priority", 1},
            {"ratePerS", TokensPerS},
            {"burstSize", TokensPerS},
            {"unit", "token_generation"},
            {"uncachedTokens", 200}};
  }

  /// A box that can decode only configuration version 1.
  BoxName m_OutdatedBox;
  /// Changes what a box reads of an upstream's entry; may be empty.
  std::function<UpstreamInstance(const BoxName &, UpstreamInstance)> m_SeenBy;
  /// Boxes start with the whole fleet: there were none before.
  bool m_FirstStart = true;
  int m_TimeoutMs = 8000;
  /// Organisations of the next configuration.
  Json m_Organisations = Json::array();
  int m_LogDescriptor = open("/dev/null", O_WRONLY);
  EventLoop m_Loop;
  StandinStore m_Store;
  HttpClient m_Http;
  std::map<std::string, std::unique_ptr<StandinRunner>> m_Runners;
  std::unique_ptr<Gateway> m_Gateway;
  bool m_Stopped = false;
};

} // namespace havenstair

#endif
