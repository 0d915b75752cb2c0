/// \file
/// Learned time to the first token: what a token of a model costs, and how
/// fast each engine is.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LATENCYMODEL_H
#define HAVENSTAIR_DECISIONS_PROCESS_LATENCYMODEL_H

#include "decisions/process/UpstreamInstance.h"
#include <map>
#include <string>

namespace havenstair {

/// Expected = Slowness(engine) x (work ahead + tokens x cost(model)). Both
/// factors follow the ratio of observed and expected times by a geometric
/// moving average.
class LatencyModel {
public:
  struct Options {
    double m_TokenMs = 0.02; ///< Cost of a prompt token before any is seen.
    double m_TokenWeight = 0.08;
    double m_EngineWeight = 0.08;
    double m_BaseMs = 8; ///< Time that no token causes.
    /// Before an answer was seen: that of a few hundred tokens.
    double m_HoldMs = 1000;
    double m_HoldWeight = 0.05;
  };

  LatencyModel() : LatencyModel(Options{}) {}
  explicit LatencyModel(Options Opts) : m_Opts(Opts) {}

  /// Milliseconds of work that \p Tokens of \p Model are on an average engine.
  double workMs(const std::string &Model, double Tokens) const;
  /// Milliseconds until the first token, behind \p PendingMs of other work.
  double expectedMs(const InstanceId &At, double PendingMs,
                    double WorkMs) const;
  /// A first token came after \p ObservedMs where \p PendingMs were ahead and
  /// the request was \p WorkMs of work itself.
  void observe(const InstanceId &At, const std::string &Model, double PendingMs,
               double WorkMs, double ObservedMs);
  double slowness(const InstanceId &At) const;

  /// Milliseconds for which a request of \p Model takes a slot after its first
  /// token.
  double holdMs(const std::string &Model) const;
  /// An answer of \p Model ended \p HoldMs after its first token.
  void observeHold(const std::string &Model, double HoldMs);
  void forget(const InstanceId &At) { m_Slowness.erase(At); }

private:
  Options m_Opts;
  std::map<std::string, double> m_TokenMs;
  std::map<std::string, double> m_HoldMs;
  std::map<InstanceId, double> m_Slowness;
};

} // namespace havenstair

#endif
