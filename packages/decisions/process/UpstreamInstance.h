/// \file
/// Defines the entries of the platform's list of upstreams.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMINSTANCE_H
#define HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMINSTANCE_H

#include "decisions/common/SoftwareVersion.h"
#include "decisions/common/StoreRevision.h"
#include "decisions/common/Time.h"
#include "decisions/process/UpstreamIncarnation.h"
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
  std::string m_Address; ///< IP address with port.
  std::string m_Zone;    ///< Name of its data centre.
  SoftwareVersion m_Software;
  int m_Slots = 1;           ///< Requests that it runs at once.
  bool m_Draining = false;   ///< It is leaving and takes no new work.
  StartTime m_StartTime = 0; ///< 0 when it does not report it.
  /// How much longer it was cold when it wrote the entry; zero when warm.
  Duration m_ColdFor = 0us;
  /// Time until it is shut down, if it announced that.
  std::optional<Duration> m_Remaining;
  std::vector<ResidentModel> m_Models;
  std::set<std::string> m_InMemory; ///< Models with weights in host memory.
  std::set<std::string> m_OnDisk;   ///< Models with weights on its disk.

  bool operator==(const UpstreamInstance &) const = default;

  UpstreamIncarnation incarnation() const {
    return {.m_Id = m_Id, .m_StartTime = m_StartTime};
  }
  /// Null when \p Model is not in accelerator memory.
  const ResidentModel *resident(const std::string &Model) const {
    for (const ResidentModel &Each : m_Models)
      if (Each.m_Name == Model)
        return &Each;
    return nullptr;
  }
  /// Whether it can run a request for \p Model with \p Adapter (may be empty).
  bool holds(const std::string &Model, const std::string &Adapter) const {
    const ResidentModel *Held = resident(Model);
    return Held != nullptr &&
           (Adapter.empty() || Held->m_Adapters.contains(Adapter));
  }
};

/// All upstreams, as of one revision of the platform's list.
struct InstanceList {
  StoreRevision m_Revision;
  std::map<InstanceId, UpstreamInstance> m_Instances;

  bool operator==(const InstanceList &) const = default;
};

} // namespace havenstair

#endif
