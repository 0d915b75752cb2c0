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

/// Relays also change with the box that gives orders, of which no list tells.
constexpr Duration RefreshEvery = 1s;

/// A lost answer, or no box that could give a permit: links and lists are
/// found to be lost, or come back, in about this time.
constexpr Duration AskAgainAfter = 250ms;

/// News of a shorter rest of a warm-up are not told: a word takes two hops,
/// each behind a turn of a busy loop.
constexpr Duration LeastNews = 250ms;

} // namespace

PermitExchange::PermitExchange(EventLoop &Loop, Fleet &Boxes, Views Known,
                               DecisionLog &Log,
                               const WarmUpTolerance &Tolerance,
                               Hooks Callbacks)
    : m_Loop(Loop), m_Fleet(Boxes), m_View(Known.m_WarmUp),
      m_Words(Known.m_Words), m_Bounds(Known.m_Bounds), m_Log(Log),
      m_Hooks(std::move(Callbacks)), m_Permits(Tolerance) {
  m_TickTimer = Loop.every(RefreshEvery, [this] { refreshRole(); });
}

std::optional<BoxName>
PermitExchange::admitter(const InstanceId &Server) const {
  std::set<BoxName> Reached = m_Fleet.linked();
  Reached.insert(m_Fleet.self());
  return admitterOf(
      Server, m_Fleet.topology().relaysOf(m_View.dataCentre(Server)), Reached,
      m_Bounds.limited(Server) ? Quorum::Half : Quorum::Majority);
}

/// Whether this box admits for \p Server while all listed relays are linked.
bool PermitExchange::firstAdmitter(const InstanceId &Server) const {
  const std::set<BoxName> &Relays =
      m_Fleet.topology().relaysOf(m_View.dataCentre(Server));
  return admitterOf(Server, Relays, Relays) == m_Fleet.self();
}

void PermitExchange::listed(const InstanceList &List) {
  m_View.update(List, EventLoop::now());
  refreshRole();
}

void PermitExchange::refreshRole() {
  const TimePoint Now = EventLoop::now();
  std::erase_if(m_PassedOn, [&](const auto &Each) {
    return Now - Each.second.m_Since > RefreshEvery;
  });
  m_Permits.setUpstreams(ownServers(), Now);
}

std::map<InstanceId, AdmittedUpstream> PermitExchange::ownServers() const {
  std::map<InstanceId, AdmittedUpstream> Result;
  if (!m_Fleet.topology().relay())
    return Result;
  const auto Add = [&](const InstanceId &Server,
                       std::optional<TimePoint> BoundSince) {
    if (admitter(Server) == m_Fleet.self())
      Result.try_emplace(Server,
                         AdmittedUpstream{.m_First = firstAdmitter(Server),
                                          .m_BoundSince = BoundSince});
  };
  if (m_View.active())
    for (const InstanceId &Each : m_View.limited())
      Add(Each, std::nullopt);
  for (const auto &[Server, Limit] : m_Words.limits())
    Add(Server.m_Id, Limit.m_Since);
  return Result;
}

/// The box to ask: a relay knows the admitter; a leaf is linked to few and asks
/// one of the server's data centre, or its own uplinks in their order.
BoxName PermitExchange::nextBox(const InstanceId &Server) const {
  if (m_Fleet.topology().relay())
    return admitter(Server).value_or(BoxName());
  const std::set<BoxName> &Near =
      m_Fleet.topology().relaysOf(m_View.dataCentre(Server));
  BoxName Other;
  for (const BoxName &Each : m_Fleet.topology().links()) {
    if (!m_Fleet.linked().contains(Each))
      continue;
    if (Near.contains(Each))
      return Each;
    if (Other.empty())
      Other = Each;
  }
  return Other;
}

PermitVerdict PermitExchange::decide(const BoxName &For,
                                     const InstanceId &Server,
                                     Duration Patience) {
  const TimePoint Now = EventLoop::now();
  std::optional<SendBound> Bound = m_Bounds.of(Server, Now);
  // Who asks believes that it is cold.
  if (const WarmUpSpec *Spec = m_View.spec(Server); !Bound && Spec != nullptr)
    Bound = SendBound{.m_Cold = *Spec, .m_LimitPerS = std::nullopt};
  if (!Bound) {
    m_Hooks.m_Needless(For, Server);
    return {.m_Granted = false, .m_After = AskAgainAfter};
  }
  return m_Permits.ask(Server, *Bound, Patience, Now);
}

void PermitExchange::ask(const InstanceId &Server, Duration Patience,
                         Done Callback) {
  Asked Of{.m_Server = Server,
           .m_Done = std::move(Callback),
           .m_Since = EventLoop::now(),
           .m_Timer = Timer()};
  const BoxName To = nextBox(Server);
  if (To.empty())
    return finish(Of, std::nullopt);
  if (To == m_Fleet.self())
    return finish(Of, decide(m_Fleet.self(), Server, Patience));
  const std::uint64_t Id = ++m_LastId;
  Of.m_Timer =
      m_Loop.after(PermitIssuer::Validity, [this, Id] { unanswered(Id); });
  m_Asked[Id] = std::move(Of);
  m_Fleet.send(To, PermitAskFrame{
                       .m_Id = Id, .m_Server = Server, .m_Patience = Patience});
}

void PermitExchange::unanswered(std::uint64_t Id) {
  const auto Found = m_Asked.find(Id);
  if (Found == m_Asked.end())
    return;
  const Asked Of = std::move(Found->second);
  m_Asked.erase(Found);
  finish(Of, std::nullopt);
}

/// Tells who asked. A box that was held up finds its permit lapsed.
void PermitExchange::finish(const Asked &Of,
                            const std::optional<PermitVerdict> &Verdict) {
  const TimePoint Now = EventLoop::now();
  const TimePoint Lapses = Of.m_Since + PermitIssuer::Validity;
  const bool Bound = m_Bounds.needsPermit(Of.m_Server, Now);
  const auto Ends = Bound ? m_Bounds.boundEndsAt(Of.m_Server, Now) : Now;
  const bool InTime = Verdict && Now <= Lapses;
  const bool Granted = InTime && Verdict->m_Granted;
  const Duration Away = InTime ? Verdict->m_After : AskAgainAfter;
  PermitAnswer Answer{.m_Permit = std::nullopt,
                      .m_Free =
                          std::min(Ends.value_or(Now + Away), Now + Away)};
  if (Granted)
    Answer.m_Permit = {.m_From = Now + Verdict->m_After,
                       .m_Until = Lapses + Verdict->m_After};
  else
    m_Bounds.recordNextPermit(Of.m_Server, Answer.m_Free, Now);
  const std::string_view What = Granted  ? "granted"
                                : InTime ? "refused"
                                         : "unanswered";
  const AdvertisedLimit *Limit = m_Words.limit(Of.m_Server);
  m_Hooks.m_Asked(m_View.dataCentre(Of.m_Server), Limit != nullptr, What);
  m_Log.write(
      "permit",
      {{"upstream", Of.m_Server},
       {"answer", What},
       {"after_ms", (Granted ? Verdict->m_After : Away) / 1ms},
       {"asked_ms", (Now - Of.m_Since) / 1ms},
       {"warm_in_ms", Ends ? Json((*Ends - Now) / 1ms) : Json()},
       {"limit_per_s",
        Limit != nullptr ? Json(Limit->m_RatePerSecond) : Json()},
       {"limit_by", Limit != nullptr ? Limit->m_ReportedBy.str() : ""},
       {"limit_age_ms",
        Limit != nullptr ? Json((Now - Limit->m_ReceivedAt) / 1ms) : Json()}});
  Of.m_Done(Answer);
}

void PermitExchange::heard(const InstanceId &Server, Duration ColdFor,
                           TimePoint AskedAt) {
  if (!m_View.recordColdTime(Server, ColdFor, AskedAt, EventLoop::now()))
    return;
  // By the time that others hear of it, it is over.
  if (ColdFor < LeastNews)
    return;
  m_Log.write("turned_cold",
              {{"upstream", Server}, {"cold_ms", ColdFor / 1ms}});
  m_Fleet.sendAll(WarmUpNewsFrame{.m_Life = m_View.incarnation(Server),
                                  .m_ColdFor = ColdFor});
}

void PermitExchange::onFrame(const BoxName &From, const PeerFrame &Frame) {
  std::visit(
      [&](const auto &Each) {
        if constexpr (requires { take(From, Each); })
          take(From, Each);
      },
      Frame);
}

void PermitExchange::take(const BoxName &From, const PermitAskFrame &Frame) {
  const auto Admitter = admitter(Frame.m_Server);
  const bool PassOn = Admitter && *Admitter != m_Fleet.self() &&
                      !m_Fleet.topology().isRelay(From);
  if (!PassOn) {
    m_Fleet.send(From,
                 PermitAnswerFrame{.m_Id = Frame.m_Id,
                                   .m_Verdict = decide(From, Frame.m_Server,
                                                       Frame.m_Patience)});
    return;
  }
  const std::uint64_t Id = ++m_LastId;
  m_PassedOn[Id] = {
      .m_From = From, .m_Id = Frame.m_Id, .m_Since = EventLoop::now()};
  m_Fleet.send(*Admitter, PermitAskFrame{.m_Id = Id,
                                         .m_Server = Frame.m_Server,
                                         .m_Patience = Frame.m_Patience});
}

void PermitExchange::take(const BoxName &, const PermitAnswerFrame &Frame) {
  if (const auto Passed = m_PassedOn.find(Frame.m_Id);
      Passed != m_PassedOn.end()) {
    const PassedOn To = Passed->second;
    m_PassedOn.erase(Passed);
    m_Fleet.send(To.m_From, PermitAnswerFrame{.m_Id = To.m_Id,
                                              .m_Verdict = Frame.m_Verdict});
    return;
  }
  const auto Found = m_Asked.find(Frame.m_Id);
  // It was given up; what was granted lapses.
  if (Found == m_Asked.end())
    return;
  const Asked Of = std::move(Found->second);
  m_Asked.erase(Found);
  finish(Of, Frame.m_Verdict);
}

void PermitExchange::take(const BoxName &From, const WarmUpNewsFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  const InstanceId &Server = Frame.m_Life.m_Id;
  // Of a life that is not the newest here, it says nothing.
  if (m_View.incarnation(Server) != Frame.m_Life || m_View.cold(Server, Now))
    return;
  if (m_View.recordColdTime(Server, Frame.m_ColdFor, Now, Now))
    m_Fleet.passOn(Frame, From);
}

} // namespace havenstair
