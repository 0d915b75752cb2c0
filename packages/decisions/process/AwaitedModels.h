/// \file
/// Models and adapters that requests wait for because no engine holds them.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_AWAITEDMODELS_H
#define HAVENSTAIR_DECISIONS_PROCESS_AWAITEDMODELS_H

#include "decisions/common/Time.h"
#include "decisions/process/AdapterPlanner.h"
#include "decisions/process/ModelDemand.h"
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

/// Tracks the models and adapters that requests wait for, so that a plan can
/// load them first. A key is kept until an engine holds it or no request has
/// asked for it for some seconds.
class AwaitedModels {
public:
  /// Records that requests wait for \p Keys at \p Now.
  void add(const std::vector<ModelKey> &Keys, TimePoint Now);
  /// Forgets the keys that no request has asked for lately, and those for which
  /// \p Resident returns true.
  void expire(const std::function<bool(const ModelKey &)> &Resident,
              TimePoint Now);
  /// Models of \p Service that requests wait for, either for the model itself
  /// or for one of its adapters.
  std::set<std::string> models(const std::string &Service) const;
  /// Adapters of \p Service that requests wait for; those that have been waited
  /// for longest come first.
  std::vector<AdapterKey> adapters(const std::string &Service) const;

private:
  /// When a key was first and last requested.
  struct Wait {
    TimePoint m_Since{};
    TimePoint m_Last{};
  };

  std::map<ModelKey, Wait> m_Waits;
};

} // namespace havenstair

#endif
