/// \file
/// Which requests end the servers that run them.
/// See docs/design/crashing-requests.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_CRASHBOOK_H
#define HAVENSTAIR_DECISIONS_PROCESS_CRASHBOOK_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/UpstreamIncarnation.h"
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace havenstair {

/// A request that is sent to no server any more.
struct RequestBar {
  std::vector<InstanceId> m_Servers; ///< Some that ended under it.
  BoxName m_By;                      ///< The box that judged so first.
  TimePoint m_Since{};
  TimePoint m_Until{};

  bool operator==(const RequestBar &) const = default;
};

/// Remembers which requests ran as servers ended, by their digests, so that the
/// count goes on whatever id, box or start of a server the next try meets. A
/// request is barred once enough servers have ended under it, none has run it
/// to an end, and nothing else was there each time.
class CrashBook {
public:
  struct Options {
    /// Ended servers that bar a request. Two may be chance: a caller's request
    /// is sent on once, and both servers may end for another reason.
    std::size_t m_Servers = 3;
    /// Ended servers that bar a request whatever else was there: a caller's
    /// request is sent four times at most, with its second try.
    std::size_t m_MostServers = 5;
    /// Servers that end within this time of each other may have one cause: a
    /// host, a switch, an operator. Where a request was on fewer than half of
    /// them they count as one end for it.
    Duration m_Herd = 1s;
    /// Boxes find out on their own what they had running on an ended server,
    /// and their words come about this late.
    Duration m_Settles = 100ms;
    /// How long an end counts: longer than callers keep trying.
    Duration m_Remembers = std::chrono::minutes(10);
    /// A request that ran well is suspected of nothing for as long: one that
    /// many callers send runs well many times in it.
    Duration m_RanWellFor = 10s;
    /// Afterwards one more end bars it again, so a request that stays bad costs
    /// a server in each such time. It is also the longest lease of the key that
    /// outlives the boxes.
    Duration m_BarredFor = std::chrono::minutes(10);
    /// Bounds of memory: about 6 MB when all are reached.
    std::size_t m_MostCrashes = 64;
    std::size_t m_MostRunning = 256; ///< Requests on one ended server.
    std::size_t m_MostRanWell = 4096;
    std::size_t m_MostBars = 2048;
    std::size_t m_MostSuspects = 2048; ///< That others have told of.
  };

  /// What a word of an ended server brought.
  struct Heard {
    bool m_New = false;
    /// Those among its requests that ran well lately.
    std::vector<RequestDigest> m_RanWell;
  };

  CrashBook() : CrashBook(Options{}) {}
  explicit CrashBook(Options Opts) : m_Opts(Opts) {}

  /// \p Server ended with \p Running on it. Words of several boxes add up.
  Heard crashed(const UpstreamIncarnation &Server,
                const std::vector<RequestDigest> &Running, TimePoint Now);
  /// A server has run it to an end and lives. \returns whether it was suspected
  /// or barred until now.
  bool ranWell(const RequestDigest &Request, TimePoint Now);
  /// Another box suspects it. \returns whether it ran well lately.
  bool suspected(const RequestDigest &Request, TimePoint Now);
  /// Bars what is to be barred by now. \returns what was not before.
  std::vector<RequestDigest> judge(const BoxName &By, TimePoint Now);
  /// Another box has barred it. \returns whether that is new.
  bool adopt(const RequestDigest &Request, RequestBar Bar, TimePoint Now);
  /// Whether its bar was lifted as it ran well, so that who still tells of the
  /// bar has not heard.
  bool pardoned(const RequestDigest &Request) const {
    return m_Pardoned.contains(Request);
  }
  /// Operators let \p Requests through, and none else.
  void letThrough(std::set<RequestDigest> Requests);
  /// Forgets what is too old.
  void prune(TimePoint Now);

  /// Null unless \p Request is barred.
  const RequestBar *bar(const RequestDigest &Request, TimePoint Now) const;
  const std::map<RequestDigest, RequestBar> &bars() const { return m_Bars; }
  /// When enough servers have ended under \p Request, but words of them may
  /// still be on their way: when it can be judged.
  std::optional<TimePoint> judgedAt(const RequestDigest &Request,
                                    TimePoint Now) const;
  /// Servers that ended under \p Request, but for those at whose end a barred
  /// request was there too, and those of a herd as one.
  std::size_t crashes(const RequestDigest &Request, TimePoint Now) const;
  /// Whether enough servers ended under it, but what else was there may be to
  /// blame.
  bool doubtful(const RequestDigest &Request, TimePoint Now) const;
  /// Whether it is to be kept away from others that are suspected.
  bool suspicious(const RequestDigest &Request, TimePoint Now) const;
  /// When all words of the next end have come; none when they have of all.
  std::optional<TimePoint> settlesAt(TimePoint Now) const;

private:
  struct Crash {
    TimePoint m_At{};
    TimePoint m_NewsAt{};
    std::set<RequestDigest> m_Running;
  };

  bool ranWellLately(const RequestDigest &Request, TimePoint Now) const;
  std::size_t needed(const RequestDigest &Request) const;
  /// Ends at which it was and no barred request was.
  std::vector<const Crash *> unexplained(const RequestDigest &Request,
                                         TimePoint Now) const;
  /// Those of them of which all words have come.
  std::vector<const Crash *> settled(const RequestDigest &Request,
                                     TimePoint Now) const;
  bool explained(const Crash &Of, const RequestDigest &Request,
                 TimePoint Now) const;
  std::size_t count(std::vector<const Crash *> Of, const RequestDigest &Request,
                    TimePoint Now) const;
  bool tied(const RequestDigest &Request, TimePoint Now) const;
  std::optional<RequestDigest> mostGuilty(TimePoint Now) const;
  void bar(const RequestDigest &Request, const BoxName &By, TimePoint Now);
  void insertBar(const RequestDigest &Request, RequestBar Bar);
  void clear(const RequestDigest &Request);
  void forgetCrash(const UpstreamIncarnation &Server);

  Options m_Opts;
  std::map<UpstreamIncarnation, Crash> m_Crashes;
  /// The other way round.
  std::map<RequestDigest, std::set<UpstreamIncarnation>> m_Under;
  std::map<RequestDigest, TimePoint> m_Suspects; ///< Told by others.
  std::map<RequestDigest, TimePoint> m_RanWell;
  std::map<RequestDigest, RequestBar> m_Bars;
  /// Bars that have ended; one more crash is enough until then.
  std::map<RequestDigest, TimePoint> m_Ended;
  /// Bars that were lifted, for as long as another box may keep them up.
  std::map<RequestDigest, TimePoint> m_Pardoned;
  std::set<RequestDigest> m_LetThrough;
};

} // namespace havenstair

#endif
