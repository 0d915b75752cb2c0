#include "havenstaird/process/PolicySettings.h"

#include "havenstaird/process/Settings.h"
#include <array>
#include <charconv>
#include <sstream>

namespace havenstair {

namespace {

/// A setting that is a number of the policy.
struct PolicySetting {
  const char *m_Flag;
  const char *m_Meaning;
  double m_Min;
  double m_Max;
  double &(*m_Member)(GatewayPolicy &);
};

const std::array<PolicySetting, 27> Table{{
    {"--few-moves", "0 prefers attainment of targets, 1 few moves", 0, 1,
     [](GatewayPolicy &P) -> double & { return P.m_Planner.m_FewMoves; }},
    {"--least-gain-near", "least gain of a load from the engine's own copies",
     0, 100,
     [](GatewayPolicy &P) -> double & { return P.m_Planner.m_LeastGainNear; }},
    {"--least-gain-store", "least gain of a load from the store of weights", 0,
     100,
     [](GatewayPolicy &P) -> double & { return P.m_Planner.m_LeastGainStore; }},
    {"--release-loss", "loss at which a replica that is not needed is unloaded",
     0, 100,
     [](GatewayPolicy &P) -> double & { return P.m_Planner.m_ReleaseLoss; }},
    {"--reachable-worth", "worth of a model's first replica", 0, 100,
     [](GatewayPolicy &P) -> double & { return P.m_Planner.m_ReachableWorth; }},
    {"--spread-worth",
     "part of the time that a data centre is lost, unreplaced; 0: no spread", 0,
     1, [](GatewayPolicy &P) -> double & { return P.m_Planner.m_SpreadWorth; }},
    {"--plan-horizon-ms", "time over which the gain of a move is computed",
     1000, 600000,
     [](GatewayPolicy &P) -> double & { return P.m_Planner.m_HorizonMs; }},
    {"--long-answer-ms", "time in which nearly all answers end", 0, 600000,
     [](GatewayPolicy &P) -> double & { return P.m_Planner.m_LongAnswerMs; }},
    {"--demand-trend", "seconds by which demand is predicted ahead", 0, 10,
     [](GatewayPolicy &P) -> double & { return P.m_Rates.m_LookaheadSeconds; }},
    {"--adapter-rate", "requests a second for each copy of an adapter", 0.01,
     1000,
     [](GatewayPolicy &P) -> double & { return P.m_Adapters.m_RatePerCopy; }},
    {"--other-zone-ms", "cost of another data centre of the region", 0, 10000,
     [](GatewayPolicy &P) -> double & { return P.m_Choice.m_OtherZoneMs; }},
    {"--other-region-ms", "cost of another region", 0, 10000,
     [](GatewayPolicy &P) -> double & { return P.m_Choice.m_OtherRegionMs; }},
    {"--failure-ms", "cost of a failed attempt", 0, 60000,
     [](GatewayPolicy &P) -> double & { return P.m_Choice.m_FailureMs; }},
    {"--running-ms", "cost of each running request", 0, 1000,
     [](GatewayPolicy &P) -> double & { return P.m_Choice.m_RunningMs; }},
    {"--preferred-cached", "part assumed to be cached at the preferred engine",
     0, 1,
     [](GatewayPolicy &P) -> double & {
       return P.m_Choice.m_PreferredCachedFraction;
     }},
    {"--disturbance", "cost of reading prompts beside running streams", 0, 100,
     [](GatewayPolicy &P) -> double & {
       return P.m_Choice.m_InterferenceFactor;
     }},
    {"--wait-part", "part of the target that a wait may take", 0.1, 100,
     [](GatewayPolicy &P) -> double & {
       return P.m_Admission.m_MaxWaitFraction;
     }},
    {"--longest-away-part",
     "part of the remaining time after which a retry is asked for", 0, 1,
     [](GatewayPolicy &P) -> double & {
       return P.m_Admission.m_MaxRetryAfterFraction;
     }},
    {"--load-known-within-ms", "time within which the begin of a load is known",
     0, 60000,
     [](GatewayPolicy &P) -> double & {
       return P.m_Admission.m_LoadVisibleWithinMs;
     }},
    {"--pace-gap-part", "part of the longest pause that prompt work may fill",
     0, 1000,
     [](GatewayPolicy &P) -> double & { return P.m_Pacing.m_MaxGapFraction; }},
    {"--pace-wait-part", "part of the target that a request may wait for that",
     0, 1,
     [](GatewayPolicy &P) -> double & { return P.m_Pacing.m_MaxWaitFraction; }},
    {"--own-part", "part of the target that a request's own work may take", 0,
     1,
     [](GatewayPolicy &P) -> double & {
       return P.m_Admission.m_MaxOwnWorkFraction;
     }},
    {"--expected-spread",
     "factor by which first tokens come later than estimated", 0.1, 100,
     [](GatewayPolicy &P) -> double & {
       return P.m_Admission.m_EstimateErrorFactor;
     }},
    {"--spare-part", "part of its usual demand that a spare replica is worth",
     0, 10,
     [](GatewayPolicy &P) -> double & { return P.m_Planner.m_SparePart; }},
    {"--awaited-worth", "worth of a model that callers wait for", 0, 100,
     [](GatewayPolicy &P) -> double & { return P.m_Planner.m_AwaitedWorth; }},
    {"--replica-stays-ms", "shortest time that a wanted replica stays", 0,
     600000,
     [](GatewayPolicy &P) -> double & { return P.m_MinReplicaLifetimeMs; }},
    {"--free-adapter-rate", "requests a second that a free place is worth", 0,
     1000,
     [](GatewayPolicy &P) -> double & { return P.m_Adapters.m_RateWhenFree; }},
}};

std::string shortNumber(double Value) {
  std::ostringstream Text;
  Text << Value;
  return Text.str();
}

double readNumber(const PolicySetting &Of, const std::string &Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Value);
  const bool Good = Read.ec == std::errc() && Read.ptr == End &&
                    Value >= Of.m_Min && Value <= Of.m_Max;
  if (!Good)
    throw SettingError(Of.m_Flag, Text,
                       "a number from " + shortNumber(Of.m_Min) + " to " +
                           shortNumber(Of.m_Max));
  return Value;
}

} // namespace

std::map<std::string, double> policyDefaults() {
  GatewayPolicy Default;
  std::map<std::string, double> Result;
  for (const PolicySetting &Each : Table)
    Result[Each.m_Flag] = Each.m_Member(Default);
  return Result;
}

std::string policyUsage() {
  GatewayPolicy Default;
  std::string Text;
  for (const PolicySetting &Each : Table) {
    std::string Line = std::string("  ") + Each.m_Flag + " NUMBER";
    Line.resize(std::max<std::size_t>(Line.size() + 2, 30), ' ');
    Text += Line + Each.m_Meaning + " (" + shortNumber(Each.m_Min) + " to " +
            shortNumber(Each.m_Max) + ") [" +
            shortNumber(Each.m_Member(Default)) + "].\n";
  }
  return Text;
}

GatewayPolicy readPolicy(const SettingLookup &Find) {
  GatewayPolicy Result;
  for (const PolicySetting &Each : Table)
    if (const auto Text = Find(Each.m_Flag))
      Each.m_Member(Result) = readNumber(Each, *Text);
  return Result;
}

} // namespace havenstair
