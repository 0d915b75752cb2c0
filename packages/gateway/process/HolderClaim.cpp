#include "gateway/process/HolderClaim.h"

#include "gateway/common/DecisionLog.h"
#include "wire/common/EventLoop.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace havenstair {

namespace {

/// Boxes that see the same do not all claim at once: they wait for a drawn part
/// of the first, after the second. It grows with the boxes that may claim, as a
/// claim that comes too late costs three calls and the winner is heard of after
/// 250 ms: of 18 boxes 16 claimed within 300 ms.
constexpr Duration LeastClaimWithin = 300ms;
constexpr Duration ClaimWithinForEach = 100ms;
constexpr Duration AfterOwn = 200ms;

/// A holder orders on what it read of its key this long ago. The turn between
/// two holders is longer than that and the sending of an order together.
constexpr Duration HolderReadCounts = 1900ms;

/// A process that did nothing for this long stood still.
constexpr Duration Pause = 500ms;

constexpr const char *HolderKey = "giver";
constexpr const char *TermKey = "giver-term";

} // namespace

HolderClaim::HolderClaim(CoordinationStore &Store, DecisionLog &Log,
                         Options Opts, Hooks Callbacks)
    : m_Log(Log), m_Opts(std::move(Opts)), m_Hooks(std::move(Callbacks)),
      m_View(BoxName(m_Opts.m_Process)),
      m_Key(Store, {.m_TimeToLive = m_Opts.m_Lease},
            {.m_Claim = [this](LeaseId Lease) { return claim(Lease); },
             .m_Claimed = [this](StoreRevision At) { claimed(At); },
             .m_Lost = [this] { lost(); },
             .m_Answered = [](bool) {}}) {}

void HolderClaim::entriesChanged(
    const std::map<std::string, StoreItem> &Items) {
  m_EntriesKnown = true;
  const auto Key = Items.find(m_Opts.m_Prefix + HolderKey);
  m_KeyRevision = Key == Items.end() ? 0 : Key->second.m_Revision;
  if (Key != Items.end())
    m_View.observeTerm(
        {.m_Token = m_KeyRevision, .m_Box = BoxName(Key->second.m_Value)},
        EventLoop::now());
  const auto Term = Items.find(m_Opts.m_Prefix + TermKey);
  m_TermRevision = Term == Items.end() ? 0 : Term->second.m_Revision;
  m_TermHolder = Term == Items.end() ? "" : Term->second.m_Value;
  stopIfReplaced();
}

void HolderClaim::heardHolder(const BoxName &From, const LeaderTerm &Known,
                              bool Giving, TimePoint SaidAfter) {
  m_View.receiveReport(From, Known, Giving, SaidAfter, EventLoop::now());
  stopIfReplaced();
}

void HolderClaim::setVoters(std::set<BoxName> Others, bool Eligible) {
  m_Voters = std::ssize(Others);
  m_View.setMembers(std::move(Others));
  m_Eligible = Eligible;
}

void HolderClaim::tick(TimePoint Now) {
  noticePause(Now);
  if (m_Taken || claimDue(Now))
    m_Key.tick(Now);
}

bool HolderClaim::sure(TimePoint Now) const {
  return m_Taken && m_Key.held(Now) &&
         (Now - m_Hooks.m_HolderRead() <= HolderReadCounts ||
          m_View.confirmedByMajority(Now));
}

void HolderClaim::stopIfReplaced() {
  if (m_Taken && m_View.leader().m_Token > m_Token)
    m_Key.release();
}

/// Nobody gives orders, as far as this box and a majority know.
bool HolderClaim::mayClaim(TimePoint Now) const {
  return m_EntriesKnown && m_Eligible && m_Hooks.m_Prepared() &&
         m_View.majorityReachable(Now) && !m_View.leaderActive(Now);
}

bool HolderClaim::claimDue(TimePoint Now) {
  if (!mayClaim(Now)) {
    m_ClaimFrom.reset();
    return false;
  }
  // The machine that gave the last orders may go on at once.
  const bool Own = m_TermHolder == m_Opts.m_Holder;
  if (!m_ClaimFrom && Own)
    m_ClaimFrom = Now;
  const Duration Within =
      std::max<Duration>(LeastClaimWithin, ClaimWithinForEach * m_Voters);
  if (!m_ClaimFrom)
    m_ClaimFrom =
        Now + AfterOwn +
        Duration(static_cast<Duration::rep>(
            m_Hooks.m_Random() * static_cast<double>(Within.count())));
  return Now >= *m_ClaimFrom;
}

std::optional<StoreTransaction> HolderClaim::claim(LeaseId Lease) const {
  if (!mayClaim(EventLoop::now()))
    return std::nullopt;
  const std::string Key = m_Opts.m_Prefix + HolderKey;
  const std::string Term = m_Opts.m_Prefix + TermKey;
  return StoreTransaction{
      .m_Conditions = {{.m_Key = Key, .m_Revision = m_KeyRevision},
                       {.m_Key = Term, .m_Revision = m_TermRevision}},
      .m_Puts = {{.m_Key = Key, .m_Value = m_Opts.m_Process, .m_Lease = Lease},
                 {.m_Key = Term, .m_Value = m_Opts.m_Holder}},
      .m_Removals = {}};
}

void HolderClaim::claimed(StoreRevision Revision) {
  m_Taken = true;
  m_Token = Revision;
  m_View.observeTerm({.m_Token = Revision, .m_Box = BoxName(m_Opts.m_Process)},
                     EventLoop::now());
  m_Hooks.m_Taken({.m_Holder = m_TermHolder,
                   .m_None = m_TermRevision == 0,
                   .m_SameMachine = m_TermHolder == m_Opts.m_Holder});
}

void HolderClaim::lost() {
  m_Taken = false;
  m_Hooks.m_Lost();
}

/// A process that stood still believes what was true before.
void HolderClaim::noticePause(TimePoint Now) {
  if (!m_Eligible) {
    m_TickedAt = TimePoint{};
    return;
  }
  const TimePoint Before = std::exchange(m_TickedAt, Now);
  if (Before == TimePoint{} || Now - Before < Pause)
    return;
  m_View.onPause(Now);
  m_Log.write("paused", {{"for_ms", (Now - Before) / 1ms}});
}

} // namespace havenstair
