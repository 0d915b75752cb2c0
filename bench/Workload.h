/// \file
/// Seeded workloads in the size of the two deployments.
#ifndef HAVENSTAIR_BENCH_WORKLOAD_H
#define HAVENSTAIR_BENCH_WORKLOAD_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/version/Table.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace havenstair::bench {

/// Size of one deployment, from the brief.
struct Deployment {
  std::string m_Name;
  int m_DataCentres = 4;
  int m_Engines = 20;
  int m_Models = 40;
  int m_Adapters = 90;
  int m_Groups = 6;
  double m_FewMoves = 0; ///< Its own setting of the placement policy.
};

Deployment cooperative();
Deployment consortium();

/// One request to come.
struct Arrival {
  TimePoint m_At;
  int m_DataCentre = 0;
  GroupName m_Group;
  ArtifactName m_Artifact;
  std::uint64_t m_Conversation = 0;
  int m_PromptTokens = 0;
  int m_Tokens = 0;
};

/// A stretch of time in which something is wrong.
struct Trouble {
  TimePoint m_From;
  TimePoint m_To;

  bool at(TimePoint Now) const { return m_From <= Now && Now < m_To; }
};

/// All that happens in one run.
struct Workload {
  std::string m_Name;
  std::vector<Arrival> m_Arrivals; ///< By time.
  Catalogue m_Models;
  TimePoint m_End;
  std::optional<TimePoint> m_EngineLostAt;
  std::optional<Trouble> m_DataCentreCut; ///< The first data centre.
  std::optional<Trouble> m_PlatformDown;
};

/// Names of all workloads, in the order of the table.
const std::vector<std::string> &workloadNames();

/// Makes the workload \p Name for \p Of from \p Seed; the same each time.
Workload makeWorkload(const std::string &Name, const Deployment &Of,
                      std::uint64_t Seed);

} // namespace havenstair::bench

#endif
