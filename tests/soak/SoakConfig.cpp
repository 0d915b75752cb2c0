#include "soak/SoakConfig.h"

#include "wire/common/EventLoop.h"
#include "wire/common/Json.h"

namespace havenstair {

namespace {

Json route(const std::string &Path, const std::string &Kind,
           const std::string &Service, bool Resumable = false) {
  return {{"name", Path},       {"host", SoakConfig::Host},
          {"pathPrefix", Path}, {"routeKind", Kind},
          {"timeoutMs", 4000},  {"targetLatencyMs", 1000},
          {"priority", 1},      {"service", Service},
          {"maxAttempts", 3},   {"resumable", Resumable}};
}

Json engineService(const SoakBounds &Bounds, int Count) {
  Json Models = Json::array();
  for (int Number = 0; Number < Count; ++Number)
    Models.push_back({{"name", "m" + std::to_string(Number)},
                      {"weightsMb", SoakConfig::ModelMb},
                      {"loadTimeS", 1},
                      {"diskLoadS", 0.3},
                      {"adapterList", 2},
                      {"adapterSizeMb", SoakConfig::AdapterMb}});
  return {{"name", SoakConfig::EngineService},
          {"healthPath", SoakConfig::HealthPath},
          {"coldPerS", Bounds.m_ColdPerS},
          {"inferenceEngine",
           {{"slots", 8},
            {"kvCacheTokens", 100000},
            {"weightsMb", SoakConfig::EngineMb},
            {"adapterCapacity", SoakConfig::AdapterLimit},
            {"loadsPerS", Bounds.m_LoadsPerSecond},
            {"modelList", std::move(Models)}}}};
}

} // namespace

void SoakConfig::next() {
  ++m_Version;
  Json Routes = Json::array({
      route("/safe/", "safe", PlainService),
      route("/unsafe/", "unsafe", PlainService),
      route("/stream/", "streaming", PlainService),
      route("/resumestream/", "streaming", PlainService, true),
      route("/genstream/", "streaming", EngineService, true),
      route(passingPath(m_Version), "safe", PlainService),
  });
  if (m_Version > 1)
    Routes.push_back(route(passingPath(m_Version - 1), "safe", PlainService));
  for (int Number = 0; Number < m_MoreRoutes; ++Number)
    Routes.push_back(
        route("/more" + std::to_string(Number) + "/", "safe", PlainService));
  Json Near = route("/near/", "safe", PlainService);
  Near["allowedRegions"] = Json::array({"ra"});
  Routes.push_back(std::move(Near));
  const Json Config{
      {"version", m_Version},
      {"routes", std::move(Routes)},
      {"services", Json::array({{{"name", PlainService},
                                 {"healthPath", HealthPath},
                                 {"coldPerS", m_Bounds.m_ColdPerS}},
                                engineService(m_Bounds, m_Models)})},
      {"limits", Json::object()}};
  if (!m_Withholding || m_Version == 1)
    m_Store.put("op/config", dumpJson(Config));
  m_Oracle.config().configured(m_Version, EventLoop::now());
}

} // namespace havenstair
