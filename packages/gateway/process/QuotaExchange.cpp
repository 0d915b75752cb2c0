#include "gateway/process/QuotaExchange.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/common/ProcessName.h"
#include "gateway/process/Fleet.h"
#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace havenstair {

namespace {

/// Interval at which relays send the usage of buckets that are nearly empty.
/// When an organisation sends ten times its rate, it uses about 0.4 s of that
/// rate during the interval and the transmission.
constexpr Duration SendInterval = 40ms;
/// Every this many intervals, all usage is sent, which also shows that the box
/// is up.
constexpr int TicksPerFullSend = 3;

/// Time to wait for a relay before another one is asked. A relay answers within
/// a few milliseconds.
constexpr Duration AnswerTimeout = 80ms;
/// Time after which a query fails if no relay has answered.
constexpr Duration QueryTimeout = 400ms;

/// How long a relay's statement that a quota is far from used up is valid: as
/// long as a few requests of a busy organisation, whose answers renew it.
constexpr Duration AmpleValidity = 300ms;

/// Time without an answer after which a leaf enforces its own share. Relays
/// stop counting a silent leaf within a second.
constexpr Duration IsolatedAfter = 1500ms;

/// Interval at which a leaf without requests sends an empty query, to check
/// that its relays are up.
constexpr Duration KeepaliveInterval = 500ms;

/// Interval of the log lines on granted and refused units: quota limits are
/// checked over seconds.
constexpr Duration AccountInterval = 1s;

/// \returns \p Request after it has waited for \p Time.
QuotaRequest afterWait(QuotaRequest Request, Duration Time) {
  Request.m_Patience = std::max<Duration>(0us, Request.m_Patience - Time);
  Request.m_Waited = true;
  return Request;
}

} // namespace

QuotaExchange::QuotaExchange(EventLoop &Loop, Fleet &Boxes, DecisionLog &Log,
                             const QuotaTolerance &Tolerance, Hooks Callbacks)
    : m_Loop(Loop), m_Fleet(Boxes), m_Log(Log), m_Hooks(std::move(Callbacks)),
      m_Ledger({.m_Tolerance = Tolerance}), m_AnsweredAt(EventLoop::now()) {
  m_TickTimer = Loop.every(SendInterval, [this] { tick(); });
  m_AccountTimer = Loop.every(AccountInterval, [this] { logAccounts(); });
}

void QuotaExchange::setTolerance(const QuotaTolerance &Tolerance) {
  m_Ledger.setTolerance(Tolerance);
}

void QuotaExchange::configure(const std::vector<Organisation> &All) {
  m_AmpleUntil.clear();
  m_Ledger.configure(All, EventLoop::now());
}

/// \returns the number of boxes that a relay counts for, including itself.
std::size_t QuotaExchange::boxesCountedFor() const {
  return 1 + m_Hooks.m_LeafCount();
}

bool QuotaExchange::keepsLedger() const { return m_Fleet.topology().relay(); }

void QuotaExchange::boxesChanged() {
  const TimePoint Now = EventLoop::now();
  m_BoxesKnown = true;
  std::set<std::string> Machines;
  for (const BoxName &Process : m_Fleet.processes())
    Machines.insert(machineOf(Process));
  m_Census.setListed(std::move(Machines), Now);
  // The levels that a leaf has counted are those of its own share only.
  if (keepsLedger() != m_KeepsLedger) {
    m_KeepsLedger = keepsLedger();
    m_Ledger.restart(Now);
    m_Log.write("quota_role", {{"counts", m_KeepsLedger}});
  }
  setBoxes(Now);
}

bool QuotaExchange::isolated(TimePoint Now) const {
  return m_BoxesKnown && Now - m_AnsweredAt > IsolatedAfter;
}

void QuotaExchange::setBoxes(TimePoint Now) {
  const std::size_t Own =
      m_KeepsLedger ? boxesCountedFor() : (isolated(Now) ? 1 : 0);
  m_Ledger.setBoxes(Own, m_Census.count(Now), Now);
}

void QuotaExchange::tick() {
  const TimePoint Now = EventLoop::now();
  if (m_Ledger.empty())
    return;
  m_Ledger.tick(Now);
  setBoxes(Now);
  ++m_Ticks;
  if (m_KeepsLedger)
    sendUsage(m_Ticks % TicksPerFullSend == 0);
  else if (Now - m_AnsweredAt > KeepaliveInterval &&
           Now - m_LastAskedAt > KeepaliveInterval)
    ask("", {}, {});
}

/// Logs granted and refused units. The sum over the lines of all boxes shows
/// how much of each quota was granted.
void QuotaExchange::logAccounts() {
  for (const auto &[Organisation, Account] :
       m_Ledger.takeAccounts(EventLoop::now()))
    m_Log.write("quota_account", {{"organisation", Organisation},
                                  {"granted", std::lround(Account.m_Granted)},
                                  {"refused", std::lround(Account.m_Refused)},
                                  {"level", std::lround(Account.m_Level)},
                                  {"rate_per_s", Account.m_RatePerSecond},
                                  {"share", m_Ledger.share()},
                                  {"counts", m_KeepsLedger}});
}

void QuotaExchange::sendUsage(bool All) {
  const TimePoint Now = EventLoop::now();
  QuotaUseFrame Frame{.m_Boxes = static_cast<std::uint32_t>(boxesCountedFor()),
                      .m_Settled = m_Ledger.settled(Now),
                      .m_Reports = m_Ledger.takeReports(All, Now)};
  if (!All && Frame.m_Reports.empty())
    return;
  for (const BoxName &Relay : m_Fleet.linkedRelays())
    m_Fleet.send(Relay, Frame);
}

void QuotaExchange::acquire(const std::string &Organisation,
                            const QuotaRequest &Request, Done Callback) {
  const TimePoint Now = EventLoop::now();
  if (m_KeepsLedger || isolated(Now))
    return decide(Organisation, Request, Callback);
  const auto Ample = m_AmpleUntil.find(Organisation);
  if (Ample == m_AmpleUntil.end() || Now >= Ample->second)
    return ask(Organisation, Request, std::move(Callback));
  ask(Organisation, Request, {});
  Callback(QuotaVerdict{.m_Step = QuotaStep::Grant, .m_Ample = true});
}

/// Answers at once, unless the units become available soon enough to wait for
/// them.
void QuotaExchange::decide(const std::string &Organisation,
                           const QuotaRequest &Request,
                           const QuotaService::Done &Callback) {
  const QuotaVerdict Verdict =
      m_Ledger.trySpend(Organisation, Request, EventLoop::now());
  if (Verdict.m_Step != QuotaStep::Wait || !m_MayWait)
    return Callback(Verdict);
  const std::uint64_t Id = ++m_LastWait;
  const QuotaRequest Later = afterWait(Request, Verdict.m_After);
  Timer Wake = m_Loop.after(Verdict.m_After, [=, this] {
    // The timer owns the function that runs now, so it has to outlive it.
    const UnitWait Ended = std::move(m_Waiting.at(Id));
    m_Waiting.erase(Id);
    decide(Organisation, Later, Ended.m_Done);
  });
  m_Waiting[Id] = {.m_Done = Callback, .m_Timer = std::move(Wake)};
}

void QuotaExchange::stopWaiting() {
  m_MayWait = false;
  const TimePoint Now = EventLoop::now();
  std::vector<QuotaService::Done> Waiting;
  for (auto &[Id, Each] : std::exchange(m_Waiting, {}))
    Waiting.push_back(std::move(Each.m_Done));
  for (auto &[Id, Each] : m_Queries)
    if (Each.waitsForUnits(Now))
      Waiting.push_back(std::move(Each.m_Done));
  std::erase_if(m_Queries, [Now](const auto &Each) {
    return Each.second.waitsForUnits(Now);
  });
  for (const QuotaService::Done &Each : Waiting)
    Each(QuotaVerdict{.m_Step = QuotaStep::Wait});
}

void QuotaExchange::refund(const std::string &Organisation, double Units) {
  if (m_KeepsLedger || isolated(EventLoop::now()))
    return m_Ledger.refund(Organisation, Units, EventLoop::now());
  ask(Organisation, {.m_Units = -Units}, {});
}

BoxName QuotaExchange::nextRelay(const std::set<BoxName> &Tried) const {
  const std::set<BoxName> &Linked = m_Fleet.linked();
  const auto IsUsable = [&](const BoxName &Box) {
    return Linked.contains(Box) && m_Fleet.topology().isRelay(Box) &&
           !Tried.contains(Box);
  };
  if (IsUsable(m_Relay))
    return m_Relay;
  const std::vector<BoxName> &Links = m_Fleet.topology().links();
  const auto Found = std::find_if(Links.begin(), Links.end(), IsUsable);
  return Found == Links.end() ? BoxName() : *Found;
}

void QuotaExchange::ask(const std::string &Organisation,
                        const QuotaRequest &Request,
                        QuotaService::Done Callback) {
  const std::uint64_t Id = ++m_LastId;
  m_LastAskedAt = EventLoop::now();
  m_Queries[Id] = {.m_Organisation = Organisation,
                   .m_Request = Request,
                   .m_Done = std::move(Callback),
                   .m_Relays = {},
                   .m_Since = EventLoop::now(),
                   .m_Timer = Timer()};
  sendQuery(Id);
}

void QuotaExchange::sendQuery(std::uint64_t Id) {
  Query &Pending = m_Queries.at(Id);
  const BoxName To = nextRelay(Pending.m_Relays);
  Pending.m_Timer = m_Loop.after(AnswerTimeout, [this, Id] { onTimeout(Id); });
  // All relays have been asked; they may be asked again.
  if (To.empty())
    return Pending.m_Relays.clear();
  Pending.m_Relays.insert(To);
  m_Fleet.send(To, QuotaAskFrame{.m_Id = Id,
                                 .m_Organisation = Pending.m_Organisation,
                                 .m_Request = Pending.m_Request,
                                 .m_Used = !Pending.m_Done});
}

void QuotaExchange::onTimeout(std::uint64_t Id) {
  const auto Found = m_Queries.find(Id);
  if (Found == m_Queries.end())
    return;
  if (EventLoop::now() - Found->second.m_Since < QueryTimeout)
    return sendQuery(Id);
  const Query Pending = std::move(Found->second);
  m_Queries.erase(Found);
  if (Pending.m_Request.m_Units != 0)
    m_Log.write("quota_unanswered", {{"organisation", Pending.m_Organisation},
                                     {"units", Pending.m_Request.m_Units},
                                     {"used", !Pending.m_Done}});
  if (Pending.m_Done)
    Pending.m_Done(std::nullopt);
}

void QuotaExchange::onFrame(const BoxName &From, const PeerFrame &Frame) {
  std::visit(
      [&](const auto &Content) {
        if constexpr (requires { receive(From, Content); })
          receive(From, Content);
      },
      Frame);
}

void QuotaExchange::receive(const BoxName &From, const QuotaAskFrame &Frame) {
  // The leaf asks another relay after a timeout.
  if (!m_KeepsLedger)
    return;
  const TimePoint Now = EventLoop::now();
  const QuotaVerdict Verdict =
      Frame.m_Used
          ? m_Ledger.spend(Frame.m_Organisation, Frame.m_Request.m_Units, Now)
          : m_Ledger.trySpend(Frame.m_Organisation, Frame.m_Request, Now);
  m_Fleet.send(From,
               QuotaAnswerFrame{.m_Id = Frame.m_Id, .m_Verdict = Verdict});
}

void QuotaExchange::receive(const BoxName &From,
                            const QuotaAnswerFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  m_AnsweredAt = Now;
  const auto Found = m_Queries.find(Frame.m_Id);
  // Another relay answered first, or the query timed out. Units that were
  // granted twice are lost to the organisation, so that its use stays below the
  // quota.
  if (Found == m_Queries.end())
    return;
  m_Relay = From;
  if (Frame.m_Verdict.m_Step == QuotaStep::Wait && m_MayWait) {
    Query &Pending = Found->second;
    Pending.m_Request = afterWait(Pending.m_Request, Frame.m_Verdict.m_After);
    Pending.m_Relays.clear();
    Pending.m_Since = Now + Frame.m_Verdict.m_After;
    Pending.m_Timer = m_Loop.after(Frame.m_Verdict.m_After,
                                   [this, Id = Frame.m_Id] { sendQuery(Id); });
    return;
  }
  const Query Pending = std::move(Found->second);
  m_Queries.erase(Found);
  if (Frame.m_Verdict.m_Ample)
    m_AmpleUntil[Pending.m_Organisation] = Now + AmpleValidity;
  else
    m_AmpleUntil.erase(Pending.m_Organisation);
  if (Pending.m_Done)
    Pending.m_Done(Frame.m_Verdict);
}

void QuotaExchange::receive(const BoxName &From, const QuotaUseFrame &Frame) {
  if (m_KeepsLedger)
    m_Ledger.receive(From, Frame.m_Boxes, Frame.m_Settled, Frame.m_Reports,
                     EventLoop::now());
}

} // namespace havenstair
