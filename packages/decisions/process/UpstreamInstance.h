/// \file
/// What a running server of a service says of itself.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMINSTANCE_H
#define HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMINSTANCE_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamLife.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

/// A model in an engine's accelerator memory, with its adapters there.
struct ResidentModel {
  std::string m_Name;
  std::set<std::string> m_Adapters;

  bool operator==(const ResidentModel &) const = default;
};

/// One entry of the list of upstreams.
struct UpstreamInstance {
  InstanceId m_Id;
  std::string m_Service;
  std::string m_Address; ///< IP number with port.
  std::string m_Zone;
  int m_Slots = 1;
  bool m_Draining = false;
  UpstreamBirth m_Born = 0; ///< 0 when it does not tell.
  /// How much longer it was cold when it said so; zero for a warm one.
  Duration m_ColdFor = 0us;
  /// Time until it is taken away, when it said so.
  std::optional<Duration> m_Remaining;
  std::vector<ResidentModel> m_Models;
  /// Models whose weights lie in its host memory, and on its disk.
  std::set<std::string> m_InMemory;
  std::set<std::string> m_OnDisk;

  bool operator==(const UpstreamInstance &) const = default;

  UpstreamLife life() const { return {.m_Id = m_Id, .m_Born = m_Born}; }
  const ResidentModel *resident(const std::string &Model) const {
    for (const ResidentModel &Each : m_Models)
      if (Each.m_Name == Model)
        return &Each;
    return nullptr;
  }
  /// Whether it can run a request for \p Model with \p Adapter (may be empty).
  bool holds(const std::string &Model, const std::string &Adapter) const {
    const ResidentModel *Found = resident(Model);
    return Found != nullptr &&
           (Adapter.empty() || Found->m_Adapters.contains(Adapter));
  }
};

/// All entries, as of one revision of the platform's list.
struct InstanceList {
  std::uint64_t m_Revision = 0;
  std::map<InstanceId, UpstreamInstance> m_Instances;

  bool operator==(const InstanceList &) const = default;
};

} // namespace havenstair

#endif
