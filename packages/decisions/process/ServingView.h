/// \file
/// What a box knows of the upstreams, and which of them may take a request.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_SERVINGVIEW_H
#define HAVENSTAIR_DECISIONS_PROCESS_SERVINGVIEW_H

#include "decisions/process/Evacuations.h"
#include "decisions/process/IncarnationTracker.h"
#include "decisions/process/UpstreamInstance.h"
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

/// Upstreams by the newest list, with the time at which each was first seen to
/// be leaving. A leaving upstream takes requests only while nothing else can,
/// and never after `LastResort`.
class ServingView {
public:
  struct Options {
    /// How long after the news an upstream that leaves may still be used.
    Duration m_LastResort = 400ms;
    /// How long the word that a model retires holds without being repeated.
    Duration m_RetiringHolds = 6s;
    /// How long the word of the box that gives orders is fresh.
    Duration m_WordFresh = 4s;
    /// A load that is overdue by this is not counted on any more.
    Duration m_LoadOverdue = 1500ms;
  };

  ServingView() : ServingView(Options{}) {}
  explicit ServingView(Options Opts) : m_Opts(Opts) {}

  /// Takes over \p List unless a newer one is known; entries of earlier starts
  /// than the newest that was heard of say nothing. \returns the upstreams of
  /// which all books are to be forgotten, as they were: those that are no
  /// longer listed, and those that have started again.
  std::vector<UpstreamInstance> update(InstanceList List, TimePoint Now);

  /// What the box that gives orders knows of an engine. The list lags behind
  /// it, so its word holds while it is fresh; afterwards the later of both.
  /// \p Retiring: models that take no new requests.
  /// A word on an earlier start than the newest is dropped.
  void told(const UpstreamLife &Engine, std::vector<ResidentModel> Models,
            std::set<std::string> Retiring, TimePoint Now);
  /// The same word on the model that \p Engine is loading, empty for none.
  void toldLoad(const UpstreamLife &Engine, const std::string &Model,
                TimePoint ServesAt);
  /// Listed upstreams that tell their birth; the others are judged by name.
  std::size_t tellingBirth() const;
  /// When it was seen that \p Id had started again; none if it was not.
  std::optional<TimePoint> startedAgainAt(const InstanceId &Id) const;
  /// Whether the books are of a later start than \p Life: what is still heard
  /// of that one changes them no more.
  bool past(const UpstreamLife &Life) const {
    return !m_ListedLives.isCurrent(Life);
  }

  /// \p Server itself says that it leaves, for the rest of its life, whatever
  /// lists say of it: they may be older, and the store may not have taken it.
  void saidLeaving(const UpstreamLife &Server, TimePoint Now);

  /// Takes over what operators have asked for unless newer is known. \returns
  /// whether that changes where requests may go.
  bool evacuate(Evacuations Asked, TimePoint Now);
  const Evacuations &evacuations() const { return m_Evacuations; }
  bool evacuated(const UpstreamInstance &Upstream) const;
  /// Whether \p Upstream is to get no more work: it leaves, or stands in an
  /// evacuated data centre.
  bool leaves(const UpstreamInstance &Upstream) const {
    return Upstream.m_Draining || evacuated(Upstream);
  }
  /// When the evacuation of \p Upstream's data centre was last known to be
  /// taken away; none when it was not, or stands. It may have grown cold.
  std::optional<TimePoint> returnedAt(const UpstreamInstance &Upstream) const;

  const InstanceList &list() const { return m_List; }
  bool known() const { return m_Known; }

  /// An entry of the list or one that has just left it; null otherwise.
  const UpstreamInstance *find(const InstanceId &Id) const;
  /// Upstreams of \p Service that hold \p Model with \p Adapter (both may be
  /// empty), leaving out those that \p Excluded names.
  std::vector<const UpstreamInstance *>
  candidates(const std::string &Service, const std::string &Model,
             const std::string &Adapter,
             const std::function<bool(const InstanceId &)> &Excluded,
             TimePoint Now) const;
  /// Whether any upstream of \p Service is listed and not leaving, but for
  /// those that \p Excluded names.
  bool anyOf(const std::string &Service,
             const std::function<bool(const InstanceId &)> &Excluded) const;
  /// When the next load of \p Model at \p Service is expected to serve,
  /// leaving out upstreams that \p Excluded names; none when none is under way.
  std::optional<TimePoint>
  servesAt(const std::string &Service, const std::string &Model,
           const std::function<bool(const InstanceId &)> &Excluded,
           TimePoint Now) const;
  /// All entries of the list, with what was told since.
  const std::map<InstanceId, UpstreamInstance> &current() const {
    return m_Current;
  }

private:
  struct Leaving {
    UpstreamInstance m_Instance;
    TimePoint m_Since;
  };
  struct SaidLeaving {
    UpstreamBirth m_Born = 0;
    TimePoint m_Listed{}; ///< Or heard of otherwise; the last time.
  };
  struct Told {
    std::vector<ResidentModel> m_Models;
    std::set<std::string> m_Retiring;
    TimePoint m_At{};
    UpstreamBirth m_Born = 0;
  };

  struct Load {
    std::string m_Model;
    TimePoint m_ServesAt{};
    UpstreamBirth m_Born = 0;
  };

  void keepNewestLives(InstanceList &List);
  void markSaidLeaving(InstanceList &List, TimePoint Now);
  std::vector<UpstreamInstance> startedAgain(const InstanceList &List,
                                             TimePoint Now);
  void forgetBefore(const UpstreamLife &Life);
  bool retiring(const InstanceId &Id, const std::string &Model,
                TimePoint Now) const;
  void refresh(const InstanceId &Id, TimePoint Now);

  Options m_Opts;
  InstanceList m_List;
  Evacuations m_Evacuations;
  std::map<DataCentreName, TimePoint> m_ReturnedAt;
  bool m_Known = false;
  IncarnationTracker m_Lives;       ///< Of all that was heard.
  IncarnationTracker m_ListedLives; ///< Of the lists; what the books are of.
  std::map<InstanceId, TimePoint> m_AgainAt;
  std::map<InstanceId, Leaving> m_Leaving;
  std::map<InstanceId, SaidLeaving> m_SaidLeaving;
  std::map<InstanceId, Told> m_Told;
  std::map<InstanceId, Load> m_Loads;
  /// When the list last told something new of an upstream.
  std::map<InstanceId, TimePoint> m_ListedAt;
  /// The entries of the list with what was told.
  std::map<InstanceId, UpstreamInstance> m_Current;
};

} // namespace havenstair

#endif
