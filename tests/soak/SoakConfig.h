/// \file
/// The operators' configurations of a soak, with rising versions.
#ifndef HAVENSTAIR_TESTS_SOAK_SOAKCONFIG_H
#define HAVENSTAIR_TESTS_SOAK_SOAKCONFIG_H

#include "soak/SoakBounds.h"
#include "soak/SoakOracle.h"
#include "standin/StandinStore.h"
#include <cstdint>
#include <string>

namespace havenstair {

class SoakConfig {
public:
  inline static const std::string Host = "soak.example";
  inline static const std::string HealthPath = "/health";
  inline static const std::string PlainService = "plain";
  inline static const std::string EngineService = "llm";
  static constexpr double ModelMb = 40;
  static constexpr double EngineMb = 100; ///< Two models and some adapters.
  static constexpr double AdapterMb = 2;
  static constexpr int AdapterLimit = 4;

  SoakConfig(StandinStore &Store, SoakOracle &Oracle, const SoakBounds &Bounds)
      : m_Store(Store), m_Oracle(Oracle), m_Bounds(Bounds) {}

  /// Writes the next version.
  void next();
  /// Mutation: later versions are told to the oracle and never written.
  void setWithholding(bool Withholding) { m_Withholding = Withholding; }
  /// Later versions name \p Count models.
  void setModels(int Count) { m_Models = Count; }
  int models() const { return m_Models; }
  /// Versions have \p Count routes more, which nobody asks for.
  void setMoreRoutes(int Count) { m_MoreRoutes = Count; }
  std::uint64_t version() const { return m_Version; }
  /// Prefix of the route that comes with \p Version and goes two later.
  static std::string passingPath(std::uint64_t Version) {
    return "/p" + std::to_string(Version) + "/";
  }

private:
  StandinStore &m_Store;
  SoakOracle &m_Oracle;
  const SoakBounds &m_Bounds;
  std::uint64_t m_Version = 0;
  bool m_Withholding = false;
  int m_MoreRoutes = 0;
  int m_Models = 6;
};

} // namespace havenstair

#endif
