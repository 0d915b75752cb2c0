/// \file
/// One soak: its parts, from the start of the boxes to the verdict.
#ifndef HAVENSTAIR_TESTS_SOAK_SOAKRUN_H
#define HAVENSTAIR_TESTS_SOAK_SOAKRUN_H

#include "soak/CrashingCallers.h"
#include "soak/FaultInjector.h"
#include "soak/ProcessorShares.h"
#include "soak/SkewedCallers.h"
#include "soak/SoakCallers.h"
#include "soak/SoakConfig.h"
#include "soak/SoakOracle.h"
#include "soak/SoakSchedule.h"
#include "soak/StreamCallers.h"
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace havenstair {

class SoakRun {
public:
  /// Faults of the soak's own parts that an oracle must find.
  enum class Mutation {
    None,
    DoubleUnsafe,
    SpoilAnswer,
    WithholdConfig,
    WithholdLeaving,
    SilenceWords,
    HideEra,
    ClaimWhole,
    RefuseAfterLoss
  };

  struct Options {
    std::uint64_t m_Seed = 1;
    Duration m_Length = 20s;
    bool m_ConfigPlan = false;    ///< makeConfigPlan() in place of makePlan().
    Duration m_Again = 0us;       ///< For makeConfigPlan().
    int m_MoreRoutes = 0;         ///< In each configuration, for its size.
    std::optional<int> m_Boxes;   ///< In place of the plan's number.
    std::optional<int> m_Engines; ///< The same.
    std::optional<int> m_Models;  ///< The same.
    std::optional<int> m_DataCentres; ///< The same; at most three.
    bool m_Power = false;      ///< Servers are lost with all boxes, addPower().
    bool m_TakenPorts = false; ///< Boxes that return find ports taken.
    bool m_Renamed = false;    ///< Boxes return under other names.
    bool m_Held = false;    ///< Boxes get no more processor than their share.
    int m_Crashing = 0;     ///< Requests that end engines.
    int m_Parts = 0;        ///< Parts of prompts that end engines.
    bool m_Returns = false; ///< makeReturnPlan() in place of makePlan().
    bool m_Skew = false;    ///< makeSkewPlan() in place of makePlan().
    int m_PerSecond = 0;    ///< Requests of SkewedCallers.
    int m_PerSecondSkewed = 0; ///< The same while they go to one box.
    double m_WeakShare = 0.12; ///< Of a core, that most boxes have.
    bool m_Words = false; ///< Servers say something of themselves, addWords().
    bool m_Restores = false;   ///< The store comes back from copies of itself.
    bool m_Endings = false;    ///< Answers end in many ways, addEndings().
    bool m_Partitions = false; ///< Boxes reach no server, addPartitions().
    bool m_Brittle = false;    ///< Servers bear few refusals, addBrittleness().
    /// Servers of several software versions, and callers who take streams up.
    bool m_Versions = false;
    bool m_Absent = false; ///< addAbsentReleases() in place of addReleases().
    /// The store is in trouble around a loss of all boxes, addStoreTroubles().
    bool m_StoreTroubles = false;
    std::string m_Program; ///< The daemon.
    /// An earlier daemon: boxes start with it, are replaced one after the
    /// other, and back again. Empty for none.
    std::string m_Previous;
    std::string m_Folder; ///< For settings files and logs.
    SoakBounds m_Bounds;
    Mutation m_Mutation = Mutation::None;
  };

  explicit SoakRun(Options Opts);

  /// What a run with \p Opts plays.
  static SoakPlan planOf(const Options &Opts);

  /// Plays all. \returns whether it was played to its end.
  /// \throws std::runtime_error when the boxes never become ready.
  bool play();
  const SoakPlan &plan() const { return m_Plan; }
  const SoakOracle &oracle() const { return m_Oracle; }
  const SoakCallers::Counts &counts() const { return m_Callers.counts(); }
  const SkewedCallers &skewed() const { return m_Skewed; }
  /// When the callers started, for the times of verdicts.
  TimePoint started() const { return m_Started; }
  Duration longestPause() const { return m_LongestPause; }

private:
  static Options withBounds(Options Opts);
  void makeBoxes();
  double capacity(int Number) const;
  void refuseAfterLoss();
  void linkThroughProxies();
  void replaceBoxes();
  void makeEngines();
  void playEndings();
  void startStreams();
  void startSkewed();
  void mutate();
  void waitReady();
  void watchOwnPauses();

  Options m_Opts;
  SoakPlan m_Plan;
  EventLoop m_Loop;
  SoakOracle m_Oracle;
  StandinStore m_Store;
  SoakConfig m_Config;
  std::vector<std::unique_ptr<SoakEngine>> m_Engines;
  std::vector<std::unique_ptr<SoakBox>> m_Boxes;
  SoakCallers m_Callers;
  CrashingCallers m_Crashing;
  SkewedCallers m_Skewed;
  StreamCallers m_Streams;
  FaultInjector m_Faults;
  ProcessorShares m_Shares;
  HttpClient m_Http;
  bool m_Interrupted = false;
  TimePoint m_Started;
  TimePoint m_LastPass;
  Duration m_LongestPause = 0us;
  std::vector<Timer> m_Timers;
};

} // namespace havenstair

#endif
