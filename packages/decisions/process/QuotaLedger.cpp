#include "decisions/process/QuotaLedger.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// A bucket filled to at least this fraction is far from empty: half a second
/// of the rate is left for use that peers have not reported yet.
constexpr double AmpleFraction = 0.5;

/// Longest retry time that a caller is given; callers give up before.
constexpr Duration MaxRetryAfter = 30s;

/// When to ask again if only the reports of other boxes are missing: these
/// report nearly empty buckets this often.
constexpr Duration ReportInterval = 40ms;

/// Added to the time until enough is earned, as an empty bucket grants nothing.
constexpr Duration MinWait = 1ms;

/// A peer that has been silent for longer has started again as another
/// process.
constexpr Duration PeerRetention = 600s;

} // namespace

double QuotaLedger::slack(const TokenBucket &Bucket) const {
  return m_Opts.m_Tolerance.slack(Bucket.m_Quota) * m_Share;
}

double QuotaLedger::fleetCap(const TokenBucket &Bucket) const {
  return Bucket.m_Quota.m_Burst +
         m_Opts.m_CapFraction * m_Opts.m_Tolerance.slack(Bucket.m_Quota);
}

void QuotaLedger::fill(TokenBucket &Bucket, TimePoint Now) const {
  const Duration Passed = std::max<Duration>(0us, Now - Bucket.m_FilledAt);
  Bucket.m_FilledAt = std::max(Bucket.m_FilledAt, Now);
  const double Earned =
      Bucket.m_Quota.m_RatePerSecond * m_Share * inSeconds(Passed);
  Bucket.m_Level = std::min(cap(Bucket), Bucket.m_Level + Earned);
}

QuotaLedger::TokenBucket *QuotaLedger::filled(const std::string &Organisation,
                                              TimePoint Now) {
  const auto Found = m_Buckets.find(Organisation);
  if (Found == m_Buckets.end())
    return nullptr;
  fill(Found->second, Now);
  return &Found->second;
}

bool QuotaLedger::ample(const TokenBucket &Bucket) const {
  return Bucket.m_Level > 0 && Bucket.m_Level >= AmpleFraction * cap(Bucket);
}

void QuotaLedger::configure(const std::vector<Organisation> &All,
                            TimePoint Now) {
  std::map<std::string, TokenBucket> Previous = std::move(m_Buckets);
  m_Buckets.clear();
  for (const Organisation &Each : All) {
    if (!Each.m_Quota.limited())
      continue;
    TokenBucket &Bucket = m_Buckets[Each.m_Name];
    if (const auto Before = Previous.find(Each.m_Name);
        Before != Previous.end()) {
      Bucket = Before->second;
      fill(Bucket, Now);
      Bucket.m_Quota = Each.m_Quota;
      continue;
    }
    Bucket.m_Quota = Each.m_Quota;
    Bucket.m_FilledAt = Now;
    Bucket.m_Level =
        settled(Now) ? cap(Bucket) : m_Opts.m_StartFraction * slack(Bucket);
  }
}

void QuotaLedger::restart(TimePoint Now) {
  m_StartedAt = Now;
  m_Peers.clear();
  refreshShare(Now);
  for (auto &[Name, Bucket] : m_Buckets) {
    Bucket.m_Level = m_Opts.m_StartFraction * slack(Bucket);
    Bucket.m_FilledAt = Now;
    Bucket.m_LevelLearned = false;
  }
}

void QuotaLedger::setBoxes(std::size_t Own, std::size_t All, TimePoint Now) {
  if (m_StartedAt == TimePoint{})
    m_StartedAt = Now;
  m_OwnBoxes = Own;
  m_AllBoxes = std::max<std::size_t>(1, All);
  refreshShare(Now);
}

void QuotaLedger::refreshShare(TimePoint Now) {
  std::size_t ActiveBoxes = m_OwnBoxes;
  for (const auto &[Box, Each] : m_Peers)
    ActiveBoxes += Each.m_Silent ? 0 : Each.m_Boxes;
  const double Share = std::min(1.0, static_cast<double>(ActiveBoxes) /
                                         static_cast<double>(m_AllBoxes));
  if (Share == m_Share)
    return;
  for (auto &[Name, Bucket] : m_Buckets)
    fill(Bucket, Now);
  // The boxes that no longer report keep their share of the level.
  if (Share < m_Share)
    for (auto &[Name, Bucket] : m_Buckets)
      Bucket.m_Level *= Bucket.m_Level > 0 ? Share / m_Share : 1;
  const double Gained = Share - m_Share;
  m_Share = Share;
  // Each box adds its share of the initial level, once after its start.
  if (Gained > 0 && !settled(Now))
    for (auto &[Name, Bucket] : m_Buckets)
      Bucket.m_Level += m_Opts.m_StartFraction * slack(Bucket) * Gained / Share;
}

void QuotaLedger::tick(TimePoint Now) {
  for (auto &[Box, Each] : m_Peers)
    Each.m_Silent = Now - Each.m_ReportedAt > m_Opts.m_SilenceTimeout;
  std::erase_if(m_Peers, [&](const auto &Each) {
    return Now - Each.second.m_ReportedAt > PeerRetention;
  });
  refreshShare(Now);
  beginRound(Now);
}

double QuotaLedger::ownShare() const {
  return static_cast<double>(m_OwnBoxes) / static_cast<double>(m_AllBoxes);
}

double QuotaLedger::roundLimit(const TokenBucket &Bucket) const {
  return std::max(m_Opts.m_RoundOwnFraction * ownShare() * fleetCap(Bucket),
                  m_Opts.m_RoundSlackFraction *
                      m_Opts.m_Tolerance.slack(Bucket.m_Quota));
}

/// Resets the use in the round once every peer has reported since its start.
void QuotaLedger::beginRound(TimePoint Now) {
  const bool AllReported =
      std::all_of(m_Peers.begin(), m_Peers.end(), [&](const auto &Each) {
        return Each.second.m_Silent ||
               Each.second.m_ReportedAt > m_RoundStartedAt;
      });
  if (!AllReported)
    return;
  m_RoundStartedAt = Now;
  for (auto &[Name, Bucket] : m_Buckets)
    Bucket.m_UsedInRound = 0;
}

void QuotaLedger::charge(TokenBucket &Bucket, double Units) const {
  Bucket.m_Level -= Units;
  Bucket.m_Used += Units;
  Bucket.m_UsedInRound += Units;
  Bucket.m_Granted += Units;
}

QuotaVerdict QuotaLedger::trySpend(const std::string &Organisation,
                                   const QuotaRequest &Request, TimePoint Now) {
  TokenBucket *Bucket = filled(Organisation, Now);
  if (Bucket == nullptr)
    return {.m_Step = QuotaStep::Grant, .m_Ample = true};
  const QuotaVerdict Verdict = decide(*Bucket, Request, Now);
  if (Verdict.m_Step == QuotaStep::Refuse)
    Bucket->m_Refused += Request.m_Units;
  return Verdict;
}

QuotaVerdict QuotaLedger::decide(TokenBucket &Bucket,
                                 const QuotaRequest &Request, TimePoint Now) {
  const double MaxDebt = m_Opts.m_DebtFraction * slack(Bucket);
  // A large request needs no fuller bucket than a small one, as otherwise only
  // small ones would get through when the quota is used up.
  const bool Available =
      Bucket.m_Level > 0 && Bucket.m_Level - Request.m_Units >= -MaxDebt;
  const bool RoundFull =
      !m_Peers.empty() && Bucket.m_UsedInRound >= roundLimit(Bucket);
  // While the bucket is far from empty, no request has to queue.
  const bool QueuedBehind =
      !Request.m_Waited && Bucket.m_ReservedUntil > Now && !ample(Bucket);
  if (Available && !RoundFull && !QueuedBehind) {
    charge(Bucket, Request.m_Units);
    return {.m_Step = QuotaStep::Grant, .m_Ample = ample(Bucket)};
  }
  // Only the reports of peers are missing.
  if (Available && !QueuedBehind && Request.m_Patience > ReportInterval)
    return {.m_Step = QuotaStep::Wait, .m_After = ReportInterval};
  return waitOrRefuse(Bucket, Request, Now);
}

/// Tells when the units will be available. Several boxes spend from one bucket,
/// so retry times advance at this box's own share of the rate. Peers may have
/// spent reserved units by then, so a waiting request asks again.
QuotaVerdict QuotaLedger::waitOrRefuse(TokenBucket &Bucket,
                                       const QuotaRequest &Request,
                                       TimePoint Now) const {
  const double Rate = Bucket.m_Quota.m_RatePerSecond * m_Share;
  const double OwnRate = Bucket.m_Quota.m_RatePerSecond * ownShare();
  if (Rate <= 0 || OwnRate <= 0)
    return {.m_After = m_Opts.m_SilenceTimeout};
  const double MaxDebt = m_Opts.m_DebtFraction * slack(Bucket);
  const double Missing = std::max(
      {0.0, -Bucket.m_Level, Request.m_Units - Bucket.m_Level - MaxDebt});
  const TimePoint AvailableAt = Now + fromSeconds(Missing / Rate) + MinWait;
  const Duration OwnUse = fromSeconds(Request.m_Units / OwnRate);
  const TimePoint Turn = Request.m_Waited
                             ? AvailableAt
                             : std::max(AvailableAt, Bucket.m_ReservedUntil);
  if (Turn - Now <= Request.m_Patience) {
    Bucket.m_ReservedUntil = std::max(
        Bucket.m_ReservedUntil, Turn + fromSeconds(Request.m_Units / Rate));
    return {.m_Step = QuotaStep::Wait, .m_After = Turn - Now};
  }
  const TimePoint RetryAt =
      std::min(std::max(Turn, Bucket.m_NextRetryAt), Now + MaxRetryAfter);
  Bucket.m_NextRetryAt = RetryAt + OwnUse;
  return {.m_After = RetryAt - Now};
}

QuotaVerdict QuotaLedger::spend(const std::string &Organisation, double Units,
                                TimePoint Now) {
  TokenBucket *Bucket = filled(Organisation, Now);
  if (Bucket == nullptr)
    return {.m_Step = QuotaStep::Grant, .m_Ample = true};
  charge(*Bucket, Units);
  return {.m_Step = QuotaStep::Grant, .m_Ample = ample(*Bucket)};
}

void QuotaLedger::refund(const std::string &Organisation, double Units,
                         TimePoint Now) {
  if (TokenBucket *Bucket = filled(Organisation, Now))
    charge(*Bucket, -Units);
}

void QuotaLedger::receive(const BoxName &From, std::size_t Boxes, bool Settled,
                          const QuotaReports &Reports, TimePoint Now) {
  PeerUsage &Peer = m_Peers[From];
  const bool First = Peer.m_ReportedAt == TimePoint{};
  // What the peer used while it was silent came out of its own share first.
  double OwnShareSeconds = 0;
  if (!First && Now - Peer.m_ReportedAt > m_Opts.m_SilenceTimeout)
    OwnShareSeconds = inSeconds(Now - Peer.m_ReportedAt) *
                      static_cast<double>(Peer.m_Boxes) /
                      static_cast<double>(m_AllBoxes);
  Peer.m_Boxes = Boxes;
  Peer.m_ReportedAt = Now;
  Peer.m_Silent = false;
  refreshShare(Now);
  for (const auto &[Organisation, Report] : Reports)
    mergeReport(Peer, Organisation, Report, Settled, OwnShareSeconds, Now);
}

void QuotaLedger::mergeReport(PeerUsage &From, const std::string &Organisation,
                              const QuotaReport &Report, bool Settled,
                              double OwnShareSeconds, TimePoint Now) {
  const auto [Reported, First] =
      From.m_Used.try_emplace(Organisation, Report.m_Used - Report.m_Recent);
  const double Used = Report.m_Used - Reported->second;
  Reported->second = Report.m_Used;
  TokenBucket *Bucket = filled(Organisation, Now);
  if (Bucket == nullptr)
    return;
  if (First && Settled && !settled(Now)) {
    if (!std::exchange(Bucket->m_LevelLearned, true))
      Bucket->m_Level = std::min(cap(*Bucket), Report.m_Level);
    return;
  }
  const double OwnEarned = OwnShareSeconds * Bucket->m_Quota.m_RatePerSecond;
  Bucket->m_Level -= Used > 0 ? std::max(0.0, Used - OwnEarned) : Used;
}

QuotaReports QuotaLedger::takeReports(bool All, TimePoint Now) {
  QuotaReports Reports;
  for (auto &[Name, Bucket] : m_Buckets) {
    if (Bucket.m_Used == Bucket.m_UsedReported)
      continue;
    fill(Bucket, Now);
    if (!All && ample(Bucket))
      continue;
    Reports[Name] = {.m_Used = Bucket.m_Used,
                     .m_Recent = Bucket.m_Used - Bucket.m_UsedReported,
                     .m_Level = Bucket.m_Level};
    Bucket.m_UsedReported = Bucket.m_Used;
  }
  return Reports;
}

QuotaAccounts QuotaLedger::takeAccounts(TimePoint Now) {
  QuotaAccounts Result;
  for (auto &[Name, Bucket] : m_Buckets) {
    fill(Bucket, Now);
    const double Granted = std::exchange(Bucket.m_Granted, 0);
    const double Refused = std::exchange(Bucket.m_Refused, 0);
    if (Refused > 0 || (Granted > 0 && !ample(Bucket)))
      Result[Name] = {.m_Granted = Granted,
                      .m_Refused = Refused,
                      .m_Level = Bucket.m_Level,
                      .m_RatePerSecond = Bucket.m_Quota.m_RatePerSecond};
  }
  return Result;
}

double QuotaLedger::level(const std::string &Organisation, TimePoint Now) {
  const TokenBucket *Bucket = filled(Organisation, Now);
  return Bucket == nullptr ? 0 : Bucket->m_Level;
}

} // namespace havenstair
