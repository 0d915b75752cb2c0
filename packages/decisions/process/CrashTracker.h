/// \file
/// Detects the requests that crash the upstreams which run them, and
/// quarantines them. See docs/design/crashing-requests.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_CRASHTRACKER_H
#define HAVENSTAIR_DECISIONS_PROCESS_CRASHTRACKER_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/UpstreamIncarnation.h"
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace havenstair {

/// A request that is sent to no upstream any more, as it crashed several of
/// them.
struct RequestQuarantine {
  /// Some of the upstreams that crashed while they ran it.
  std::vector<InstanceId> m_Upstreams;
  /// The box that quarantined it first.
  BoxName m_By;
  /// When the quarantine began, by this box's clock.
  TimePoint m_Since{};
  /// When the quarantine expires.
  TimePoint m_Until{};

  bool operator==(const RequestQuarantine &) const = default;
};

/// Tracks which requests were running when upstreams crashed. Requests are
/// known by their digests, so crashes add up whatever id, box or incarnation of
/// an upstream the next attempt meets. A request is quarantined once enough
/// upstreams have crashed while they ran it, none has run it to completion, and
/// no other request was running at each of the crashes.
class CrashTracker {
public:
  struct Options {
    /// Crashes after which a request is quarantined. Two may be chance: a
    /// caller's request is retried once, and both upstreams may crash for
    /// another reason.
    std::size_t m_CrashThreshold = 3;
    /// Crashes after which a request is quarantined whatever else was running.
    /// With the caller's own retry, a request is sent four times at most.
    std::size_t m_UnconditionalThreshold = 5;
    /// Upstreams that crash within this time of each other may have one cause:
    /// a host, a switch, an operator. A request that ran on fewer than half of
    /// them gets one crash counted for all of them.
    Duration m_CorrelationWindow = 1s;
    /// How late reports of other boxes come: each box finds out on its own what
    /// it had running on a crashed upstream.
    Duration m_ReportDelay = 100ms;
    /// How long a crash counts: longer than callers keep retrying.
    Duration m_CrashRetention = std::chrono::minutes(10);
    /// How long a request that ran to completion is above suspicion. One that
    /// many callers send completes many times within it.
    Duration m_CompletionRetention = 10s;
    /// How long a quarantine lasts. For as long again one more crash renews it,
    /// so a request that stays bad costs one upstream in each such period. It
    /// is also the longest lease of the key in the store that keeps the
    /// quarantine when all boxes restart.
    Duration m_QuarantineDuration = std::chrono::minutes(10);
    /// Bounds of memory; about 6 MB when all are reached.
    std::size_t m_MaxCrashes = 64;
    /// Requests kept for one crash.
    std::size_t m_MaxRunning = 256;
    /// Requests remembered as completed.
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
    /// Requests of the report that completed recently, so they are not counted.
    std::vector<RequestDigest> m_Completed;
  };

  CrashTracker() : CrashTracker(Options{}) {}
  explicit CrashTracker(Options Opts) : m_Opts(Opts) {}

  /// Records that \p Upstream crashed while it ran \p Running. Reports of
  /// several boxes about one crash are merged.
  RecordResult recordCrash(const UpstreamIncarnation &Upstream,
                           const std::vector<RequestDigest> &Running,
                           TimePoint Now);
  /// Records that an upstream has run \p Request to completion and is still
  /// alive. \returns whether the request was a suspect or quarantined until
  /// now.
  bool recordCompletion(const RequestDigest &Request, TimePoint Now);
  /// Records that another box suspects \p Request. \returns true, and records
  /// nothing, when the request completed recently.
  bool addSuspect(const RequestDigest &Request, TimePoint Now);
  /// Quarantines the requests that qualify by now, in the name of box \p By.
  /// \returns those that were not quarantined before.
  std::vector<RequestDigest> quarantineSuspects(const BoxName &By,
                                                TimePoint Now);
  /// Takes over the quarantine that another box declared. \returns whether it
  /// is new here.
  bool adopt(const RequestDigest &Request, RequestQuarantine Quarantine,
             TimePoint Now);
  /// Whether a quarantine of \p Request was lifted because it ran to
  /// completion. A box that still reports the quarantine does not know this
  /// yet.
  bool wasLifted(const RequestDigest &Request) const {
    return m_Lifted.contains(Request);
  }
  /// Sets the requests that operators exempt from quarantine; replaces the
  /// former set.
  void setReleased(std::set<RequestDigest> Requests);
  /// Forgets crashes, suspects, completions and quarantines that have expired.
  void prune(TimePoint Now);

  /// Null unless \p Request is quarantined at \p Now.
  const RequestQuarantine *findQuarantine(const RequestDigest &Request,
                                          TimePoint Now) const;
  /// All quarantines, also those that have expired since the last prune().
  const std::map<RequestDigest, RequestQuarantine> &quarantines() const {
    return m_Quarantines;
  }
  /// When it can be decided whether to quarantine \p Request: enough upstreams
  /// have crashed while they ran it, but reports about these crashes may still
  /// arrive. Empty when there is nothing to wait for.
  std::optional<TimePoint> decisionTime(const RequestDigest &Request,
                                        TimePoint Now) const;
  /// Number of crashes counted against \p Request: those at which a quarantined
  /// request was running too do not count, and correlated crashes may count as
  /// one.
  std::size_t crashCount(const RequestDigest &Request, TimePoint Now) const;
  /// Whether enough upstreams crashed while they ran \p Request, but another
  /// request that was running too may be the cause.
  bool isAmbiguous(const RequestDigest &Request, TimePoint Now) const;
  /// Whether \p Request has to be kept apart from other suspects.
  bool isSuspect(const RequestDigest &Request, TimePoint Now) const;
  /// When all reports of the next crash have arrived. Empty when those of all
  /// crashes have.
  std::optional<TimePoint> nextDecisionTime(TimePoint Now) const;

private:
  struct Crash {
    /// When the crash was first reported.
    TimePoint m_At{};
    /// When a report last added a request to it.
    TimePoint m_UpdatedAt{};
    /// Requests that were running on the upstream.
    std::set<RequestDigest> m_Running;
  };

  bool completedRecently(const RequestDigest &Request, TimePoint Now) const;
  std::size_t requiredCrashes(const RequestDigest &Request) const;
  /// Crashes at which \p Request was running and no quarantined request was.
  std::vector<const Crash *> unexplainedCrashes(const RequestDigest &Request,
                                                TimePoint Now) const;
  /// The unexplained crashes whose reports have all arrived.
  std::vector<const Crash *> completeCrashes(const RequestDigest &Request,
                                             TimePoint Now) const;
  bool explainedByQuarantine(const Crash &Event, const RequestDigest &Request,
                             TimePoint Now) const;
  std::size_t independentCrashes(std::vector<const Crash *> Crashes,
                                 const RequestDigest &Request,
                                 TimePoint Now) const;
  bool hasCoSuspect(const RequestDigest &Request, TimePoint Now) const;
  std::optional<RequestDigest> primeSuspect(TimePoint Now) const;
  void addQuarantine(const RequestDigest &Request, const BoxName &By,
                     TimePoint Now);
  void insertQuarantine(const RequestDigest &Request,
                        RequestQuarantine Quarantine);
  void clear(const RequestDigest &Request);
  void forgetCrash(const UpstreamIncarnation &Upstream);

  Options m_Opts;
  std::map<UpstreamIncarnation, Crash> m_Crashes;
  /// Index of m_Crashes by the requests that were running.
  std::map<RequestDigest, std::set<UpstreamIncarnation>> m_CrashesByRequest;
  /// Requests that other boxes suspect, with the time of the last report.
  std::map<RequestDigest, TimePoint> m_Suspects;
  std::map<RequestDigest, TimePoint> m_Completed;
  std::map<RequestDigest, RequestQuarantine> m_Quarantines;
  /// When the quarantines of these requests expired. For another quarantine
  /// duration one more crash renews it.
  std::map<RequestDigest, TimePoint> m_Expired;
  /// When these requests completed while in quarantine; kept for as long as
  /// another box may still report the quarantine.
  std::map<RequestDigest, TimePoint> m_Lifted;
  /// Requests that operators exempt from quarantine.
  std::set<RequestDigest> m_Released;
};

} // namespace havenstair

#endif
