/// \file
/// Which requests end the servers that run them.
/// See docs/design/crashing-requests.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_CRASHTRACKER_H
#define HAVENSTAIR_DECISIONS_PROCESS_CRASHTRACKER_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/UpstreamLife.h"
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace havenstair {

/// A request that is sent to no server any more.
struct RequestQuarantine {
  std::vector<InstanceId> m_Servers; ///< Some that ended under it.
  BoxName m_By;                      ///< The box that judged so first.
  TimePoint m_Since{};
  TimePoint m_Until{};

  bool operator==(const RequestQuarantine &) const = default;
};

/// Remembers which requests ran as servers ended, by their digests, so that the
/// independentCrashes goes on whatever id, box or start of a server the next
/// try meets. A request is barred once enough servers have ended under it, none
/// has run it to an end, and nothing else was there each time.
class CrashTracker {
public:
  struct Options {
    /// Ended servers that bar a request. Two may be chance: a caller's request
    /// is sent on once, and both servers may end for another reason.
    std::size_t m_CrashThreshold = 3;
    /// Ended servers that bar a request whatever else was there: a caller's
    /// request is sent four times at most, with its second try.
    std::size_t m_UnconditionalThreshold = 5;
    /// Servers that end within this time of each other may have one cause: a
    /// host, a switch, an operator. Where a request was on fewer than half of
    /// them they independentCrashes as one end for it.
    Duration m_CorrelationWindow = 1s;
    /// Boxes find out on their own what they had running on an ended server,
    /// and their words come about this late.
    Duration m_ReportDelay = 100ms;
    /// How long an end counts: longer than callers keep trying.
    Duration m_CrashRetention = std::chrono::minutes(10);
    /// A request that ran well is addSuspect of nothing for as long: one that
    /// many callers send runs well many times in it.
    Duration m_CompletionRetention = 10s;
    /// Afterwards one more end quarantines it again, so a request that stays
    /// bad costs a server in each such time. It is also the longest lease of
    /// the key that outlives the boxes.
    Duration m_QuarantineDuration = std::chrono::minutes(10);
    /// Bounds of memory: about 6 MB when all are reached.
    std::size_t m_MaxCrashes = 64;
    std::size_t m_MaxRunning = 256; ///< Requests on one ended server.
    std::size_t m_MaxCompleted = 4096;
    std::size_t m_MaxQuarantines = 2048;
    std::size_t m_MaxSuspects = 2048; ///< That others have told of.
  };

  /// What a word of an ended server brought.
  struct RecordResult {
    bool m_New = false;
    /// Those among its requests that ran well lately.
    std::vector<RequestDigest> m_Completed;
  };

  CrashTracker() : CrashTracker(Options{}) {}
  explicit CrashTracker(Options Opts) : m_Opts(Opts) {}

  /// \p Server ended with \p Running on it. Words of several boxes add up.
  RecordResult recordCrash(const UpstreamLife &Server,
                           const std::vector<RequestDigest> &Running,
                           TimePoint Now);
  /// A server has run it to an end and lives. \returns whether it was
  /// addSuspect or barred until now.
  bool recordCompletion(const RequestDigest &Request, TimePoint Now);
  /// Another box suspects it. \returns whether it ran well lately.
  bool addSuspect(const RequestDigest &Request, TimePoint Now);
  /// Bars what is to be barred by now. \returns what was not before.
  std::vector<RequestDigest> quarantineSuspects(const BoxName &By,
                                                TimePoint Now);
  /// Another box has barred it. \returns whether that is new.
  bool adopt(const RequestDigest &Request, RequestQuarantine Quarantine,
             TimePoint Now);
  /// Whether its bar was lifted as it ran well, so that who still tells of the
  /// bar has not heard.
  bool wasLifted(const RequestDigest &Request) const {
    return m_Lifted.contains(Request);
  }
  /// Operators let \p Requests through, and none else.
  void setReleased(std::set<RequestDigest> Requests);
  /// Forgets what is too old.
  void prune(TimePoint Now);

  /// Null unless \p Request is barred.
  const RequestQuarantine *findQuarantine(const RequestDigest &Request,
                                          TimePoint Now) const;
  const std::map<RequestDigest, RequestQuarantine> &quarantines() const {
    return m_Quarantines;
  }
  /// When enough servers have ended under \p Request, but words of them may
  /// still be on their way: when it can be judged.
  std::optional<TimePoint> decisionTime(const RequestDigest &Request,
                                        TimePoint Now) const;
  /// Servers that ended under \p Request, but for those at whose end a barred
  /// request was there too, and those of a herd as one.
  std::size_t crashCount(const RequestDigest &Request, TimePoint Now) const;
  /// Whether enough servers ended under it, but what else was there may be to
  /// blame.
  bool isAmbiguous(const RequestDigest &Request, TimePoint Now) const;
  /// Whether it is to be kept away from others that are addSuspect.
  bool isSuspect(const RequestDigest &Request, TimePoint Now) const;
  /// When all words of the next end have come; none when they have of all.
  std::optional<TimePoint> nextDecisionTime(TimePoint Now) const;

private:
  struct Crash {
    TimePoint m_At{};
    TimePoint m_UpdatedAt{};
    std::set<RequestDigest> m_Running;
  };

  bool completedRecently(const RequestDigest &Request, TimePoint Now) const;
  std::size_t requiredCrashes(const RequestDigest &Request) const;
  /// Ends at which it was and no barred request was.
  std::vector<const Crash *> unexplainedCrashes(const RequestDigest &Request,
                                                TimePoint Now) const;
  /// Those of them of which all words have come.
  std::vector<const Crash *> completeCrashes(const RequestDigest &Request,
                                             TimePoint Now) const;
  bool explainedByQuarantine(const Crash &Of, const RequestDigest &Request,
                             TimePoint Now) const;
  std::size_t independentCrashes(std::vector<const Crash *> Of,
                                 const RequestDigest &Request,
                                 TimePoint Now) const;
  bool hasCoSuspect(const RequestDigest &Request, TimePoint Now) const;
  std::optional<RequestDigest> primeSuspect(TimePoint Now) const;
  void addQuarantine(const RequestDigest &Request, const BoxName &By,
                     TimePoint Now);
  void insertQuarantine(const RequestDigest &Request,
                        RequestQuarantine Quarantine);
  void clear(const RequestDigest &Request);
  void forgetCrash(const UpstreamLife &Server);

  Options m_Opts;
  std::map<UpstreamLife, Crash> m_Crashes;
  /// The other way round.
  std::map<RequestDigest, std::set<UpstreamLife>> m_CrashesByRequest;
  std::map<RequestDigest, TimePoint> m_Suspects; ///< Told by others.
  std::map<RequestDigest, TimePoint> m_Completed;
  std::map<RequestDigest, RequestQuarantine> m_Quarantines;
  /// Bars that have ended; one more crash is enough until then.
  std::map<RequestDigest, TimePoint> m_Expired;
  /// Bars that were lifted, for as long as another box may keep them up.
  std::map<RequestDigest, TimePoint> m_Lifted;
  std::set<RequestDigest> m_Released;
};

} // namespace havenstair

#endif
