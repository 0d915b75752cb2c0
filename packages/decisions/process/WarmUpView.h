/// \file
/// Tracks which upstreams are cold, as far as this box knows.
/// See docs/design/warm-up.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_WARMUPVIEW_H
#define HAVENSTAIR_DECISIONS_PROCESS_WARMUPVIEW_H

#include "decisions/common/Id.h"
#include "decisions/process/UpstreamInstance.h"
#include "decisions/process/WarmUp.h"
#include "decisions/version/ServingConfig.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace havenstair {

/// Merges the entries of the list, reports and answers; the latest statement of
/// an incarnation wins. An upstream that has started without saying how long it
/// is cold counts as cold for the time that is configured for its service.
class WarmUpView {
public:
  struct Options {
    /// Longest time from the write of an entry to its arrival here: the
    /// platform's watch, the batching of changes and two hops.
    Duration m_MaxEntryDelay = 1s;
    /// Upstreams write their entries at least this often.
    Duration m_EntryInterval = 1200ms;
    /// An upstream that is missing from the list for less, as in an outage of
    /// the store, has not started again.
    Duration m_RememberFor = 60s;
  };

  WarmUpView() : WarmUpView(Options{}) {}
  explicit WarmUpView(Options Opts) : m_Opts(Opts) {}

  /// Takes over the services in force. Upstreams of others are never cold.
  void configure(const std::vector<ServiceSpec> &Services);
  /// Takes over the newest list. Upstreams that are new to it count as cold,
  /// except in the first list.
  void update(const InstanceList &List, TimePoint Now);
  /// Records for how much longer \p Id is cold, according to its answer to a
  /// request that was sent at \p AskedAt. Ignored for an unknown upstream, or
  /// when the request was sent before its start. \returns whether the upstream
  /// counted as warm and is cold.
  bool recordColdTime(const InstanceId &Id, Duration ColdFor, TimePoint AskedAt,
                      TimePoint Now);
  /// Counts \p Id as cold, because it may have turned cold without saying so,
  /// as after a time without work.
  void suspect(const InstanceId &Id, TimePoint Now);
  /// Counts all upstreams that are listed in \p DataCentre as cold.
  void suspectAt(const DataCentreName &DataCentre, TimePoint Now);

  /// When a cold upstream will be warm; empty for a warm one.
  std::optional<TimePoint> warmAt(const InstanceId &Id, TimePoint Now) const;
  bool cold(const InstanceId &Id, TimePoint Now) const {
    return warmAt(Id, Now).has_value();
  }
  /// The newest known incarnation; with start time 0 when \p Id is unknown.
  UpstreamIncarnation incarnation(const InstanceId &Id) const;
  /// Null when \p Id is unknown or its service has no bound.
  const WarmUpSpec *spec(const InstanceId &Id) const;
  /// Empty when \p Id is unknown.
  DataCentreName dataCentre(const InstanceId &Id) const;
  /// Listed upstreams of services with a bound for cold ones.
  std::vector<InstanceId> limited() const;
  /// Number of cold upstreams by data centre.
  std::map<DataCentreName, int> coldByDataCentre(TimePoint Now) const;
  /// Whether any service has a bound for cold upstreams.
  bool active() const { return !m_Specs.empty(); }

private:
  struct Upstream {
    UpstreamInstance m_Entry;
    bool m_Listed = true;
    TimePoint m_GoneAt{}; ///< When it disappeared from the list.
    TimePoint m_WarmAt{};
    /// When it started or turned cold. Statements from before do not end its
    /// warm-up.
    TimePoint m_EventAt{};
  };

  void entryChanged(Upstream &Known, const UpstreamInstance &Entry,
                    TimePoint Now);
  void startWarmUp(Upstream &Known, TimePoint Now);

  Options m_Opts;
  bool m_Known = false;                      ///< A list has been received.
  std::map<std::string, WarmUpSpec> m_Specs; ///< By service.
  std::map<InstanceId, Upstream> m_Upstreams;
};

} // namespace havenstair

#endif
