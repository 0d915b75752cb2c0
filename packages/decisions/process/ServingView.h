/// \file
/// What a box knows of the upstreams, and which of them may take a request.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_SERVINGVIEW_H
#define HAVENSTAIR_DECISIONS_PROCESS_SERVINGVIEW_H

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

  /// Takes over \p List unless a newer one is known. \returns the upstreams
  /// that are no longer listed.
  std::vector<InstanceId> update(InstanceList List, TimePoint Now);

  /// What the box that gives orders knows of an engine. The list lags behind
  /// it, so its word holds while it is fresh; afterwards the later of both.
  /// \p Retiring: models that take no new requests.
  void told(const InstanceId &Engine, std::vector<ResidentModel> Models,
            std::set<std::string> Retiring, TimePoint Now);
  /// The same word on the model that \p Engine is loading, empty for none.
  void toldLoad(const InstanceId &Engine, const std::string &Model,
                TimePoint ServesAt);

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
  struct Told {
    std::vector<ResidentModel> m_Models;
    std::set<std::string> m_Retiring;
    TimePoint m_At{};
  };

  struct Load {
    std::string m_Model;
    TimePoint m_ServesAt{};
  };

  bool retiring(const InstanceId &Id, const std::string &Model,
                TimePoint Now) const;
  void refresh(const InstanceId &Id, TimePoint Now);

  Options m_Opts;
  InstanceList m_List;
  bool m_Known = false;
  std::map<InstanceId, Leaving> m_Leaving;
  std::map<InstanceId, Told> m_Told;
  std::map<InstanceId, Load> m_Loads;
  /// When the list last told something new of an upstream.
  std::map<InstanceId, TimePoint> m_ListedAt;
  /// The entries of the list with what was told.
  std::map<InstanceId, UpstreamInstance> m_Current;
};

} // namespace havenstair

#endif
