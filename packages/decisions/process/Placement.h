/// \file
/// Plans which models are resident on which engines of one data centre.
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

/// Why a load or unload was decided. Operators see these reasons.
enum class MoveReason {
  Coverage,      ///< A callable artifact had no copy.
  AdapterBase,   ///< The base model is needed for a callable adapter.
  Demand,        ///< Its copies were busier than the settings allow.
  MakeRoom,      ///< Unloaded to free memory for another load.
  NotCallable,   ///< No group may call it any more.
  UpstreamLeaves ///< Loaded elsewhere before its upstream is gone.
};
constexpr int MoveReasonCount =
    static_cast<int>(MoveReason::UpstreamLeaves) + 1;

/// Stable name of \p Reason, for logs, metrics and `havenstair moves`.
std::string_view moveReasonName(MoveReason Reason);

enum class MoveVerb { Load, Unload };

/// One load or unload, with the reason for it.
struct Move {
  UpstreamName m_Upstream;
  MoveVerb m_Verb = MoveVerb::Load;
  ArtifactName m_Artifact;
  MemoryMiB m_Size = 0;
  MoveReason m_Reason = MoveReason::Coverage;
  std::string m_Explanation; ///< One sentence with the figures behind it.

  bool operator==(const Move &) const = default;
};

/// One engine as the planner sees it.
struct EngineView {
  UpstreamName m_Upstream;
  bool m_Ready = false; ///< Its ledger is known, so it can take orders.
  bool m_Leaving = false;
  MemoryMiB m_Available = 0;
  /// Size of each artifact that is loading, serving or unloading.
  std::map<ArtifactName, MemoryMiB> m_Held;
  std::set<ArtifactName> m_Serving;
  double m_Pressure = 0; ///< Requests running or waiting per slot.

  bool operator==(const EngineView &) const = default;
};

/// Smoothed number of requests running or waiting, by artifact.
using DemandByArtifact = std::map<ArtifactName, double>;

/// What the planner decides on.
struct PlacementInput {
  std::vector<EngineView> m_Engines;
  DemandByArtifact m_Demand;
  std::set<ArtifactName> m_Callable;      ///< Some group may call these.
  const Catalogue *m_Catalogue = nullptr; ///< Must not be null.
};

/// Interface of placement policies; the baselines of benchmarks implement it
/// too.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;
  virtual std::vector<Move> plan(const PlacementInput &Input,
                                 TimePoint Now) = 0;
};

/// The default policy: first a copy of every callable artifact, then further
/// copies by demand, limited by hysteresis and a budget of moves.
class Placement : public PlacementPolicy {
public:
  struct Options {
    /// A model is busy when even its least loaded copy exceeds this pressure.
    double m_BusyPressure = 0.9;
    /// A copy is added only on an engine whose pressure is below this.
    double m_SparePressure = 0.6;
    /// How long a model must stay busy before a copy is added.
    Duration m_BusyFor = 2s;
    /// Shortest time until a copy may be unloaded for one added by demand.
    Duration m_MinResidence = 60s;
    /// Most moves for demand per minute; moves for coverage are not limited.
    double m_DemandMovesPerMinute = 30;
    /// Most loads at a time, as the weight store limits them.
    int m_MaxLoading = 8;
  };

  /// Options for the preference that operators set, from 0 for the best
  /// attainment (the co-operative) to 1 for the fewest moves (the consortium).
  static Options forPreference(double FewMoves);

  explicit Placement(Options Opts) : m_Opts(Opts) {}

  std::vector<Move> plan(const PlacementInput &Input, TimePoint Now) override;

private:
  struct Working; ///< State of one plan.

  void cover(Working &State);
  void coverOne(Working &State, const CatalogueEntry &Entry);
  void loadFamily(Working &State, EngineView &Engine,
                  const CatalogueEntry &Entry);
  void dropNotCallable(Working &State);
  void addCopies(Working &State);
  bool addCopy(Working &State, const CatalogueEntry &Entry, double Best);
  bool makeRoom(Working &State, EngineView &Engine, MemoryMiB Need,
                const ArtifactName &For, bool ForCoverage);
  void recordHeld(const Working &State);

  Options m_Opts;
  std::map<ArtifactName, TimePoint> m_BusySince;
  std::map<std::pair<UpstreamName, ArtifactName>, TimePoint> m_HeldSince;
  double m_MovesLeft = 1; ///< Budget of moves for demand.
  std::optional<TimePoint> m_LastPlan;
};

} // namespace havenstair

#endif
