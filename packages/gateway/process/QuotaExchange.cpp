#include "gateway/process/QuotaExchange.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/Fleet.h"
#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace havenstair {

namespace {

/// News of buckets that are nearly empty are told this often. A tenfold rush of
/// an organisation uses some 0.4 s of its rate in that time and the way.
constexpr Duration TellEvery = 40ms;
/// Every so many of these, all news are told, and that the box is there.
constexpr int TellAllEvery = 3;

/// A relay answers within some ms; then another one is asked.
constexpr Duration AnswerWithin = 80ms;
/// After this long without any answer, nobody can tell.
constexpr Duration GiveUpAfter = 400ms;

/// How long a relay's word counts that a quota is far from used up: a few
/// requests of a busy organisation, whose answers renew it.
constexpr Duration AmpleFor = 300ms;

/// A leaf that no relay answers uses its own part; relays stop counting a
/// silent leaf within a second.
constexpr Duration AloneAfter = 1500ms;

/// A leaf without requests asks for nothing this often, to know that its relays
/// are there.
constexpr Duration AskAnyway = 500ms;

/// Lines of what was let pass and turned away come this often: bounds of quotas
/// are judged over seconds.
constexpr Duration AccountEvery = 1s;

/// Names of processes are those of their machines with a suffix.
std::string machineOf(const BoxName &Process) {
  return Process.str().substr(0, Process.str().rfind('.'));
}

/// \p Request when it has waited for \p Time.
QuotaRequest afterWait(QuotaRequest Request, Duration Time) {
  Request.m_Patience = std::max<Duration>(0us, Request.m_Patience - Time);
  Request.m_Waited = true;
  return Request;
}

} // namespace

QuotaExchange::QuotaExchange(EventLoop &Loop, Fleet &Boxes, DecisionLog &Log,
                             const QuotaTolerance &Tolerance, Hooks Callbacks)
    : m_Loop(Loop), m_Fleet(Boxes), m_Log(Log), m_Hooks(std::move(Callbacks)),
      m_Book({.m_Tolerance = Tolerance}), m_AnsweredAt(EventLoop::now()) {
  m_TickTimer = Loop.every(TellEvery, [this] { tick(); });
  m_AccountTimer = Loop.every(AccountEvery, [this] { logAccounts(); });
}

void QuotaExchange::setTolerance(const QuotaTolerance &Tolerance) {
  m_Book.setTolerance(Tolerance);
}

void QuotaExchange::configure(const std::vector<Organisation> &All) {
  m_AmpleUntil.clear();
  m_Book.configure(All, EventLoop::now());
}

/// Boxes that a box that counts does so for.
std::size_t QuotaExchange::counted() const { return 1 + m_Hooks.m_Leaves(); }

bool QuotaExchange::counts() const { return m_Fleet.topology().relay(); }

void QuotaExchange::boxesChanged() {
  const TimePoint Now = EventLoop::now();
  m_BoxesKnown = true;
  std::set<std::string> Machines;
  for (const BoxName &Process : m_Fleet.processes())
    Machines.insert(machineOf(Process));
  m_Census.setListed(std::move(Machines), Now);
  // The levels of a leaf are those of its own part only.
  if (counts() != m_Counts) {
    m_Counts = counts();
    m_Book.restart(Now);
    m_Log.write("quota_role", {{"counts", m_Counts}});
  }
  setBoxes(Now);
}

bool QuotaExchange::alone(TimePoint Now) const {
  return m_BoxesKnown && Now - m_AnsweredAt > AloneAfter;
}

void QuotaExchange::setBoxes(TimePoint Now) {
  const std::size_t Own = m_Counts ? counted() : (alone(Now) ? 1 : 0);
  m_Book.setBoxes(Own, m_Census.count(Now), Now);
}

void QuotaExchange::tick() {
  const TimePoint Now = EventLoop::now();
  if (m_Book.empty())
    return;
  m_Book.tick(Now);
  setBoxes(Now);
  ++m_Ticks;
  if (m_Counts)
    tell(m_Ticks % TellAllEvery == 0);
  else if (Now - m_AnsweredAt > AskAnyway && Now - m_AskedAt > AskAnyway)
    ask("", {}, {});
}

/// The sum over all boxes' lines tells what was let pass of each limit.
void QuotaExchange::logAccounts() {
  for (const auto &[Organisation, Of] : m_Book.takeAccounts(EventLoop::now()))
    m_Log.write("quota_account", {{"organisation", Organisation},
                                  {"granted", std::lround(Of.m_Granted)},
                                  {"refused", std::lround(Of.m_Refused)},
                                  {"level", std::lround(Of.m_Level)},
                                  {"rate_per_s", Of.m_RatePerSecond},
                                  {"share", m_Book.share()},
                                  {"counts", m_Counts}});
}

void QuotaExchange::tell(bool All) {
  const TimePoint Now = EventLoop::now();
  QuotaUseFrame Frame{.m_Boxes = static_cast<std::uint32_t>(counted()),
                      .m_Settled = m_Book.settled(Now),
                      .m_Words = m_Book.takeReports(All, Now)};
  if (!All && Frame.m_Words.empty())
    return;
  for (const BoxName &Relay : m_Fleet.linkedRelays())
    m_Fleet.send(Relay, Frame);
}

void QuotaExchange::take(const std::string &Organisation,
                         const QuotaRequest &Request, Done Callback) {
  const TimePoint Now = EventLoop::now();
  if (m_Counts || alone(Now))
    return decide(Organisation, Request, Callback);
  const auto Ample = m_AmpleUntil.find(Organisation);
  if (Ample == m_AmpleUntil.end() || Now >= Ample->second)
    return ask(Organisation, Request, std::move(Callback));
  ask(Organisation, Request, {});
  Callback(QuotaVerdict{.m_Step = QuotaStep::Grant, .m_Ample = true});
}

/// Answers at once unless it pays to wait for the units.
void QuotaExchange::decide(const std::string &Organisation,
                           const QuotaRequest &Request,
                           const QuotaDesk::Done &Callback) {
  const QuotaVerdict Verdict =
      m_Book.trySpend(Organisation, Request, EventLoop::now());
  if (Verdict.m_Step != QuotaStep::Wait)
    return Callback(Verdict);
  const std::uint64_t Id = ++m_LastWait;
  const QuotaRequest Later = afterWait(Request, Verdict.m_After);
  m_Waiting[Id] = m_Loop.after(Verdict.m_After, [=, this] {
    // The timer holds what this runs on.
    const Timer Ended = std::move(m_Waiting.at(Id));
    m_Waiting.erase(Id);
    decide(Organisation, Later, Callback);
  });
}

void QuotaExchange::giveBack(const std::string &Organisation, double Units) {
  if (m_Counts || alone(EventLoop::now()))
    return m_Book.giveBack(Organisation, Units, EventLoop::now());
  ask(Organisation, {.m_Units = -Units}, {});
}

BoxName QuotaExchange::nextRelay(const std::set<BoxName> &Tried) const {
  const std::set<BoxName> &Linked = m_Fleet.linked();
  const auto Fits = [&](const BoxName &Box) {
    return Linked.contains(Box) && m_Fleet.topology().isRelay(Box) &&
           !Tried.contains(Box);
  };
  if (Fits(m_Relay))
    return m_Relay;
  const std::vector<BoxName> &Links = m_Fleet.topology().links();
  const auto Found = std::find_if(Links.begin(), Links.end(), Fits);
  return Found == Links.end() ? BoxName() : *Found;
}

void QuotaExchange::ask(const std::string &Organisation,
                        const QuotaRequest &Request, QuotaDesk::Done Callback) {
  const std::uint64_t Id = ++m_LastId;
  m_AskedAt = EventLoop::now();
  m_Asked[Id] = {.m_Organisation = Organisation,
                 .m_Request = Request,
                 .m_Done = std::move(Callback),
                 .m_Relays = {},
                 .m_Since = EventLoop::now(),
                 .m_Timer = Timer()};
  sendAsk(Id);
}

void QuotaExchange::sendAsk(std::uint64_t Id) {
  Asked &Of = m_Asked.at(Id);
  const BoxName To = nextRelay(Of.m_Relays);
  Of.m_Timer = m_Loop.after(AnswerWithin, [this, Id] { unanswered(Id); });
  // All have been asked: they may be asked again.
  if (To.empty())
    return Of.m_Relays.clear();
  Of.m_Relays.insert(To);
  m_Fleet.send(To, QuotaAskFrame{.m_Id = Id,
                                 .m_Organisation = Of.m_Organisation,
                                 .m_Request = Of.m_Request,
                                 .m_Used = !Of.m_Done});
}

void QuotaExchange::unanswered(std::uint64_t Id) {
  const auto Found = m_Asked.find(Id);
  if (Found == m_Asked.end())
    return;
  if (EventLoop::now() - Found->second.m_Since < GiveUpAfter)
    return sendAsk(Id);
  const Asked Of = std::move(Found->second);
  m_Asked.erase(Found);
  if (Of.m_Request.m_Units != 0)
    m_Log.write("quota_unanswered", {{"organisation", Of.m_Organisation},
                                     {"units", Of.m_Request.m_Units},
                                     {"used", !Of.m_Done}});
  if (Of.m_Done)
    Of.m_Done(std::nullopt);
}

void QuotaExchange::onFrame(const BoxName &From, const PeerFrame &Frame) {
  std::visit(
      [&](const auto &Each) {
        if constexpr (requires { take(From, Each); })
          take(From, Each);
      },
      Frame);
}

void QuotaExchange::take(const BoxName &From, const QuotaAskFrame &Frame) {
  // The asker tries another one.
  if (!m_Counts)
    return;
  const TimePoint Now = EventLoop::now();
  const QuotaVerdict Verdict =
      Frame.m_Used
          ? m_Book.spend(Frame.m_Organisation, Frame.m_Request.m_Units, Now)
          : m_Book.trySpend(Frame.m_Organisation, Frame.m_Request, Now);
  m_Fleet.send(From,
               QuotaAnswerFrame{.m_Id = Frame.m_Id, .m_Verdict = Verdict});
}

void QuotaExchange::take(const BoxName &From, const QuotaAnswerFrame &Frame) {
  const TimePoint Now = EventLoop::now();
  m_AnsweredAt = Now;
  const auto Found = m_Asked.find(Frame.m_Id);
  // Another relay was quicker, or the question was given up. What was granted
  // twice is lost to the organisation, which errs on the safe side.
  if (Found == m_Asked.end())
    return;
  m_Relay = From;
  if (Frame.m_Verdict.m_Step == QuotaStep::Wait) {
    Asked &Waits = Found->second;
    Waits.m_Request = afterWait(Waits.m_Request, Frame.m_Verdict.m_After);
    Waits.m_Relays.clear();
    Waits.m_Since = Now + Frame.m_Verdict.m_After;
    Waits.m_Timer = m_Loop.after(Frame.m_Verdict.m_After,
                                 [this, Id = Frame.m_Id] { sendAsk(Id); });
    return;
  }
  const Asked Of = std::move(Found->second);
  m_Asked.erase(Found);
  if (Frame.m_Verdict.m_Ample)
    m_AmpleUntil[Of.m_Organisation] = Now + AmpleFor;
  else
    m_AmpleUntil.erase(Of.m_Organisation);
  if (Of.m_Done)
    Of.m_Done(Frame.m_Verdict);
}

void QuotaExchange::take(const BoxName &From, const QuotaUseFrame &Frame) {
  if (m_Counts)
    m_Book.receive(From, Frame.m_Boxes, Frame.m_Settled, Frame.m_Words,
                   EventLoop::now());
}

} // namespace havenstair
