// Model runners of one service, for scripts in which models are moved, and
// their configuration.
#ifndef REVIEW_MODEL_RUNNER_H
#define REVIEW_MODEL_RUNNER_H

#include "Standin.h"
#include <algorithm>
#include <optional>

namespace review {

inline constexpr int Models = 10;
inline constexpr double ModelMb = 72700;
inline constexpr double RunnerMb = 150000;
/// Times of the site kpc-ci.
inline constexpr double LoadS = 4.2, DiskLoadS = 0.84, MemoryLoadS = 0.4;

inline std::string modelName(int Number) { return "model-" + std::to_string(Number); }

/// Orders of all runners, as they saw them.
struct Order {
  double At = 0;
  std::string Holder;
  std::uint64_t Token = 0;
};

/// A model runner: what it holds, and one order at a time.
class ModelRunner {
public:
  ModelRunner(std::string Id, std::string Host, int Port,
              std::set<std::string> Held, Store &List, Record &Log)
      : m_Id(std::move(Id)), m_Address(Host + ":" + std::to_string(Port)),
        m_Models(std::move(Held)), m_OnDisk(m_Models), m_List(List), m_Log(Log),
        m_Server(Host, Port, [this](const Message &Request, Wire &Back) {
          return handle(Request, Back);
        }) {}
  bool start() {
    const bool Listens = m_Server.start();
    beat();
    return Listens;
  }
  const std::string &id() const { return m_Id; }
  std::vector<Order> orders() {
    std::lock_guard Lock(m_Mutex);
    return m_Orders;
  }
  /// Carries out what is due.
  void step() {
    std::lock_guard Lock(m_Mutex);
    settle();
  }

private:
  Json models() const {
    Json Result = Json::array();
    for (const std::string &Each : m_Models)
      Result.push_back(
          {{"name", Each}, {"version", 1}, {"adapterList", Json::array()}});
    return Result;
  }
  Json available() const {
    return {{"resident", Json::array()}, {"persisted", m_OnDisk}};
  }
  void beat() {
    m_List.put("servers/" + m_Id, Json{{"service", "llm"},
                                       {"address", m_Address},
                                       {"zone", "kl-a"},
                                       {"version", "v1"},
                                       {"slots", 64},
                                       {"state", "ready"},
                                       {"coldRemainingMs", 0},
                                       {"inferenceStage", "prefill_decode"},
                                       {"modelList", models()},
                                       {"available", available()},
                                       {"sequenceNumber", m_Count}}
                                      .dump());
  }
  void settle() {
    if (!m_Loads || seconds() < m_Ready)
      return;
    m_Models.insert(*m_Loads);
    m_OnDisk.insert(*m_Loads);
    m_Loads.reset();
    beat();
  }
  int take(const Json &Body) {
    const std::string Model = Body.value("modelName", "");
    const bool Load = Body.value("operation", "") == "model_load";
    m_Orders.push_back({seconds(), Body.value("lockHolder", ""),
                        Body.value("fencingToken", std::uint64_t{0})});
    m_Log.write("runner %s gets %s %s from %s with the token %llu",
                m_Id.c_str(), Load ? "load" : "unload", Model.c_str(),
                m_Orders.back().Holder.c_str(),
                static_cast<unsigned long long>(m_Orders.back().Token));
    if (m_Loads || (Body.contains("expectedCount") &&
                    Body.at("expectedCount").get<std::uint64_t>() != m_Count))
      return 409;
    if (Load == m_Models.contains(Model))
      return 200;
    ++m_Count;
    if (Load) {
      m_Loads = Model;
      m_Ready = seconds() + (m_OnDisk.contains(Model) ? DiskLoadS : LoadS);
    } else {
      m_Models.erase(Model);
      beat();
    }
    return 202;
  }
  bool handle(const Message &Request, Wire &Back) {
    const std::string Own = "X-Instance-Id: " + m_Id + "\r\n";
    if (Request.target() == "/health")
      return Back.send(answer(200, "", Own));
    const std::string Expected = Request.header("X-Expected-Instance");
    if (!Expected.empty() && Expected != m_Id)
      return Back.send(answer(421, "", Own));
    if (Request.target() == "/v1/report") {
      std::lock_guard Lock(m_Mutex);
      settle();
      return Back.send(answer(200,
                              Json{{"inferenceStage", "prefill_decode"},
                                   {"modelList", models()},
                                   {"available", available()},
                                   {"utilization", m_Loads.has_value()},
                                   {"sequenceNumber", m_Count},
                                   {"queuedRequests", 0},
                                   {"activeRequests", 0},
                                   {"kvCacheUsed", 0},
                                   {"kvCacheTotal", 254071},
                                   {"handledModels", 0}}
                                  .dump(),
                              "Content-Type: application/json\r\n"));
    }
    if (Request.target() == "/v1/order") {
      std::lock_guard Lock(m_Mutex);
      settle();
      return Back.send(answer(take(Json::parse(Request.Body)), ""));
    }
    const std::string Attempt = Request.header("X-Attempt-Id");
    const std::string Echo = "X-Attempt-Id: " + Attempt + "\r\n";
    {
      std::lock_guard Lock(m_Mutex);
      settle();
      if (!m_Models.contains(Request.header("X-Model-Name")))
        return Back.send(answer(421, "", Own + Echo));
    }
    sleepFor(0.05);
    return Back.send(answer(
        200, "id: 1\ndata: a\n\nid: 2\nevent: end\ndata: b\n\n",
        Own + Echo + "Content-Type: text/event-stream\r\nX-Server-Signature: " +
            m_Id + "." + Attempt + "\r\n"));
  }

  std::string m_Id, m_Address;
  std::mutex m_Mutex;
  std::set<std::string> m_Models, m_OnDisk;
  std::optional<std::string> m_Loads;
  double m_Ready = 0;
  std::uint64_t m_Count = 0;
  std::vector<Order> m_Orders;
  Store &m_List;
  Record &m_Log;
  Server m_Server;
};

inline Json config() {
  Json List = Json::array();
  for (int Each = 0; Each < Models; ++Each)
    List.push_back({{"name", modelName(Each)},
                    {"weightsMb", ModelMb},
                    {"loadTimeS", LoadS},
                    {"adapterList", 0},
                    {"adapterSizeMb", 66.0},
                    {"warmPeriodS", MemoryLoadS},
                    {"diskLoadS", DiskLoadS}});
  return {{"version", 1},
          {"routes",
           Json::array({{{"name", "gen"},
                         {"host", "ci.example"},
                         {"pathPrefix", "/gen/"},
                         {"routeKind", "streaming"},
                         {"timeoutMs", 5000},
                         {"targetLatencyMs", 2000},
                         {"priority", 1},
                         {"service", "llm"},
                         {"maxAttempts", 2},
                         {"sessionAffinity", true},
                         {"resumable", true},
                         {"gapTargetMs", 400}}})},
          {"services",
           Json::array({{{"name", "llm"},
                         {"healthPath", "/health"},
                         {"connectionLimit", 370},
                         {"protocol", "h1"},
                         {"inferenceEngine",
                          {{"slots", 64},
                           {"kvCacheTokens", 254071},
                           {"hostMemoryMb", 0},
                           {"diskMb", 1e6},
                           {"modelList", List},
                           {"weightsMb", RunnerMb},
                           {"adapterCapacity", 5},
                           {"loadsPerS", 2.1}}}}})},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

} // namespace review

#endif
