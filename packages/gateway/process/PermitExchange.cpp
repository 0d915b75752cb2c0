#include "gateway/process/PermitExchange.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/Fleet.h"
#include <algorithm>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace havenstair {

namespace {

/// Roles are also refreshed periodically: relays depend on which box is the
/// order leader, and no list announces that.
constexpr Duration RefreshInterval = 1s;

/// Time to wait after a lost answer, or when no box could grant a permit: lost
/// links and lists are detected, or come back, in about this time.
constexpr Duration RetryDelay = 250ms;

/// A shorter remaining warm-up is not announced: a frame takes two hops, each
/// behind a turn of a busy event loop.
constexpr Duration MinAnnouncedCold = 250ms;

} // namespace

PermitExchange::PermitExchange(EventLoop &Loop, Fleet &Boxes, Views Sources,
                               DecisionLog &Log,
                               const WarmUpTolerance &Tolerance,
                               Hooks Callbacks)
    : m_Loop(Loop), m_Fleet(Boxes), m_WarmUp(Sources.m_WarmUp),
      m_Signals(Sources.m_Signals), m_Bounds(Sources.m_Bounds),
      m_Upstreams(Sources.m_Upstreams), m_Loads(Sources.m_Loads), m_Log(Log),
      m_Hooks(std::move(Callbacks)), m_Permits(Tolerance) {
  m_TickTimer = Loop.every(RefreshInterval, [this] { refreshRole(); });
}

std::optional<BoxName>
PermitExchange::issuer(const InstanceId &Upstream) const {
  std::set<BoxName> ReachableBoxes = m_Fleet.linked();
  ReachableBoxes.insert(m_Fleet.self());
  // A standby issues a part of a rate limit only; room has no such part.
  const bool HasStandby =
      m_Bounds.limited(Upstream) && !m_Bounds.refusalLimited(Upstream);
  return issuerOf(Upstream,
                  m_Fleet.topology().relaysOf(m_WarmUp.dataCentre(Upstream)),
                  ReachableBoxes, HasStandby ? Quorum::Half : Quorum::Majority);
}

/// \returns whether this box is the issuer for \p Upstream while all listed
/// relays are linked.
bool PermitExchange::isPrimaryIssuer(const InstanceId &Upstream) const {
  const std::set<BoxName> &Relays =
      m_Fleet.topology().relaysOf(m_WarmUp.dataCentre(Upstream));
  return issuerOf(Upstream, Relays, Relays) == m_Fleet.self();
}

void PermitExchange::onListChanged(const InstanceList &List) {
  m_WarmUp.update(List, EventLoop::now());
  refreshRole();
}

void PermitExchange::refreshRole() {
  const TimePoint Now = EventLoop::now();
  std::erase_if(m_ForwardedQueries, [&](const auto &Entry) {
    return Now - Entry.second.m_Since > RefreshInterval;
  });
  m_Permits.setUpstreams(ownUpstreams(), Now);
}

std::map<InstanceId, IssuerAssignment> PermitExchange::ownUpstreams() const {
  std::map<InstanceId, IssuerAssignment> Result;
  if (!m_Fleet.topology().relay())
    return Result;
  const auto Add = [&](const InstanceId &Upstream,
                       std::optional<TimePoint> BoundSince) {
    if (issuer(Upstream) == m_Fleet.self())
      Result.try_emplace(Upstream,
                         IssuerAssignment{.m_First = isPrimaryIssuer(Upstream),
                                          .m_BoundSince = BoundSince});
  };
  for (const auto &[Upstream, Limit] : m_Signals.refusalLimits())
    if (issuer(Upstream.m_Id) == m_Fleet.self())
      Result[Upstream.m_Id] = assignment(Upstream, Limit);
  if (m_WarmUp.active())
    for (const InstanceId &Upstream : m_WarmUp.limited())
      Add(Upstream, std::nullopt);
  for (const auto &[Upstream, Limit] : m_Signals.limits())
    Add(Upstream.m_Id, Limit.m_Since);
  return Result;
}

IssuerAssignment
PermitExchange::assignment(const UpstreamIncarnation &Upstream,
                           const AdvertisedLimit &RefusalLimit) const {
  const InstanceId &Id = Upstream.m_Id;
  const UpstreamInstance *Entry = m_Upstreams.find(Id);
  const AdvertisedLimit *Limit = m_Signals.limit(Id);
  const TimePoint Since = Limit == nullptr
                              ? RefusalLimit.m_Since
                              : std::min(RefusalLimit.m_Since, Limit->m_Since);
  return {.m_First = isPrimaryIssuer(Id),
          .m_BoundSince = Since,
          .m_Room =
              RoomBound{.m_Slots = Entry == nullptr ? 1 : Entry->m_Slots,
                        .m_RefusalsPerSecond = RefusalLimit.m_RatePerSecond},
          .m_Running = m_Loads.load(Id, EventLoop::now()).m_Running};
}

bool PermitExchange::canIssue(const BoxName &Box,
                              const InstanceId &Upstream) const {
  return Box == m_Fleet.self() || !m_Bounds.refusalLimited(Upstream) ||
         m_Fleet.understands(Box, RefusalLimitProtocol);
}

bool PermitExchange::maySendUnasked(const InstanceId &Upstream,
                                    TimePoint Now) const {
  const UpstreamInstance *Entry = m_Upstreams.find(Upstream);
  return Entry != nullptr && m_Bounds.refusalLimited(Upstream) &&
         !m_Bounds.limited(Upstream) && !m_WarmUp.cold(Upstream, Now) &&
         m_Bounds.maySendUnasked(Upstream,
                                 m_Loads.load(Upstream, Now).m_Running,
                                 Entry->m_Slots, Now);
}

/// \returns the box to ask, or an empty name if there is none. A relay knows
/// the issuer. A leaf is linked to few boxes, and asks one in the data centre
/// of the upstream, or else the first of its uplinks.
BoxName PermitExchange::nextBox(const InstanceId &Upstream) const {
  if (m_Fleet.topology().relay())
    return issuer(Upstream).value_or(BoxName());
  const std::set<BoxName> &LocalRelays =
      m_Fleet.topology().relaysOf(m_WarmUp.dataCentre(Upstream));
  BoxName Fallback;
  for (const BoxName &Box : m_Fleet.topology().links()) {
    if (!m_Fleet.linked().contains(Box))
      continue;
    if (LocalRelays.contains(Box))
      return Box;
    if (Fallback.empty())
      Fallback = Box;
  }
  return Fallback;
}

PermitVerdict PermitExchange::decide(const BoxName &For,
                                     const InstanceId &Upstream,
                                     Duration Patience) {
  const TimePoint Now = EventLoop::now();
  std::optional<SendBound> Bound = m_Bounds.of(Upstream, Now);
  // The box that asks assumes that the upstream is cold.
  if (const WarmUpSpec *Spec = m_WarmUp.spec(Upstream);
      !Bound && Spec != nullptr)
    Bound = SendBound{.m_Cold = *Spec};
  if (!Bound) {
    m_Hooks.m_UnknownBound(For, Upstream);
    return {.m_Granted = false, .m_After = RetryDelay};
  }
  return m_Permits.ask(Upstream, *Bound, Patience, Now);
}

void PermitExchange::ask(const InstanceId &Upstream, Duration Patience,
                         Done Callback) {
  Query Pending{.m_Upstream = Upstream,
                .m_Done = std::move(Callback),
                .m_Since = EventLoop::now(),
                .m_Timer = Timer()};
  const BoxName To = nextBox(Upstream);
  if (To.empty() || !canIssue(To, Upstream))
    return finish(Pending, std::nullopt);
  if (To == m_Fleet.self())
    return finish(Pending, decide(m_Fleet.self(), Upstream, Patience));
  const std::uint64_t Id = ++m_LastId;
  Pending.m_Timer =
      m_Loop.after(PermitIssuer::Validity, [this, Id] { onTimeout(Id); });
  m_Queries[Id] = std::move(Pending);
  m_Fleet.send(
      To,
      PermitAskFrame{.m_Id = Id, .m_Server = Upstream, .m_Patience = Patience});
}

void PermitExchange::onTimeout(std::uint64_t Id) {
  const auto Found = m_Queries.find(Id);
  if (Found == m_Queries.end())
    return;
  const Query Pending = std::move(Found->second);
  m_Queries.erase(Found);
  finish(Pending, std::nullopt);
}

/// Passes the verdict on to the request that asked. If this box was stalled
/// meanwhile, the permit has expired.
void PermitExchange::finish(const Query &Pending,
                            const std::optional<PermitVerdict> &Verdict) {
  const TimePoint Now = EventLoop::now();
  const TimePoint Lapses = Pending.m_Since + PermitIssuer::Validity;
  const bool Bound = m_Bounds.needsPermit(Pending.m_Upstream, Now);
  const auto Ends = Bound ? m_Bounds.boundEndsAt(Pending.m_Upstream, Now) : Now;
  const bool InTime = Verdict && Now <= Lapses;
  const bool Unasked = !Verdict && maySendUnasked(Pending.m_Upstream, Now);
  const bool Granted = (InTime && Verdict->m_Granted) || Unasked;
  const Duration Wait = InTime && Granted ? Verdict->m_After : 0us;
  const Duration RetryAfter = InTime ? Verdict->m_After : RetryDelay;
  PermitAnswer Answer{
      .m_Permit = std::nullopt,
      .m_RetryAt = std::min(Ends.value_or(Now + RetryAfter), Now + RetryAfter)};
  if (Granted)
    Answer.m_Permit = {
        .m_From = Now + Wait,
        .m_Until = (Unasked ? Now + PermitIssuer::Validity : Lapses) + Wait};
  else
    m_Bounds.recordNextPermit(Pending.m_Upstream, Answer.m_RetryAt, Now);
  const std::string_view What = Unasked   ? "unasked"
                                : Granted ? "granted"
                                : InTime  ? "refused"
                                          : "unanswered";
  const AdvertisedLimit *Limit = m_Signals.limit(Pending.m_Upstream);
  m_Hooks.m_PermitDecided(m_WarmUp.dataCentre(Pending.m_Upstream),
                          m_Bounds.kind(Pending.m_Upstream), What);
  m_Log.write(
      "permit",
      {{"upstream", Pending.m_Upstream},
       {"answer", What},
       {"bound", toString(m_Bounds.kind(Pending.m_Upstream))},
       {"after_ms", (Granted ? Wait : RetryAfter) / 1ms},
       {"asked_ms", (Now - Pending.m_Since) / 1ms},
       {"warm_in_ms", Ends ? Json((*Ends - Now) / 1ms) : Json()},
       {"limit_per_s",
        Limit != nullptr ? Json(Limit->m_RatePerSecond) : Json()},
       {"limit_by", Limit != nullptr ? Limit->m_ReportedBy.str() : ""},
       {"limit_age_ms",
        Limit != nullptr ? Json((Now - Limit->m_ReceivedAt) / 1ms) : Json()}});
  Pending.m_Done(Answer);
}

void PermitExchange::reportCold(const InstanceId &Upstream, Duration ColdFor,
                                TimePoint AskedAt) {
  if (!m_WarmUp.recordColdTime(Upstream, ColdFor, AskedAt, EventLoop::now()))
    return;
  // It would be over before the other boxes receive it.
  if (ColdFor < MinAnnouncedCold)
    return;
  m_Log.write("turned_cold",
              {{"upstream", Upstream}, {"cold_ms", ColdFor / 1ms}});
  m_Fleet.sendAll(ColdUpdateFrame{
      .m_Incarnation = m_WarmUp.incarnation(Upstream), .m_ColdFor = ColdFor});
}

void PermitExchange::reportEnd(const InstanceId &Upstream, bool Refused) {
  const TimePoint Now = EventLoop::now();
  if (!m_Bounds.refusalLimited(Upstream))
    return;
  if (Refused)
    m_Bounds.recordNoRoom(Upstream, Now);
  const BoxName To = nextBox(Upstream);
  if (To == m_Fleet.self())
    m_Permits.recordEnd(Upstream, Refused, Now);
  else if (!To.empty())
    m_Fleet.send(To,
                 SendEndedFrame{.m_Server = Upstream, .m_Refused = Refused});
}

void PermitExchange::onFrame(const BoxName &From, const PeerFrame &Frame) {
  std::visit(
      [&](const auto &Content) {
        if constexpr (requires { receive(From, Content); })
          receive(From, Content);
      },
      Frame);
}

void PermitExchange::receive(const BoxName &From, const PermitAskFrame &Frame) {
  const auto Issuer = issuer(Frame.m_Server);
  const bool PassOn =
      Issuer && *Issuer != m_Fleet.self() && !m_Fleet.topology().isRelay(From);
  if (!PassOn) {
    m_Fleet.send(From,
                 PermitAnswerFrame{.m_Id = Frame.m_Id,
                                   .m_Verdict = decide(From, Frame.m_Server,
                                                       Frame.m_Patience)});
    return;
  }
  // An older issuer would refuse; without an answer the leaf decides itself.
  if (!canIssue(*Issuer, Frame.m_Server))
    return;
  const std::uint64_t Id = ++m_LastId;
  m_ForwardedQueries[Id] = {
      .m_From = From, .m_Id = Frame.m_Id, .m_Since = EventLoop::now()};
  m_Fleet.send(*Issuer, PermitAskFrame{.m_Id = Id,
                                       .m_Server = Frame.m_Server,
                                       .m_Patience = Frame.m_Patience});
}

void PermitExchange::receive(const BoxName &, const PermitAnswerFrame &Frame) {
  if (const auto Forwarded = m_ForwardedQueries.find(Frame.m_Id);
      Forwarded != m_ForwardedQueries.end()) {
    const ForwardedQuery To = Forwarded->second;
    m_ForwardedQueries.erase(Forwarded);
    m_Fleet.send(To.m_From, PermitAnswerFrame{.m_Id = To.m_Id,
                                              .m_Verdict = Frame.m_Verdict});
    return;
  }
  const auto Found = m_Queries.find(Frame.m_Id);
  // The query has timed out. A permit that was granted expires unused.
  if (Found == m_Queries.end())
    return;
  const Query Pending = std::move(Found->second);
  m_Queries.erase(Found);
  finish(Pending, Frame.m_Verdict);
}

void PermitExchange::receive(const BoxName &From, const SendEndedFrame &Frame) {
  const auto Issuer = issuer(Frame.m_Server);
  if (!Issuer)
    return;
  if (*Issuer == m_Fleet.self())
    m_Permits.recordEnd(Frame.m_Server, Frame.m_Refused, EventLoop::now());
  else if (!m_Fleet.topology().isRelay(From))
    m_Fleet.send(*Issuer, Frame);
}

void PermitExchange::receive(const BoxName &From,
                             const ColdUpdateFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  const InstanceId &Upstream = Frame.m_Incarnation.m_Id;
  // It concerns another incarnation than the newest that this box knows.
  if (m_WarmUp.incarnation(Upstream) != Frame.m_Incarnation ||
      m_WarmUp.cold(Upstream, Now))
    return;
  if (m_WarmUp.recordColdTime(Upstream, Frame.m_ColdFor, Now, Now))
    m_Fleet.passOn(Frame, From);
}

} // namespace havenstair
