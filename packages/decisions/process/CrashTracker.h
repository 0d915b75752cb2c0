/// \file
/// Detects the requests and the parts of prompts that crash the upstreams which
/// run them, and quarantines them. See docs/design/crashing-requests.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_CRASHTRACKER_H
#define HAVENSTAIR_DECISIONS_PROCESS_CRASHTRACKER_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/CrashSuspect.h"
#include "decisions/process/PartExplanation.h"
#include "decisions/process/QuarantineProbes.h"
#include "decisions/process/UpstreamIncarnation.h"
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace havenstair {

/// A suspect that crashed several upstreams: requests that hold it are sent to
/// no upstream any more.
struct Quarantine {
  /// Some of the upstreams that crashed while they ran it.
  std::vector<InstanceId> m_Upstreams;
  /// Suspects that were there at each crash in the same requests, so that they
  /// may be the cause in its place. The quarantine is for requests that hold
  /// all of them.
  std::set<CrashSuspect> m_Beside;
  /// The box that quarantined it; the first by name if several did.
  BoxName m_By;
  /// Whether chance explains the crashes no more. Until then the suspect is run
  /// again from time to time, and its requests are refused for a while only.
  bool m_Certain = false;
  /// When the quarantine began, by this box's clock.
  TimePoint m_Since{};
  /// When the quarantine expires.
  TimePoint m_Until{};
  /// When this box last ran it in spite of the quarantine, and how often; no
  /// time if that reached no upstream.
  TimePoint m_ProbedAt{};
  std::size_t m_Probes = 0;

  bool operator==(const Quarantine &) const = default;
};

/// Tracks which suspects were running when upstreams crashed: requests by their
/// digests, and parts of prompts, so that crashes add up whatever id, box or
/// incarnation of an upstream the next attempt meets, and whatever else a
/// request holds. A suspect is quarantined once enough upstreams have crashed
/// while they ran it, none has run it without harm, and no suspect of another
/// request was running at each of the crashes.
class CrashTracker {
public:
  struct Options {
    /// Crashes after which a suspect is quarantined. Two may be chance: a
    /// caller's request is retried once, and both upstreams may crash for
    /// another reason.
    std::size_t m_CrashThreshold = 3;
    /// Crashes after which a suspect is quarantined whatever else was running.
    /// With the caller's own retry, a request is sent four times at most.
    std::size_t m_UnconditionalThreshold = 5;
    /// Upstreams that crash within this time of each other may have one cause:
    /// a host, a switch, an operator. A request that ran on fewer than half of
    /// them gets one crash counted for all of them. Parts of prompts are not
    /// quarantined for the crashes of one such time alone: all upstreams of a
    /// service may have run a part that many requests share.
    Duration m_CorrelationWindow = 1s;
    /// Upstreams that crash within this time of each other, not all of which
    /// ran a suspect, have a common cause that is another.
    Duration m_ChanceWindow = 500ms;
    /// Upstreams that ran a suspect and crash within this time of each other
    /// may have crashed together.
    Duration m_MomentWindow = 100ms;
    /// Crashes this long after a quarantine began are of later runs.
    Duration m_ProbeGrace = 1s;
    /// Crashes of such later runs that make a quarantine certain.
    std::size_t m_CertainProbes = 2;
    /// How late reports of other boxes come: each box finds out on its own what
    /// it had running on a crashed upstream.
    Duration m_ReportDelay = 100ms;
    /// How long a crash counts: longer than callers keep retrying.
    Duration m_CrashRetention = std::chrono::minutes(10);
    /// How long a request that ran to completion is above suspicion. One that
    /// many callers send completes many times within it.
    Duration m_CompletionRetention = 10s;
    /// How long a part of prompts is above suspicion after an upstream has
    /// begun to write on it without harm. Many requests clear a part, and one
    /// that begins to crash upstreams must not profit for long.
    Duration m_PartRetention = 2s;
    /// How long a quarantine lasts. For as long again one more crash renews it,
    /// so a request that stays bad costs one upstream in each such period. It
    /// is also the longest lease of the key in the store that keeps the
    /// quarantine when all boxes restart.
    Duration m_QuarantineDuration = std::chrono::minutes(10);
    /// Bounds of memory; about 12 MB when all are reached.
    std::size_t m_MaxCrashes = 64;
    /// Requests kept for one crash.
    std::size_t m_MaxRunning = 256;
    /// Suspects remembered as harmless.
    std::size_t m_MaxCompleted = 4096;
    /// Quarantines, and as many expired and lifted ones.
    std::size_t m_MaxQuarantines = 2048;
    /// Suspects that other boxes reported.
    std::size_t m_MaxSuspects = 2048;
  };

  /// The outcome of recording a report of a crash.
  struct RecordResult {
    /// Whether the report named a request that was not known for this crash.
    bool m_New = false;
    /// Suspects of the report that ran without harm recently, so they are not
    /// counted.
    std::set<CrashSuspect> m_Completed;
  };

  CrashTracker() : CrashTracker(Options{}) {}
  explicit CrashTracker(Options Opts) : m_Opts(Opts) {}

  /// Records that \p Upstream crashed while it ran \p Running. Reports of
  /// several boxes about one crash are merged.
  RecordResult recordCrash(const UpstreamIncarnation &Upstream,
                           const std::vector<RequestSuspects> &Running,
                           TimePoint Now);
  /// Records that an upstream has run a request that holds \p Suspect without
  /// harm and is still alive. \p At is when it completed the request; for a
  /// part, when it began to write, as later crashes may be due to the part all
  /// the same. \returns whether that refutes a suspicion or a quarantine.
  bool recordCompletion(const CrashSuspect &Suspect, TimePoint At);
  /// \returns the latest such time; empty if none is remembered.
  std::optional<TimePoint> completedAt(const CrashSuspect &Suspect) const;
  /// \returns the part of \p Running that did not run without harm recently.
  std::vector<RequestSuspects>
  uncleared(const std::vector<RequestSuspects> &Running, TimePoint Now) const;
  /// Records that another box suspects \p Suspect. \returns true, and records
  /// nothing, when it ran without harm recently.
  bool addSuspect(const CrashSuspect &Suspect, TimePoint Now);
  /// Quarantines the suspects that qualify by now, in the name of box \p By.
  /// \returns those whose quarantines are new or newly certain, or hold for
  /// more requests.
  std::vector<CrashSuspect> quarantineSuspects(const BoxName &By,
                                               TimePoint Now);
  /// Takes over the quarantine that another box declared. \returns whether it
  /// is new here or newly certain, or holds for more requests.
  bool adopt(const CrashSuspect &Suspect, Quarantine Declared, TimePoint Now);
  /// Whether a quarantine of \p Suspect was lifted because it ran without
  /// harm. A box that still reports the quarantine does not know this yet.
  bool wasLifted(const CrashSuspect &Suspect) const {
    return m_Lifted.contains(Suspect);
  }
  /// Sets the suspects that operators exempt from quarantine; replaces the
  /// former set.
  void setReleased(std::set<CrashSuspect> Suspects);
  /// Forgets crashes, suspects, completions and quarantines that have expired.
  void prune(TimePoint Now);

  /// Null unless \p Suspect is quarantined at \p Now.
  const Quarantine *findQuarantine(const CrashSuspect &Suspect,
                                   TimePoint Now) const;
  /// \returns a suspect in \p Request whose quarantine is for it; empty if it
  /// may be sent.
  std::optional<CrashSuspect> quarantinedIn(const RequestSuspects &Request,
                                            TimePoint Now) const;
  /// \returns whether chance explains none of the quarantines for \p Request.
  bool certainlyQuarantined(const RequestSuspects &Request,
                            TimePoint Now) const;
  /// \returns whether box \p Self of \p Boxes may send \p Request although it
  /// is quarantined, to find out about its suspects.
  bool mayProbe(const RequestSuspects &Request, const BoxName &Self,
                std::size_t Boxes, TimePoint Now) const;
  /// Records that this box sends \p Request for that.
  void recordProbe(const RequestSuspects &Request, TimePoint Now);
  /// Records that what was sent for that at \p SentAt reached no upstream, so
  /// that \p Request may be sent again.
  void withdrawProbe(const RequestSuspects &Request, TimePoint SentAt);
  /// \returns how long it takes until it is known how the next probe of the
  /// suspects of \p Request ended.
  Duration timeToProbeResult(const RequestSuspects &Request,
                             TimePoint Now) const;
  /// All quarantines, also those that have expired since the last prune().
  const std::map<CrashSuspect, Quarantine> &quarantines() const {
    return m_Quarantines;
  }
  /// When it can be decided whether to quarantine \p Suspect: enough upstreams
  /// have crashed while they ran it, but reports about these crashes may still
  /// arrive. Empty when there is nothing to wait for.
  std::optional<TimePoint> decisionTime(const CrashSuspect &Suspect,
                                        TimePoint Now) const;
  /// Number of crashes counted against \p Suspect: those at which a
  /// quarantined one was running too do not count, and correlated crashes may
  /// count as one.
  std::size_t crashCount(const CrashSuspect &Suspect, TimePoint Now) const;
  /// Whether enough upstreams crashed while they ran \p Suspect, but another
  /// one that was running too may be the cause.
  bool isAmbiguous(const CrashSuspect &Suspect, TimePoint Now) const;
  /// Whether \p Suspect has to be kept apart from others.
  bool isSuspect(const CrashSuspect &Suspect, TimePoint Now) const;
  /// When all reports of the next crash have arrived. Empty when those of all
  /// crashes have.
  std::optional<TimePoint> nextDecisionTime(TimePoint Now) const;

private:
  struct Crash {
    /// When the crash was first reported.
    TimePoint m_At{};
    /// When a report last added something to it.
    TimePoint m_UpdatedAt{};
    /// Requests that were running on the upstream.
    std::set<RequestSuspects> m_Requests;
    /// What they hold that has not been cleared.
    std::set<CrashSuspect> m_Suspects;
  };
  using Crashes = std::vector<const Crash *>;
  /// Valid until a crash, a completion or a quarantine is recorded.
  using Explanations = std::map<Crashes, PartExplanation>;

  bool completedRecently(const CrashSuspect &Suspect, TimePoint Now) const;
  std::size_t requiredCrashes(const CrashSuspect &Suspect) const;
  /// Crashes at which \p Suspect was running and no quarantined one was.
  Crashes unexplainedCrashes(const CrashSuspect &Suspect, TimePoint Now) const;
  /// The unexplained crashes whose reports have all arrived.
  Crashes completeCrashes(const CrashSuspect &Suspect, TimePoint Now) const;
  bool explainedByQuarantine(const Crash &Event, const CrashSuspect &Suspect,
                             TimePoint Now) const;
  std::size_t independentCrashes(const Crashes &Among,
                                 const CrashSuspect &Suspect,
                                 TimePoint Now) const;
  const PartExplanation &explain(const Crashes &Among,
                                 Explanations &Known) const;
  static bool heldTogether(const CrashSuspect &One, const CrashSuspect &Other,
                           const Crashes &Among);
  bool allCorrelated(const Crashes &Among) const;
  Crashes crashesUnderParts(const CrashSuspect &Part, TimePoint Now) const;
  static bool rarerPartsExplain(const CrashSuspect &Part,
                                const PartExplanation &Known);
  std::size_t countToQuarantine(const CrashSuspect &Suspect, TimePoint Now,
                                Explanations &Known) const;
  bool tooMany(const CrashSuspect &Suspect, const Crashes &Complete,
               const PartExplanation &Known) const;
  std::optional<CrashSuspect> primeSuspect(TimePoint Now) const;
  void addQuarantine(const CrashSuspect &Suspect, const BoxName &By,
                     TimePoint Now);
  void insertQuarantine(const CrashSuspect &Suspect, Quarantine Added);
  std::vector<CrashSuspect> widenQuarantines(TimePoint Now);
  std::vector<CrashSuspect> confirmQuarantines(TimePoint Now);
  bool certain(const CrashSuspect &Suspect, TimePoint Since,
               TimePoint Now) const;
  bool crashedBeside(const CrashSuspect &Suspect, TimePoint At,
                     TimePoint Now) const;
  bool quarantineHolds(const CrashSuspect &Suspect,
                       const RequestSuspects &Request, TimePoint Now) const;
  std::vector<CrashSuspect> quarantinesFor(const RequestSuspects &Request,
                                           TimePoint Now) const;
  ProbeHistory probeHistory(const CrashSuspect &Suspect,
                            const Quarantine &Entry, TimePoint Now) const;
  bool runsApart(const RequestSuspects &Request,
                 const std::vector<CrashSuspect> &Probed, TimePoint Now) const;
  bool clear(const CrashSuspect &Suspect, TimePoint Until);
  bool clearCrashes(const CrashSuspect &Suspect, TimePoint Until);
  void forgetCrash(const UpstreamIncarnation &Upstream);

  Options m_Opts;
  std::map<UpstreamIncarnation, Crash> m_Crashes;
  /// Index of m_Crashes by the suspects that were running.
  std::map<CrashSuspect, std::set<UpstreamIncarnation>> m_CrashesBySuspect;
  /// Suspects of other boxes, with the time of the last report.
  std::map<CrashSuspect, TimePoint> m_Suspects;
  /// When these suspects last ran without harm.
  std::map<CrashSuspect, TimePoint> m_Completed;
  std::map<CrashSuspect, Quarantine> m_Quarantines;
  /// When the quarantines of these suspects expired. For another quarantine
  /// duration one more crash renews it.
  std::map<CrashSuspect, TimePoint> m_Expired;
  /// When the quarantines of these suspects were lifted; kept for as long as
  /// another box may still report the quarantine.
  std::map<CrashSuspect, TimePoint> m_Lifted;
  /// Suspects that operators exempt from quarantine.
  std::set<CrashSuspect> m_Released;
};

} // namespace havenstair

#endif
