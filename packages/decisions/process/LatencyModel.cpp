#include "decisions/process/LatencyModel.h"

#include <algorithm>
#include <cmath>

namespace havenstair {

namespace {

/// One observation counts as no more than this many times faster or slower.
constexpr double MaxRatio = 4;
constexpr double MinSlowness = 0.5;
constexpr double MaxSlowness = 10;
constexpr double MinTokenMs = 0.002;
constexpr double MaxTokenMs = 1;

} // namespace

double LatencyModel::workMs(const std::string &Model, double Tokens) const {
  const auto Found = m_TokenMs.find(Model);
  return Tokens * (Found == m_TokenMs.end() ? m_Opts.m_TokenMs : Found->second);
}

double LatencyModel::slowness(const InstanceId &At) const {
  const auto Found = m_Slowness.find(At);
  return Found == m_Slowness.end() ? 1 : Found->second;
}

double LatencyModel::expectedMs(const InstanceId &At, double PendingMs,
                                double WorkMs) const {
  return m_Opts.m_BaseMs + slowness(At) * (PendingMs + WorkMs);
}

void LatencyModel::observe(const InstanceId &At, const std::string &Model,
                           double PendingMs, double WorkMs, double ObservedMs) {
  const double Expected = expectedMs(At, PendingMs, WorkMs);
  const double Ratio =
      std::clamp(std::max(ObservedMs, 1.0) / Expected, 1 / MaxRatio, MaxRatio);
  double &Slowness = m_Slowness.try_emplace(At, 1).first->second;
  Slowness = std::clamp(Slowness * std::pow(Ratio, m_Opts.m_EngineWeight),
                        MinSlowness, MaxSlowness);
  // When most of the time was spent on other work, it shows nothing about this
  // model.
  if (Model.empty() || WorkMs < PendingMs)
    return;
  double &TokenMs =
      m_TokenMs.try_emplace(Model, m_Opts.m_TokenMs).first->second;
  TokenMs = std::clamp(TokenMs * std::pow(Ratio, m_Opts.m_TokenWeight),
                       MinTokenMs, MaxTokenMs);
}

double LatencyModel::holdMs(const std::string &Model) const {
  const auto Found = m_HoldMs.find(Model);
  return Found == m_HoldMs.end() ? m_Opts.m_HoldMs : Found->second;
}

void LatencyModel::observeHold(const std::string &Model, double HoldMs) {
  double &Known = m_HoldMs.try_emplace(Model, m_Opts.m_HoldMs).first->second;
  Known += m_Opts.m_HoldWeight * (HoldMs - Known);
}

} // namespace havenstair
