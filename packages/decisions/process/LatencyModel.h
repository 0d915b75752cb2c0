/// \file
/// Learns the time to the first token: what a prompt token of a model costs,
/// and how fast each engine is.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_LATENCYMODEL_H
#define HAVENSTAIR_DECISIONS_PROCESS_LATENCYMODEL_H

#include "decisions/process/UpstreamInstance.h"
#include <map>
#include <string>

namespace havenstair {

/// Expected = m_BaseMs + slowness(engine) x (pending work + tokens x
/// cost(model)). Both factors follow the ratio of observed to expected times by
/// a geometric moving average.
class LatencyModel {
public:
  struct Options {
    /// Milliseconds that a prompt token costs before any is observed.
    double m_TokenMs = 0.02;
    /// Weight of one observation in the cost of a model's tokens.
    double m_TokenWeight = 0.08;
    /// Weight of one observation in the slowness of an engine.
    double m_EngineWeight = 0.08;
    /// Milliseconds to the first token without any work.
    double m_BaseMs = 8;
    /// Milliseconds after the first token for which an answer takes a slot,
    /// before one was observed: that of a few hundred tokens.
    double m_HoldMs = 1000;
    /// Weight of one observation in the time for which answers take a slot.
    double m_HoldWeight = 0.05;
  };

  LatencyModel() : LatencyModel(Options{}) {}
  explicit LatencyModel(Options Opts) : m_Opts(Opts) {}

  /// Milliseconds of work that \p Tokens prompt tokens of \p Model are on an
  /// average engine.
  double workMs(const std::string &Model, double Tokens) const;
  /// Expected milliseconds until the first token of \p WorkMs of work on \p At,
  /// behind \p PendingMs of other work.
  double expectedMs(const InstanceId &At, double PendingMs,
                    double WorkMs) const;
  /// Learns from a first token that came after \p ObservedMs, where \p
  /// PendingMs of work were ahead and the request itself was \p WorkMs. An
  /// empty \p Model changes the engine's slowness only.
  void observe(const InstanceId &At, const std::string &Model, double PendingMs,
               double WorkMs, double ObservedMs);
  /// Factor by which \p At is slower than an average engine; 1 before any
  /// observation.
  double slowness(const InstanceId &At) const;

  /// Milliseconds for which a request of \p Model takes a slot after its first
  /// token.
  double holdMs(const std::string &Model) const;
  /// Learns from an answer of \p Model that ended \p HoldMs after its first
  /// token.
  void observeHold(const std::string &Model, double HoldMs);
  /// Forgets the slowness of \p At.
  void forget(const InstanceId &At) { m_Slowness.erase(At); }

private:
  Options m_Opts;
  /// Milliseconds that a prompt token costs, by model.
  std::map<std::string, double> m_TokenMs;
  /// See holdMs(), by model.
  std::map<std::string, double> m_HoldMs;
  /// See slowness(), by engine.
  std::map<InstanceId, double> m_Slowness;
};

} // namespace havenstair

#endif
