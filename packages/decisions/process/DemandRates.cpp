#include "decisions/process/DemandRates.h"

#include <algorithm>
#include <cmath>

namespace havenstair {

namespace {

/// Keys with fewer requests per second than this are not reported.
constexpr double MinReportedRequests = 0.002;

/// Keys are dropped whose baseline is lower, in requests per second and in
/// milliseconds of work per second.
constexpr ModelDemand Negligible{.m_Requests = 1e-6, .m_WorkMs = 1e-3};

/// Looking through all keys takes as long as adding hundreds.
constexpr Duration ExpireInterval = 1s;

std::size_t nameBytes(const ModelKey &Key) {
  return Key.m_Service.size() + Key.m_Model.size() + Key.m_Adapter.size();
}

ModelDemand scaled(const ModelDemand &Demand, double Factor) {
  return {.m_Requests = Demand.m_Requests * Factor,
          .m_WorkMs = Demand.m_WorkMs * Factor};
}

/// Both rates lag behind a steadily moving demand by their time constants, so
/// their difference is proportional to its slope.
double extrapolated(double Fast, double Slow, double Lead) {
  return std::max(0.0, (Fast + Slow) / 2 + Lead * (Fast - Slow));
}

} // namespace

DemandRates::KeyRates DemandRates::decayed(const KeyRates &From,
                                           TimePoint Now) const {
  const double Age = std::max(0.0, inSeconds(Now - From.m_At));
  return {
      .m_Fast = scaled(From.m_Fast, std::exp(-Age / inSeconds(m_Opts.m_Fast))),
      .m_Slow = scaled(From.m_Slow, std::exp(-Age / inSeconds(m_Opts.m_Slow))),
      .m_Baseline = scaled(From.m_Baseline,
                           std::exp(-Age / inSeconds(m_Opts.m_Baseline))),
      .m_At = Now};
}

/// The baseline is the last to decay.
void DemandRates::expire(TimePoint Now) {
  if (Now < m_ExpireAt)
    return;
  m_ExpireAt = Now + ExpireInterval;
  std::erase_if(m_ByKey, [&](const auto &Each) {
    const ModelDemand Left = decayed(Each.second, Now).m_Baseline;
    return Left.m_Requests < Negligible.m_Requests &&
           Left.m_WorkMs < Negligible.m_WorkMs;
  });
}

DemandRates::KeyRates *DemandRates::find(const ModelKey &Key, TimePoint Now) {
  expire(Now);
  const auto Known = m_ByKey.find(Key);
  if (Known == m_ByKey.end() && (m_ByKey.size() >= m_Opts.m_MaxKeys ||
                                 nameBytes(Key) > m_Opts.m_MaxNameBytes))
    return nullptr;
  KeyRates &Entry = Known == m_ByKey.end() ? m_ByKey[Key] : Known->second;
  Entry = decayed(Entry, Now);
  return &Entry;
}

void DemandRates::add(const ModelKey &Key, const ModelDemand &Demand,
                      TimePoint Now) {
  KeyRates *Entry = find(Key, Now);
  if (Entry == nullptr)
    return;
  Entry->m_Fast += scaled(Demand, 1 / inSeconds(m_Opts.m_Fast));
  Entry->m_Slow += scaled(Demand, 1 / inSeconds(m_Opts.m_Slow));
  Entry->m_Baseline += scaled(Demand, 1 / inSeconds(m_Opts.m_Baseline));
}

void DemandRates::expect(const ModelKey &Key, const ModelDemand &Demand,
                         TimePoint Now) {
  KeyRates *Entry = find(Key, Now);
  if (Entry == nullptr)
    return;
  Entry->m_Baseline = {
      .m_Requests = std::max(Entry->m_Baseline.m_Requests, Demand.m_Requests),
      .m_WorkMs = std::max(Entry->m_Baseline.m_WorkMs, Demand.m_WorkMs)};
}

ModelDemand DemandRates::expected(const KeyRates &From) const {
  return {.m_Requests =
              extrapolated(From.m_Fast.m_Requests, From.m_Slow.m_Requests,
                           m_Opts.m_LookaheadSeconds),
          .m_WorkMs = extrapolated(From.m_Fast.m_WorkMs, From.m_Slow.m_WorkMs,
                                   m_Opts.m_LookaheadSeconds)};
}

ModelDemand DemandRates::rate(const ModelKey &Key, TimePoint Now) const {
  const auto Found = m_ByKey.find(Key);
  return Found == m_ByKey.end() ? ModelDemand{}
                                : expected(decayed(Found->second, Now));
}

ModelDemands DemandRates::rates(TimePoint Now) const {
  ModelDemands Result;
  for (const auto &[Key, Entry] : m_ByKey) {
    const ModelDemand Rate = expected(decayed(Entry, Now));
    if (Rate.m_Requests >= MinReportedRequests)
      Result.emplace(Key, Rate);
  }
  return Result;
}

ModelDemands DemandRates::baseline(TimePoint Now) const {
  ModelDemands Result;
  for (const auto &[Key, Entry] : m_ByKey)
    if (Key.m_Adapter.empty())
      Result.emplace(Key, decayed(Entry, Now).m_Baseline);
  return Result;
}

} // namespace havenstair
