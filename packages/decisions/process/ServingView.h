/// \file
/// Keeps what a box knows of the upstreams, and which may take a request.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_SERVINGVIEW_H
#define HAVENSTAIR_DECISIONS_PROCESS_SERVINGVIEW_H

#include "decisions/process/Evacuations.h"
#include "decisions/process/IncarnationTracker.h"
#include "decisions/process/RestoreReconciler.h"
#include "decisions/process/UpstreamInstance.h"
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

/// Merges the newest list of upstreams with what the leader reports of engines
/// and what upstreams signal themselves. A leaving upstream takes requests only
/// while no other can, and not for longer than `Options::m_LastResort`.
class ServingView {
public:
  struct Options {
    /// How long an upstream may still be used after it was first known to be
    /// leaving.
    Duration m_LastResort = 400ms;
    /// How long a report that a model is being retired holds unless repeated.
    Duration m_RetiringTtl = 6s;
    /// How long a report of the leader overrides a newer list.
    Duration m_LeaderReportTtl = 4s;
    /// A load that is overdue by more is no longer expected to finish.
    Duration m_LoadOverdue = 1500ms;
    /// How long an evacuation that a restored store lacks stays in force unless
    /// it is requested again.
    Duration m_KeepEvacuation = 10s;
  };

  ServingView() : ServingView(Options{}) {}
  explicit ServingView(Options Opts) : m_Opts(Opts) {}

  /// Takes over \p List unless a newer one is known; entries of incarnations
  /// before the newest known one are ignored. The first list of a restored
  /// store undoes nothing that was acknowledged before: upstreams that were
  /// leaving leave, and RestoreReconciler decides about those that only one of
  /// the two lists has. \returns the previous entries of the upstreams whose
  /// state is to be discarded everywhere: those that are no longer listed, and
  /// those that have started again.
  std::vector<UpstreamInstance> update(InstanceList List, TimePoint Now);

  /// Records what the leader knows of an engine. The list lags behind it, so
  /// the report overrides the list while it is fresh; afterwards the later of
  /// both holds. \p Retiring: models that take no new requests. A report on an
  /// incarnation before the newest known one is dropped.
  void recordLeaderReport(const UpstreamIncarnation &Engine,
                          std::vector<ResidentModel> Models,
                          std::set<std::string> Retiring, TimePoint Now);
  /// Records the model that \p Engine is loading according to the leader; empty
  /// for none.
  void recordLeaderLoad(const UpstreamIncarnation &Engine,
                        const std::string &Model, TimePoint ServesAt);
  /// Number of listed upstreams that report their start time; restarts of the
  /// others are not detected.
  std::size_t countWithStartTime() const;
  /// When the list first showed that \p Id had started again; empty if it never
  /// did.
  std::optional<TimePoint> restartedAt(const InstanceId &Id) const;
  /// Whether a later incarnation than \p Incarnation has been listed, so that
  /// reports on that one are to be ignored.
  bool superseded(const UpstreamIncarnation &Incarnation) const {
    return !m_ListedIncarnations.isCurrent(Incarnation);
  }

  /// Records that \p Upstream signalled that it is leaving. That holds for the
  /// rest of the incarnation, whatever lists say, as these may be older and the
  /// store may have missed the change.
  void markLeaving(const UpstreamIncarnation &Upstream, TimePoint Now);

  /// When update() with the same list changes the result next, after the store
  /// was restored; empty when it does not.
  std::optional<TimePoint> nextReconciliation(TimePoint Now) const {
    return m_Reconciler.nextChange(Now);
  }
  const RestoreReconciler &reconciler() const { return m_Reconciler; }

  /// Takes over the evacuations that operators requested unless newer ones are
  /// known. Those that a restored store lacks stay in force for a while.
  /// \returns whether the evacuated data centres changed.
  bool setEvacuations(Evacuations Requested, TimePoint Now);
  /// Until when evacuations stay in force that the store lacks; empty when
  /// there are none.
  std::optional<TimePoint> evacuationsKeptUntil() const {
    return m_KeptEvacuations.empty() ? std::nullopt
                                     : std::optional(m_EvacuationsKeptUntil);
  }
  const Evacuations &evacuations() const { return m_Evacuations; }
  /// Whether the data centre of \p Upstream is evacuated.
  bool evacuated(const UpstreamInstance &Upstream) const;
  /// Whether \p Upstream is to get no more work, because it is draining or its
  /// data centre is evacuated.
  bool isLeaving(const UpstreamInstance &Upstream) const {
    return Upstream.m_Draining || evacuated(Upstream);
  }
  /// When this box learned that the evacuation of \p Upstream's data centre had
  /// ended; empty when there was none or it is in force. The upstream may have
  /// turned cold during the evacuation.
  std::optional<TimePoint>
  evacuationEndedAt(const UpstreamInstance &Upstream) const;

  const InstanceList &list() const { return m_List; }
  /// Whether any list has been received.
  bool known() const { return m_Known; }

  /// An entry of the list or one that disappeared from it a short while ago;
  /// null otherwise.
  const UpstreamInstance *find(const InstanceId &Id) const;
  /// The upstreams of \p Service that can take a request for \p Model with
  /// \p Adapter (both may be empty), except for those that \p Excluded accepts.
  std::vector<const UpstreamInstance *>
  candidates(const std::string &Service, const std::string &Model,
             const std::string &Adapter,
             const std::function<bool(const InstanceId &)> &Excluded,
             TimePoint Now) const;
  /// Whether any upstream of \p Service is listed and not leaving, except for
  /// those that \p Excluded accepts.
  bool
  anyAvailable(const std::string &Service,
               const std::function<bool(const InstanceId &)> &Excluded) const;
  /// When the next load of \p Model at \p Service is expected to be finished,
  /// except for upstreams that \p Excluded accepts; empty when none is under
  /// way.
  std::optional<TimePoint>
  servesAt(const std::string &Service, const std::string &Model,
           const std::function<bool(const InstanceId &)> &Excluded,
           TimePoint Now) const;
  /// All entries of the list, updated by reports and signals.
  const std::map<InstanceId, UpstreamInstance> &current() const {
    return m_Current;
  }

private:
  struct Leaving {
    UpstreamInstance m_Instance;
    TimePoint m_Since; ///< When it was first known to be leaving.
  };
  struct LeavingNotice {
    StartTime m_StartTime = 0;
    /// When the upstream was last listed, or when it signalled.
    TimePoint m_Listed{};
  };
  struct LeaderReport {
    std::vector<ResidentModel> m_Models;
    std::set<std::string> m_Retiring;
    TimePoint m_At{};
    StartTime m_StartTime = 0;
  };

  struct Load {
    std::string m_Model;
    TimePoint m_ServesAt{};
    StartTime m_StartTime = 0;
  };

  void onStoreRestored(TimePoint Now);
  void keepEvacuations(Evacuations &Requested, TimePoint Now);
  void keepNewestIncarnations(InstanceList &List);
  void markLeavingUpstreams(InstanceList &List, TimePoint Now);
  std::vector<UpstreamInstance> recordRestarts(const InstanceList &List,
                                               TimePoint Now);
  void forgetBefore(const UpstreamIncarnation &Incarnation);
  bool retiring(const InstanceId &Id, const std::string &Model,
                TimePoint Now) const;
  void refresh(const InstanceId &Id, TimePoint Now);

  Options m_Opts;
  InstanceList m_List;
  Evacuations m_Evacuations;
  std::map<DataCentreName, TimePoint> m_EvacuationEndedAt;
  /// Evacuations in force that the restored store lacks.
  std::set<DataCentreName> m_KeptEvacuations;
  TimePoint m_EvacuationsKeptUntil{};
  RestoreReconciler m_Reconciler;
  bool m_Known = false;
  IncarnationTracker m_Incarnations;       ///< Newest known from any source.
  IncarnationTracker m_ListedIncarnations; ///< Newest that was listed.
  std::map<InstanceId, TimePoint> m_RestartedAt;
  std::map<InstanceId, Leaving> m_Leaving;
  std::map<InstanceId, LeavingNotice> m_LeavingNotices;
  std::map<InstanceId, LeaderReport> m_LeaderReports;
  std::map<InstanceId, Load> m_Loads;
  /// When an entry of the list last changed.
  std::map<InstanceId, TimePoint> m_ListedAt;
  /// The entries of the list, updated by reports and signals.
  std::map<InstanceId, UpstreamInstance> m_Current;
};

} // namespace havenstair

#endif
