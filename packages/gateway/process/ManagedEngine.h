/// \file
/// An engine as the leader knows it.
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
    Retiring,  ///< Boxes are being notified that the model is unloaded soon.
    Unloading, ///< Its last requests end.
    Loading
  };

  PlannedMove m_Move;
  Phase m_Phase = Phase::Loading;
  TimePoint m_Since{};
};

/// What an engine holds, which orders are in progress, and what was published
/// of it to the other boxes.
struct ManagedEngine {
  EngineLedger m_Ledger; ///< What the engine holds, and pending orders.
  /// Start time of the incarnation that this state belongs to; 0 when unknown.
  StartTime m_StartTime = 0;
  std::optional<EngineTask> m_Task;
  bool m_ReportPending = false; ///< A report call is in flight.
  TimePoint m_NextReport{};     ///< No report is requested earlier.
  TimePoint m_ServesAt{};       ///< When its task or load is expected to end.
  TimePoint m_LastAdapterOrderAt{}; ///< When an adapter was last ordered.
  /// When each model was loaded.
  std::map<std::string, TimePoint> m_ModelLoadedAt;
  /// When each adapter was ordered.
  std::map<AdapterKey, TimePoint> m_AdapterOrderedAt;

  /// Notes that the engine runs with start time \p Started. A later one than is
  /// known resets everything but orders that may still be carried out late.
  /// \returns whether it did.
  bool recordStart(StartTime Started, TimePoint Now);
  /// Whether \p Started is the known incarnation, or is unknown (0).
  bool isCurrent(StartTime Started) const {
    return Started == 0 || m_StartTime == 0 || Started == m_StartTime;
  }
  /// Records a report of the engine that was requested at \p AskedAt. \returns
  /// whether it shows a restart that was not announced; everything but late
  /// orders is reset then.
  bool recordReport(const ResidencyReport &Report, TimePoint Now,
                    TimePoint AskedAt);
  /// Starts to carry out \p Move.
  void begin(const PlannedMove &Move, TimePoint Now);
  /// Treats those of \p Models that the engine holds as loaded at \p At.
  void keepModels(const std::set<std::string> &Models, TimePoint At);
  /// Records that the engine accepted the order for a load, which takes \p
  /// Nominal while few loads run and \p Slowness times that now.
  void recordLoadStart(LoadSource Source, Duration Nominal, double Slowness,
                       TimePoint Now);
  /// Records the end of a load. \returns how many times its nominal duration it
  /// took; none unless it came from the store of weights.
  std::optional<double> recordLoadEnd(TimePoint Now);
  /// Moves the expected end of an overdue load into the near future while the
  /// load is in progress.
  void expectOverdue(TimePoint Now);
  /// Returns the input for the plan of models, in which what is in progress
  /// counts as done. \p Entry stands in for the engine's own report until there
  /// is one.
  PlannedEngine modelPlanEntry(const UpstreamInstance &Entry, double Slowness,
                               Duration MinReplicaStay, TimePoint Now) const;
  /// Returns the input for the plan of adapters; \p Busy is the share of the
  /// engine's time that is in use.
  AdapterEngine adapterPlanEntry(const InstanceId &Id, double Busy,
                                 Duration MinAdapterStay, TimePoint Now) const;
  /// Returns the contents for the other boxes.
  EngineContents contents(const InstanceId &Id, TimePoint Now) const;
  /// Returns the contents if they differ from what was published, or if they
  /// were published long ago and differ from \p Entry, which all boxes read.
  /// They count as published then.
  std::optional<EngineContents> takeUpdate(const UpstreamInstance &Entry,
                                           TimePoint Now);
  /// Whether the contents differ from \p Entry.
  bool differsFrom(const UpstreamInstance &Entry, TimePoint Now) const;

private:
  struct Load {
    LoadSource m_Source = LoadSource::Store;
    Duration m_Nominal = 0us;
    TimePoint m_Since{};
  };

  /// Resets everything but the ledger and the start time.
  void reset();
  /// The contents without the remaining time of a load, which changes all the
  /// time.
  EngineContents lastingContents(const InstanceId &Id, TimePoint Now) const;

  std::optional<Load> m_Load;
  /// What was last published; none at first, when boxes know only the entry in
  /// the list.
  std::optional<EngineContents> m_Published;
  TimePoint m_PublishedServesAt{};
  TimePoint m_PublishedAt{};
};

} // namespace havenstair

#endif
