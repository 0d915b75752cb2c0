/// \file
/// Which models are resident where, within one data centre.
/// See docs/design/placement.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_PLACEMENT_H
#define HAVENSTAIR_DECISIONS_PROCESS_PLACEMENT_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/version/Table.h"
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace havenstair {

/// Why a load or unload was decided; the closed list that operators see.
enum class MoveReason {
  Coverage,      ///< A callable artifact had no copy.
  AdapterBase,   ///< The base model is needed for a callable adapter.
  Demand,        ///< Its copies were busier than the setting allows.
  MakeRoom,      ///< Unloaded for a load that needs the memory.
  NotCallable,   ///< No group may call it any more.
  UpstreamLeaves ///< Copied elsewhere before its upstream is gone.
};
constexpr int MoveReasonCount =
    static_cast<int>(MoveReason::UpstreamLeaves) + 1;

/// Stable name of \p Reason, for logs, metrics and `havenstair moves`.
std::string_view moveReasonName(MoveReason Reason);

enum class MoveVerb { Load, Unload };

/// One load or unload, with the figures it was decided on.
struct Move {
  UpstreamName m_Upstream;
  MoveVerb m_Verb = MoveVerb::Load;
  ArtifactName m_Artifact;
  MemoryMiB m_Size = 0;
  MoveReason m_Reason = MoveReason::Coverage;
  std::string m_Explanation; ///< One sentence with the figures.

  bool operator==(const Move &) const = default;
};

/// One engine as the planner sees it.
struct EngineView {
  UpstreamName m_Upstream;
  bool m_Ready = false; ///< Its ledger is known, so it can take orders.
  bool m_Leaving = false;
  MemoryMiB m_Available = 0;
  std::map<ArtifactName, MemoryMiB> m_Held; ///< Loading, serving, unloading.
  std::set<ArtifactName> m_Serving;
  double m_Pressure = 0; ///< Offered load for each slot.

  bool operator==(const EngineView &) const = default;
};

/// Demand for each artifact: requests running or waiting, smoothed.
using DemandByArtifact = std::map<ArtifactName, double>;

/// What the planner decides on.
struct PlacementInput {
  std::vector<EngineView> m_Engines;
  DemandByArtifact m_Demand;
  std::set<ArtifactName> m_Callable;
  const Catalogue *m_Catalogue = nullptr;
};

/// Interface of placement policies; baselines implement it too.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;
  virtual std::vector<Move> plan(const PlacementInput &Input,
                                 TimePoint Now) = 0;
};

/// The product's policy: coverage first, then copies by demand, held back by
/// hysteresis and by a budget of moves.
class Placement : public PlacementPolicy {
public:
  struct Options {
    /// Pressure above which a model's best copy counts as busy.
    double m_BusyPressure = 0.9;
    /// A copy is added only on an engine whose pressure is below this.
    double m_SparePressure = 0.6;
    /// How long a model must stay busy before a copy is added.
    Duration m_BusyFor = 2s;
    /// How long a copy stays at least.
    Duration m_MinResidence = 60s;
    /// Demand moves a minute at most; coverage is not bounded by it.
    double m_DemandMovesPerMinute = 30;
    /// Loads on their way at once, from the weight store's limits.
    int m_MaxLoading = 8;
  };

  /// Options for the operators' one setting: 0 puts attainment first (the
  /// co-operative), 1 puts few moves first (the consortium).
  static Options forPreference(double FewMoves);

  explicit Placement(Options Opts) : m_Opts(Opts) {}

  std::vector<Move> plan(const PlacementInput &Input, TimePoint Now) override;

private:
  struct Working;

  void cover(Working &State);
  void coverOne(Working &State, const CatalogueEntry &Entry);
  void loadFamily(Working &State, EngineView &Engine,
                  const CatalogueEntry &Entry);
  void dropNotCallable(Working &State);
  void addCopies(Working &State);
  bool addCopy(Working &State, const CatalogueEntry &Entry, double Best);
  bool makeRoom(Working &State, EngineView &Engine, MemoryMiB Need,
                const ArtifactName &For, bool ForCoverage);
  void noteHeld(const Working &State);

  Options m_Opts;
  std::map<ArtifactName, TimePoint> m_BusySince;
  std::map<std::pair<UpstreamName, ArtifactName>, TimePoint> m_HeldSince;
  double m_MovesLeft = 1;
  std::optional<TimePoint> m_LastPlan;
};

} // namespace havenstair

#endif
