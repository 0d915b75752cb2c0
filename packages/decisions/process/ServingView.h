/// \file
/// What a box knows of the upstreams, and which of them may take a request.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_SERVINGVIEW_H
#define HAVENSTAIR_DECISIONS_PROCESS_SERVINGVIEW_H

#include "decisions/process/UpstreamInstance.h"
#include <functional>
#include <map>
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
    Duration m_LastResort = 800ms;
  };

  ServingView() : ServingView(Options{}) {}
  explicit ServingView(Options Opts) : m_Opts(Opts) {}

  /// Takes over \p List unless a newer one is known. \returns the upstreams
  /// that are no longer listed.
  std::vector<InstanceId> update(UpstreamList List, TimePoint Now);

  const UpstreamList &list() const { return m_List; }
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
  /// Upstreams of \p Service that are not leaving.
  std::vector<const UpstreamInstance *>
  active(const std::string &Service) const;

private:
  struct Leaving {
    UpstreamInstance m_Instance;
    TimePoint m_Since;
  };

  Options m_Opts;
  UpstreamList m_List;
  bool m_Known = false;
  std::map<InstanceId, Leaving> m_Leaving;
};

} // namespace havenstair

#endif
