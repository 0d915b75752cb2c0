#include "gateway/process/LeaderElection.h"

#include "gateway/common/DecisionLog.h"
#include "wire/common/EventLoop.h"
#include "wire/common/Json.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace havenstair {

namespace {

/// Boxes that see no leader wait before they claim, so that they do not all
/// claim at once: ClaimDelay, plus a random part of a spread that grows with
/// the number of boxes that may claim. A claim that comes too late costs three
/// calls, and the others learn of the winner after 250 ms: of 18 boxes 16
/// claimed within 300 ms.
constexpr Duration MinClaimSpread = 300ms;
constexpr Duration ClaimSpreadPerVoter = 100ms;
constexpr Duration ClaimDelay = 200ms;

/// A leader may send orders for this long after its key was last known to be
/// its own by a read of the store. The handover to another leader takes longer
/// than this and the sending of an order together.
constexpr Duration MaxKeyAge = 1900ms;

/// A process whose ticks are this far apart was suspended.
constexpr Duration PauseThreshold = 500ms;

constexpr const char *LeaderKey = "giver";
constexpr const char *TermKey = "giver-term";
/// Names the era in which the leader's key was written, and the leader, as the
/// key of an earlier era may come back with a copy. Not written in the first.
constexpr const char *EraKey = "giver-era";

std::string eraValue(StoreEra Era, const std::string &Process) {
  return dumpJson({{"era", Era}, {"by", Process}});
}

} // namespace

LeaderElection::LeaderElection(CoordinationStore &Store, DecisionLog &Log,
                               Options Opts, Hooks Callbacks)
    : m_Log(Log), m_Opts(std::move(Opts)), m_Hooks(std::move(Callbacks)),
      m_View(BoxName(m_Opts.m_Process)),
      m_Key(Store, {.m_TimeToLive = m_Opts.m_Lease},
            {.m_Claim = [this](LeaseId Lease) { return claim(Lease); },
             .m_Claimed = [this](StoreRevision At) { claimed(At); },
             .m_Lost = [this] { lost(); },
             .m_Answered = [](bool) {}}) {}

/// The era in which \p Process wrote the leader's key. Builds that know no eras
/// leave the value of another leader.
StoreEra
LeaderElection::writtenIn(const std::map<std::string, StoreItem> &Items,
                          const std::string &Process) const {
  const auto Entry = Items.find(m_Opts.m_Prefix + EraKey);
  if (Entry == Items.end())
    return FirstEra;
  try {
    const Json Value = parseJson(Entry->second.m_Value);
    if (field<std::string>(Value, "by") == Process)
      return field<StoreEra>(Value, "era");
  } catch (const DecodeError &Error) {
    m_Log.write("bad_giver_era", {{"why", Error.what()}});
  }
  return FirstEra;
}

void LeaderElection::entriesChanged(
    const std::map<std::string, StoreItem> &Items, const StoreRevision &At) {
  m_EntriesAt = At;
  const auto Key = Items.find(m_Opts.m_Prefix + LeaderKey);
  m_KeyRevision = Key == Items.end() ? StoreRevision() : Key->second.m_Revision;
  if (Key != Items.end()) {
    const std::string &Process = Key->second.m_Value;
    const StoreRevision Written{.m_Era = writtenIn(Items, Process),
                                .m_Number = m_KeyRevision.m_Number};
    m_View.observeTerm(
        {.m_Token = orderingNumber(Written), .m_Box = BoxName(Process)},
        EventLoop::now());
  }
  const auto Term = Items.find(m_Opts.m_Prefix + TermKey);
  m_TermRevision =
      Term == Items.end() ? StoreRevision() : Term->second.m_Revision;
  m_TermMachine = Term == Items.end() ? "" : Term->second.m_Value;
  stopIfReplaced();
}

void LeaderElection::recordPeerView(const BoxName &From,
                                    const LeaderTerm &Leader, bool Giving,
                                    TimePoint SaidAfter) {
  m_View.receiveReport(From, Leader, Giving, SaidAfter, EventLoop::now());
  stopIfReplaced();
}

void LeaderElection::setVoters(std::set<BoxName> Others, bool Eligible) {
  m_Voters = std::ssize(Others);
  m_View.setMembers(std::move(Others));
  m_Eligible = Eligible;
}

void LeaderElection::tick(TimePoint Now) {
  noticePause(Now);
  if (m_Leading || claimDue(Now))
    m_Key.tick(Now);
}

bool LeaderElection::knowsEntries() const {
  return !m_EntriesAt.none() && m_EntriesAt.m_Era == m_Hooks.m_Era();
}

bool LeaderElection::keyReadLately(TimePoint Now) const {
  return knowsEntries() && m_ClaimedEra == m_EntriesAt.m_Era &&
         Now - m_Hooks.m_KeysReadAt() <= MaxKeyAge;
}

bool LeaderElection::confirmed(TimePoint Now) const {
  return m_Leading && m_Key.held(Now) &&
         (keyReadLately(Now) || m_View.confirmedByMajority(Now));
}

/// Whether this box, which led when the store was restored, still does.
bool LeaderElection::mayReclaim(TimePoint Now) const {
  return knowsEntries() && m_View.confirmedByMajority(Now);
}

void LeaderElection::stopIfReplaced() {
  if (m_Leading && m_View.leader().m_Token > m_Token)
    m_Key.release();
}

/// Whether this box and a majority know of no active leader.
bool LeaderElection::mayClaim(TimePoint Now) const {
  return knowsEntries() && m_Eligible && m_Hooks.m_Prepared() &&
         m_View.majorityReachable(Now) && !m_View.leaderActive(Now);
}

bool LeaderElection::claimDue(TimePoint Now) {
  if (!mayClaim(Now)) {
    m_ClaimFrom.reset();
    return false;
  }
  // The machine that led last may continue at once.
  const bool SameMachine = m_TermMachine == m_Opts.m_Machine;
  if (!m_ClaimFrom && SameMachine)
    m_ClaimFrom = Now;
  const Duration Within =
      std::max<Duration>(MinClaimSpread, ClaimSpreadPerVoter * m_Voters);
  if (!m_ClaimFrom)
    m_ClaimFrom =
        Now + ClaimDelay +
        Duration(static_cast<Duration::rep>(
            m_Hooks.m_Random() * static_cast<double>(Within.count())));
  return Now >= *m_ClaimFrom;
}

std::optional<StoreTransaction> LeaderElection::claim(LeaseId Lease) const {
  const TimePoint Now = EventLoop::now();
  if (m_Leading ? !mayReclaim(Now) : !mayClaim(Now))
    return std::nullopt;
  const std::string Key = m_Opts.m_Prefix + LeaderKey;
  const std::string Term = m_Opts.m_Prefix + TermKey;
  StoreTransaction Result{
      .m_Conditions = {{.m_Key = Key, .m_Revision = m_KeyRevision},
                       {.m_Key = Term, .m_Revision = m_TermRevision}},
      .m_Puts = {{.m_Key = Key, .m_Value = m_Opts.m_Process, .m_Lease = Lease},
                 {.m_Key = Term, .m_Value = m_Opts.m_Machine}},
      .m_Removals = {}};
  const StoreEra Era = m_EntriesAt.m_Era;
  if (Era != FirstEra)
    Result.m_Puts.push_back({.m_Key = m_Opts.m_Prefix + EraKey,
                             .m_Value = eraValue(Era, m_Opts.m_Process)});
  return Result;
}

void LeaderElection::claimed(StoreRevision Revision) {
  const bool Again = std::exchange(m_Leading, true);
  m_ClaimedEra = Revision.m_Era;
  m_Token = orderingNumber(Revision);
  m_View.observeTerm({.m_Token = m_Token, .m_Box = BoxName(m_Opts.m_Process)},
                     EventLoop::now());
  if (Again) {
    m_Log.write("giver_kept", {{"token", m_Token}, {"era", m_ClaimedEra}});
    return;
  }
  const bool HasLed = m_Term > 0;
  const bool SameMachine = m_TermMachine == m_Opts.m_Machine;
  ++m_Term;
  m_Hooks.m_Elected({.m_Machine = m_TermMachine,
                     .m_None = m_TermRevision.none(),
                     .m_SameMachine = SameMachine,
                     .m_SameProcess = SameMachine && HasLed});
}

void LeaderElection::lost() {
  m_Leading = false;
  m_Hooks.m_Lost();
}

/// Detects that the process was suspended: what it knew before may be outdated.
void LeaderElection::noticePause(TimePoint Now) {
  if (!m_Eligible) {
    m_TickedAt = TimePoint{};
    return;
  }
  const TimePoint Before = std::exchange(m_TickedAt, Now);
  if (Before == TimePoint{} || Now - Before < PauseThreshold)
    return;
  m_View.onPause(Now);
  m_Log.write("paused", {{"for_ms", (Now - Before) / 1ms}});
}

} // namespace havenstair
