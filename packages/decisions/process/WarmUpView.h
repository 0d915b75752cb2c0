/// \file
/// Which servers are cold, as far as this box knows.
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

/// Takes the list's entries, reports and answers as one source, of which the
/// later word of a life wins. A start that has not said how long it is cold
/// counts as cold for the time that its service states.
class WarmUpView {
public:
  struct Options {
    /// An entry may have been written this long before it is read here: the
    /// platform's watch, gathering of changes and two hops.
    Duration m_EntryLate = 1s;
    /// Servers write their entries at least this often.
    Duration m_EntryEvery = 1200ms;
    /// A life that leaves the list for less, as in an outage of the store, has
    /// not started again.
    Duration m_RememberFor = 60s;
  };

  WarmUpView() : WarmUpView(Options{}) {}
  explicit WarmUpView(Options Opts) : m_Opts(Opts) {}

  /// Services in force. Servers of others are never cold.
  void configure(const std::vector<ServiceSpec> &Services);
  /// The newest list. What starts once a list is known counts as cold.
  void listed(const InstanceList &List, TimePoint Now);
  /// \p Id said it, in answer to what was sent at \p AskedAt. An answer of an
  /// unknown server, or to what was sent before its start, says nothing.
  /// \returns whether it was believed to be warm and is cold.
  bool told(const InstanceId &Id, Duration ColdFor, TimePoint AskedAt,
            TimePoint Now);
  /// \p Id may have turned cold without a word, as after a time without work.
  void suspect(const InstanceId &Id, TimePoint Now);
  /// The same of all that are listed in \p DataCentre.
  void suspectAt(const DataCentreName &DataCentre, TimePoint Now);

  /// When a cold server is warm; none for a warm one.
  std::optional<TimePoint> warmAt(const InstanceId &Id, TimePoint Now) const;
  bool cold(const InstanceId &Id, TimePoint Now) const {
    return warmAt(Id, Now).has_value();
  }
  UpstreamLife life(const InstanceId &Id) const;
  /// Null when \p Id is not known, or its service states nothing.
  const WarmUpSpec *spec(const InstanceId &Id) const;
  DataCentreName dataCentre(const InstanceId &Id) const;
  /// Listed servers of services that state what a cold one bears.
  std::vector<InstanceId> limited() const;
  /// Cold servers by data centre.
  std::map<DataCentreName, int> coldByDataCentre(TimePoint Now) const;
  /// Some service states what a cold server bears.
  bool active() const { return !m_Specs.empty(); }

private:
  struct Server {
    UpstreamInstance m_Entry;
    bool m_Listed = true;
    TimePoint m_GoneAt{};
    TimePoint m_WarmAt{};
    /// What was said before does not end its warm-up.
    TimePoint m_EventAt{};
  };

  void entryChanged(Server &Of, const UpstreamInstance &Entry, TimePoint Now);
  void start(Server &Of, TimePoint Now);

  Options m_Opts;
  bool m_Known = false;
  std::map<std::string, WarmUpSpec> m_Specs;
  std::map<InstanceId, Server> m_Servers;
};

} // namespace havenstair

#endif
