/// \file
/// Which faults a soak plays, drawn from its seed.
#ifndef HAVENSTAIR_TESTS_SOAK_SOAKSCHEDULE_H
#define HAVENSTAIR_TESTS_SOAK_SOAKSCHEDULE_H

#include "decisions/common/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace havenstair {

enum class SoakFault {
  PauseBox,
  KillBox,
  StopBox,
  HangUpBox,
  DelayStoreLink,
  ResetStoreLink,
  CutToStore,
  CutFromStore,
  SilenceStoreLink,
  RefuseAtStore,
  DelayPeerLink,
  ResetPeerLink,
  SilencePeerLink,
  SlowStore,
  DownStore,
  SilentStore,
  LoseStoreAnswer,
  ForgetHistory,
  RestartEngine,
  RestartColdEngine,
  DrainEngine,
  VanishEngine,
  LateEngine,
  LateOrders,
  BreakAnswers,
  SurplusAnswers,
  DelayEngineLink,
  ResetEngineLink,
  CutToEngine,
  CutFromEngine,
  SilenceEngineLink,
  Configure,
  Rubbish,
  Evacuate,
  // Drawn by makeConfigPlan() alone.
  SilenceConfigWatch,   ///< Of one box, while its other connections work.
  SilenceConfigWatches, ///< The same of all boxes at once.
  SilenceStoreLinks,    ///< All open connections of all boxes to the store.
  SilencePeerLinks,     ///< All open connections between boxes.
  SilenceAllLinks,      ///< Both.
  TurnAwayBoxes,        ///< All boxes but one are refused at the store.
  // Drawn by addWords() alone.
  NameLimit,  ///< A server names a limit in its answers.
  SayLeaving, ///< One says that it leaves, and the store does not hear of it.
  AskRetryAfter, ///< One turns requests away and names a time.
  // Drawn by addRestores() alone.
  RestoreStore, ///< The store is away and comes back from a copy of itself.
  // Drawn by addEndings() alone.
  HarmEndings, ///< Some answers of one server are cut or end wrongly.
  // Drawn by addPartitions() alone.
  CutBoxes, ///< Boxes reach no server, and everybody else.
  // Drawn by addBrittleness() alone.
  BrittleService, ///< All servers of a service say that they are brittle.
  PauseServer,    ///< A sound server is silent and goes on.
  // Drawn by makeReturnPlan() alone.
  LoseBoxes, ///< All boxes are lost at once and come back.
  // Drawn by addReleases() and addAbsentReleases() alone.
  ReplaceVersion, ///< Servers of a new version come, all others leave.
  JoinVersion     ///< Servers of a new version come, and all serve on.
};

const char *toString(SoakFault Of);

/// One fault; what \p m_Target counts depends on the kind.
struct ScheduledFault {
  Duration m_At{}; ///< After the callers' start.
  SoakFault m_Kind = SoakFault::PauseBox;
  int m_Target = 0;
  Duration m_For{};

  bool operator==(const ScheduledFault &) const = default;
  std::string str() const;
};

struct SoakPlan {
  int m_Boxes = 0;
  int m_Strong = 0; ///< Boxes from the first on with much more capacity.
  int m_DataCentres = 2;
  int m_Plain = 0;   ///< Servers of the plain service.
  int m_Engines = 0; ///< Engines with models.
  int m_Models = 6;
  int m_Callers = 0;
  bool m_FencingEnforced = false;
  /// Servers begin at one version, which releases change.
  bool m_Releases = false;
  bool m_Power = false; ///< Servers are lost with all boxes, see addPower().
  std::vector<ScheduledFault> m_Faults; ///< By time.

  bool operator==(const SoakPlan &) const = default;
};

/// The same plan for the same \p Seed and \p Length. Bursts of faults that
/// overlap alternate with calm, in which the bounds in time are judged.
SoakPlan makePlan(std::uint64_t Seed, Duration Length);

/// Configurations in series, while the ways on which boxes learn of them are
/// harmed: connections fall silent, of one box or of all, again and again, or
/// the store turns boxes away. With \p Again, each strikes once more so long
/// after: connections that were made meanwhile are as silent.
SoakPlan makeConfigPlan(std::uint64_t Seed, Duration Length,
                        Duration Again = 0us);

/// All boxes of a larger fleet are lost at once and come back, while servers
/// start again, the store is away or configurations come. The end leaves time
/// to judge what is served then.
SoakPlan makeReturnPlan(std::uint64_t Seed, Duration Length);

/// Adds releases of servers' software to a \p Plan of makeReturnPlan(): before,
/// within or just after a loss of all boxes, or between two, or so that several
/// versions serve through it. May add a loss and make the first one longer.
void addReleases(SoakPlan &Plan, std::uint64_t Seed);

/// In place of addReleases(), for a fleet without leaves: a second version
/// comes while all boxes are gone, mostly beside the first one.
void addAbsentReleases(SoakPlan &Plan, std::uint64_t Seed);

/// The store is slow or away, or loses an answer, at the first loss of all
/// boxes of a \p Plan of makeReturnPlan(), at the return, at both or at
/// neither.
void addStoreTroubles(SoakPlan &Plan, std::uint64_t Seed);

/// A fleet of mostly weak boxes without faults: SkewedCallers are the trouble.
SoakPlan makeSkewPlan(std::uint64_t Seed);

/// How much later faults come with addPower(): models are loaded first.
constexpr Duration PowerSettling = 15s;

/// Servers lose power at each loss of all boxes of a \p Plan of
/// makeReturnPlan(), and the store at most of them; it is back up to some
/// seconds after the first box. All comes later by PowerSettling.
void addPower(SoakPlan &Plan, std::uint64_t Seed);

/// Adds servers that say something of themselves in their answers to \p Plan,
/// beside its other faults.
void addWords(SoakPlan &Plan, std::uint64_t Seed, Duration Length);

/// Adds restores of the store to \p Plan, beside its other faults; some follow
/// each other within the recovery of the first.
void addRestores(SoakPlan &Plan, std::uint64_t Seed, Duration Length);

/// Adds spans in which servers end some answers wrongly to \p Plan, beside its
/// other faults.
void addEndings(SoakPlan &Plan, std::uint64_t Seed, Duration Length);

/// Adds spans in which boxes are cut off from all servers to \p Plan, beside
/// its other faults; one at a time.
void addPartitions(SoakPlan &Plan, std::uint64_t Seed, Duration Length);

/// Adds spans in which the servers of a service are brittle to \p Plan, one at
/// a time, and servers that fall silent for a moment, beside its other faults.
void addBrittleness(SoakPlan &Plan, std::uint64_t Seed, Duration Length);

} // namespace havenstair

#endif
