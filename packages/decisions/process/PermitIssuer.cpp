#include "decisions/process/PermitIssuer.h"

#include "decisions/common/StableHash.h"
#include <algorithm>
#include <cmath>

namespace havenstair {

namespace {

/// Longest retry time that a caller is given; callers give up before.
constexpr Duration MaxRetryAfter = 30s;

/// Boxes that may issue permits for one upstream at the same time.
constexpr double ConcurrentIssuers = 2;

/// Permits under a limit that may be used in a burst: those of this time, but
/// always `MinBurst`.
constexpr Duration BurstPeriod = 200ms;
constexpr double MinBurst = 2;

/// Time between comparisons of requests in flight with reported loads.
constexpr Duration ReconcilingInterval = 900ms;

} // namespace

double busyFraction(double LimitPerSecond, double WorkMs) {
  constexpr double MinFraction = 0.01;
  return std::clamp(LimitPerSecond * WorkMs / 1000, MinFraction, 1.0);
}

std::optional<BoxName> issuerOf(const InstanceId &Upstream,
                                const std::set<BoxName> &Relays,
                                const std::set<BoxName> &Reached,
                                Quorum Needed) {
  std::vector<BoxName> Candidates;
  std::set_intersection(Relays.begin(), Relays.end(), Reached.begin(),
                        Reached.end(), std::back_inserter(Candidates));
  const std::size_t Twice = 2 * Candidates.size();
  const bool Enough = Needed == Quorum::Majority ? Twice > Relays.size()
                                                 : Twice >= Relays.size();
  if (!Enough)
    return std::nullopt;
  return rendezvousPick(Candidates, Upstream);
}

PermitIssuer::IssueRecord
PermitIssuer::newRecord(const IssuerAssignment &Upstream, TimePoint Now) {
  const bool OnlyIssuer =
      Upstream.m_BoundSince && Now - *Upstream.m_BoundSince <= NewLimitAge;
  return {.m_First = Upstream.m_First,
          .m_IssuesFrom = OnlyIssuer ? Now : Now + Window,
          .m_FullRateFrom = OnlyIssuer ? Now : Now + ListConvergence,
          .m_Issued = {},
          .m_NextRetryAt = {},
          .m_Room = std::nullopt,
          .m_RoomFrom = OnlyIssuer ? Now : Now + LoadReportTime,
          .m_ReconciledAt = {}};
}

void PermitIssuer::updateRoom(const IssuerAssignment &Upstream,
                              IssueRecord &Record, TimePoint Now) {
  if (!Upstream.m_Room) {
    Record.m_Room.reset();
    return;
  }
  if (!Record.m_Room) {
    Record.m_Room.emplace(*Upstream.m_Room, Upstream.m_Running);
    Record.m_ReconciledAt = Now;
    return;
  }
  Record.m_Room->setBound(*Upstream.m_Room);
  if (Now - Record.m_ReconciledAt < ReconcilingInterval)
    return;
  Record.m_Room->reconcile(Upstream.m_Running);
  Record.m_ReconciledAt = Now;
}

void PermitIssuer::recordEnd(const InstanceId &Upstream, bool Refused,
                             TimePoint Now) {
  const auto Found = m_Records.find(Upstream);
  if (Found != m_Records.end() && Found->second.m_Room)
    Found->second.m_Room->recordEnd(Refused, Now);
}

void PermitIssuer::setUpstreams(
    const std::map<InstanceId, IssuerAssignment> &Upstreams, TimePoint Now) {
  std::erase_if(m_Records, [&](const auto &Each) {
    return !Upstreams.contains(Each.first);
  });
  for (const auto &[Id, Each] : Upstreams) {
    IssueRecord &Record =
        m_Records.try_emplace(Id, newRecord(Each, Now)).first->second;
    if (Each.m_First && !Record.m_First)
      Record.m_FullRateFrom = Now + ListConvergence;
    Record.m_First = Each.m_First;
    updateRoom(Each, Record, Now);
  }
}

std::size_t PermitIssuer::perWindow(const WarmUpSpec &Spec) const {
  const double Half = std::floor(m_Tolerance.maxRate(Spec) / ConcurrentIssuers);
  const double Rate = std::ceil(Spec.m_RequestsPerSecond * inSeconds(Window));
  return static_cast<std::size_t>(std::max(1.0, std::min(Half, Rate)));
}

PermitWindow PermitIssuer::limitWindow(double LimitPerSecond, double Fraction) {
  const double Rate = Fraction * std::max(MinRatePerSecond, LimitPerSecond);
  const double Burst =
      std::max(MinBurst, std::floor(Rate * inSeconds(BurstPeriod)));
  return {.m_Most = static_cast<std::size_t>(Burst),
          .m_Length = fromSeconds(Burst / Rate)};
}

/// Returns the window of the lower of two bounds, which leaves room for the
/// burst that the other one allows.
PermitWindow PermitIssuer::window(const SendBound &Bound,
                                  const IssueRecord &Record,
                                  TimePoint Now) const {
  PermitWindow Cold{.m_Most = 1, .m_Length = Window};
  if (Bound.m_Cold)
    Cold.m_Most = perWindow(*Bound.m_Cold);
  if (!Bound.m_LimitPerSecond)
    return Cold;
  const bool FullRate = Record.m_First && Now >= Record.m_FullRateFrom;
  const PermitWindow Limit =
      limitWindow(*Bound.m_LimitPerSecond, FullRate ? 1 : StandbyFraction);
  return Bound.m_Cold && Cold.rate() < Limit.rate() ? Cold : Limit;
}

PermitVerdict PermitIssuer::ask(const InstanceId &Upstream,
                                const SendBound &Bound, Duration Patience,
                                TimePoint Now) {
  const auto Found = m_Records.find(Upstream);
  if (Found == m_Records.end())
    return {.m_Granted = false, .m_After = Window};
  IssueRecord &Record = Found->second;
  if (Record.m_Room && !Record.m_Room->hasRoom(Now))
    return {.m_Granted = false,
            .m_After = Record.m_Room->nextRetryAt(Now) - Now};
  if (Record.m_Room && !Bound.m_Cold && !Bound.m_LimitPerSecond) {
    if (Now < Record.m_RoomFrom)
      return {.m_Granted = false, .m_After = Record.m_RoomFrom - Now};
    Record.m_Room->recordSend(Now);
    return {.m_Granted = true, .m_After = 0us};
  }
  const PermitWindow Allowed = window(Bound, Record, Now);
  // Permits that a lower bound may have to count later are kept.
  while (Record.m_Issued.size() > Allowed.m_Most &&
         Record.m_Issued.front() + Allowed.m_Length <= Now)
    Record.m_Issued.pop_front();
  TimePoint SendAt = std::max(Now, Record.m_IssuesFrom);
  if (!Record.m_Issued.empty())
    SendAt = std::max(SendAt, Record.m_Issued.back());
  if (Record.m_Issued.size() >= Allowed.m_Most)
    SendAt = std::max(SendAt,
                      Record.m_Issued[Record.m_Issued.size() - Allowed.m_Most] +
                          Allowed.m_Length);
  if (SendAt - Now <= Patience) {
    Record.m_Issued.push_back(SendAt);
    if (Record.m_Room)
      Record.m_Room->recordSend(SendAt);
    return {.m_Granted = true, .m_After = SendAt - Now};
  }
  const Duration Interval =
      Allowed.m_Length / static_cast<Duration::rep>(Allowed.m_Most);
  Record.m_NextRetryAt =
      std::min(std::max(Record.m_NextRetryAt, SendAt) + Interval,
               std::max(SendAt, Now + MaxRetryAfter));
  return {.m_Granted = false, .m_After = Record.m_NextRetryAt - Now};
}

} // namespace havenstair
