/// \file
/// One engine as the box that gives orders knows it.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_MANAGEDENGINE_H
#define HAVENSTAIR_GATEWAY_PROCESS_MANAGEDENGINE_H

#include "decisions/process/AdapterPlanner.h"
#include "decisions/process/EngineLedger.h"
#include "decisions/process/ReplicaPlanner.h"
#include "wire/connection/FleetFrames.h"
#include <map>
#include <optional>
#include <set>
#include <string>

namespace havenstair {

/// A move that is being carried out on an engine.
struct EngineTask {
  enum class Phase {
    Retiring,  ///< Boxes hear that the model makes way.
    Unloading, ///< Its answers end.
    Loading
  };

  PlannedMove m_Move;
  Phase m_Phase = Phase::Loading;
  TimePoint m_Since{};
};

/// What an engine holds, what is done to it, and what the boxes were told of
/// it.
struct ManagedEngine {
  EngineLedger m_Ledger;
  UpstreamBirth m_Born = 0; ///< Of the start that all of this is of.
  std::optional<EngineTask> m_Task;
  bool m_ReportPending = false;
  TimePoint m_NextReport{};
  TimePoint m_ServesAt{}; ///< When its task or load is expected to end.
  TimePoint m_LastAdapterOrderAt{};
  std::map<std::string, TimePoint> m_ModelLoadedAt;   ///< When a model came.
  std::map<AdapterKey, TimePoint> m_AdapterOrderedAt; ///< When it was ordered.

  /// A word of the start \p Born came. A later one than is known begins
  /// everything anew, but for orders that may still come late. \returns whether
  /// it did.
  bool recordStart(UpstreamBirth Born, TimePoint Now);
  /// Whether \p Born is the start that is known, or is not told.
  bool isCurrent(UpstreamBirth Born) const {
    return Born == 0 || m_Born == 0 || Born == m_Born;
  }
  /// What the engine says of itself. \returns whether it shows a start that was
  /// not told; all but late orders begins anew then.
  bool recordReport(const ResidencyReport &Report, TimePoint Now,
                    TimePoint AskedAt);
  /// Starts to carry \p Move out.
  void begin(const PlannedMove &Move, TimePoint Now);
  /// Those of \p Models that it holds count as come at \p At.
  void keepModels(const std::set<std::string> &Models, TimePoint At);
  /// It has taken the order for a load that takes \p Nominal when few run, and
  /// \p Slowness times that now.
  void recordLoadStart(LoadSource Source, Duration Nominal, double Slowness,
                       TimePoint Now);
  /// A load has ended. \returns how much longer it took than its nominal time;
  /// none unless it came from the store of weights.
  std::optional<double> recordLoadEnd(TimePoint Now);
  /// A load that is overdue is expected soon, as long as it is under way.
  void expectOverdue(TimePoint Now);
  /// For the plan of models, with what is under way counted as done. \p Entry
  /// stands in for the engine's own word until that is known.
  PlannedEngine modelPlanEntry(const UpstreamInstance &Entry, double Slowness,
                               Duration MinReplicaStay, TimePoint Now) const;
  /// For the plan of adapters.
  AdapterEngine adapterPlanEntry(const InstanceId &Id, double Busy,
                                 Duration MinAdapterStay, TimePoint Now) const;
  /// For the other boxes.
  EngineContents contents(const InstanceId &Id, TimePoint Now) const;
  /// The same if the boxes were told something else, or long ago what \p Entry,
  /// which all of them read, does not say; it counts as told then.
  std::optional<EngineContents> takeUpdate(const UpstreamInstance &Entry,
                                           TimePoint Now);
  /// Whether the boxes need to be told more than \p Entry says.
  bool differsFrom(const UpstreamInstance &Entry, TimePoint Now) const;

private:
  struct Load {
    LoadSource m_Source = LoadSource::Store;
    Duration m_Nominal = 0us;
    TimePoint m_Since{};
  };

  /// Forgets all but its ledger and birth.
  void reset();
  /// All but the time that a load still takes, which changes all the time.
  EngineContents lastingContents(const InstanceId &Id, TimePoint Now) const;

  std::optional<Load> m_Load;
  /// Nothing at first: then all that its entry does not say is news.
  std::optional<EngineContents> m_Published;
  TimePoint m_PublishedServesAt{};
  TimePoint m_PublishedAt{};
};

} // namespace havenstair

#endif
