#include "decisions/process/QuotaBook.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// A bucket that holds more than this part is far from empty: at this level
/// half a second of the rate is left for what is not known yet.
constexpr double AmplePart = 0.5;

/// Nobody is told to stay away for longer; callers give up before.
constexpr Duration LongestAway = 30s;

/// How soon to ask again when only other boxes' words are missing: they tell
/// of nearly empty buckets this often.
constexpr Duration WordsWithin = 40ms;

/// A bucket that holds just nothing grants nothing.
constexpr Duration Soonest = 1ms;

/// A teller that has been silent for this long is another process by now.
constexpr Duration ForgetTeller = 600s;

} // namespace

double QuotaBook::slack(const Bucket &Of) const {
  return m_Opts.m_Tolerance.slack(Of.m_Quota) * m_Share;
}

double QuotaBook::wholeCap(const Bucket &Of) const {
  return Of.m_Quota.m_Burst +
         m_Opts.m_CapPart * m_Opts.m_Tolerance.slack(Of.m_Quota);
}

void QuotaBook::fill(Bucket &Of, TimePoint Now) const {
  const Duration Passed = std::max<Duration>(0us, Now - Of.m_FilledAt);
  Of.m_FilledAt = std::max(Of.m_FilledAt, Now);
  const double Earned =
      Of.m_Quota.m_RatePerSecond * m_Share * inSeconds(Passed);
  Of.m_Level = std::min(cap(Of), Of.m_Level + Earned);
}

QuotaBook::Bucket *QuotaBook::filled(const std::string &Organisation,
                                     TimePoint Now) {
  const auto Found = m_Buckets.find(Organisation);
  if (Found == m_Buckets.end())
    return nullptr;
  fill(Found->second, Now);
  return &Found->second;
}

bool QuotaBook::ample(const Bucket &Of) const {
  return Of.m_Level > 0 && Of.m_Level >= AmplePart * cap(Of);
}

void QuotaBook::configure(const std::vector<Organisation> &All, TimePoint Now) {
  std::map<std::string, Bucket> Known = std::move(m_Buckets);
  m_Buckets.clear();
  for (const Organisation &Each : All) {
    if (!Each.m_Quota.limited())
      continue;
    Bucket &Of = m_Buckets[Each.m_Name];
    if (const auto Before = Known.find(Each.m_Name); Before != Known.end()) {
      Of = Before->second;
      fill(Of, Now);
      Of.m_Quota = Each.m_Quota;
      continue;
    }
    Of.m_Quota = Each.m_Quota;
    Of.m_FilledAt = Now;
    Of.m_Level = settled(Now) ? cap(Of) : m_Opts.m_StartPart * slack(Of);
  }
}

void QuotaBook::restart(TimePoint Now) {
  m_StartedAt = Now;
  m_Tellers.clear();
  refreshShare(Now);
  for (auto &[Name, Of] : m_Buckets) {
    Of.m_Level = m_Opts.m_StartPart * slack(Of);
    Of.m_FilledAt = Now;
    Of.m_Learned = false;
  }
}

void QuotaBook::setBoxes(std::size_t Own, std::size_t All, TimePoint Now) {
  if (m_StartedAt == TimePoint{})
    m_StartedAt = Now;
  m_OwnBoxes = Own;
  m_AllBoxes = std::max<std::size_t>(1, All);
  refreshShare(Now);
}

void QuotaBook::refreshShare(TimePoint Now) {
  std::size_t Heard = m_OwnBoxes;
  for (const auto &[Box, Each] : m_Tellers)
    Heard += Each.m_Silent ? 0 : Each.m_Boxes;
  const double Share = std::min(1.0, static_cast<double>(Heard) /
                                         static_cast<double>(m_AllBoxes));
  if (Share == m_Share)
    return;
  for (auto &[Name, Of] : m_Buckets)
    fill(Of, Now);
  // What was left is shared with those that are no longer heard.
  if (Share < m_Share)
    for (auto &[Name, Of] : m_Buckets)
      Of.m_Level *= Of.m_Level > 0 ? Share / m_Share : 1;
  const double Gained = Share - m_Share;
  m_Share = Share;
  // Each box brings its part of what boxes start with, once in its life.
  if (Gained > 0 && !settled(Now))
    for (auto &[Name, Of] : m_Buckets)
      Of.m_Level += m_Opts.m_StartPart * slack(Of) * Gained / Share;
}

void QuotaBook::tick(TimePoint Now) {
  for (auto &[Box, Each] : m_Tellers)
    Each.m_Silent = Now - Each.m_HeardAt > m_Opts.m_Silence;
  std::erase_if(m_Tellers, [&](const auto &Each) {
    return Now - Each.second.m_HeardAt > ForgetTeller;
  });
  refreshShare(Now);
  beginRound(Now);
}

double QuotaBook::ownPart() const {
  return static_cast<double>(m_OwnBoxes) / static_cast<double>(m_AllBoxes);
}

double QuotaBook::roundLimit(const Bucket &Of) const {
  return std::max(m_Opts.m_RoundOfOwn * ownPart() * wholeCap(Of),
                  m_Opts.m_RoundPart * m_Opts.m_Tolerance.slack(Of.m_Quota));
}

/// Use counts from zero again once every other box has told something.
void QuotaBook::beginRound(TimePoint Now) {
  const bool Heard =
      std::all_of(m_Tellers.begin(), m_Tellers.end(), [&](const auto &Each) {
        return Each.second.m_Silent || Each.second.m_HeardAt > m_RoundAt;
      });
  if (!Heard)
    return;
  m_RoundAt = Now;
  for (auto &[Name, Of] : m_Buckets)
    Of.m_UsedInRound = 0;
}

void QuotaBook::charge(Bucket &Of, double Units) const {
  Of.m_Level -= Units;
  Of.m_Used += Units;
  Of.m_UsedInRound += Units;
  Of.m_Granted += Units;
}

QuotaVerdict QuotaBook::trySpend(const std::string &Organisation,
                                 const QuotaRequest &Request, TimePoint Now) {
  Bucket *Known = filled(Organisation, Now);
  if (Known == nullptr)
    return {.m_Step = QuotaStep::Grant, .m_Ample = true};
  const QuotaVerdict Verdict = judge(*Known, Request, Now);
  if (Verdict.m_Step == QuotaStep::Refuse)
    Known->m_Refused += Request.m_Units;
  return Verdict;
}

QuotaVerdict QuotaBook::judge(Bucket &Of, const QuotaRequest &Request,
                              TimePoint Now) {
  const double Debt = m_Opts.m_DebtPart * slack(Of);
  // A large request needs no fuller bucket than a small one: else only small
  // ones would get through where the quota is used up.
  const bool Left = Of.m_Level > 0 && Of.m_Level - Request.m_Units >= -Debt;
  const bool RoundFull =
      !m_Tellers.empty() && Of.m_UsedInRound >= roundLimit(Of);
  // While there is plenty, nobody has to be let pass.
  const bool Behind = !Request.m_Waited && Of.m_KeptTo > Now && !ample(Of);
  if (Left && !RoundFull && !Behind) {
    charge(Of, Request.m_Units);
    return {.m_Step = QuotaStep::Grant, .m_Ample = ample(Of)};
  }
  // The others' words are all that is missing.
  if (Left && !Behind && Request.m_Patience > WordsWithin)
    return {.m_Step = QuotaStep::Wait, .m_After = WordsWithin};
  return notNow(Of, Request, Now);
}

/// When the units will be there. Several boxes use up one bucket, so the times
/// that are told grow by this box's own part of the rate; what is kept may turn
/// out to be used by then, and is asked for once more.
QuotaVerdict QuotaBook::notNow(Bucket &Of, const QuotaRequest &Request,
                               TimePoint Now) const {
  const double Rate = Of.m_Quota.m_RatePerSecond * m_Share;
  const double OwnRate = Of.m_Quota.m_RatePerSecond * ownPart();
  if (Rate <= 0 || OwnRate <= 0)
    return {.m_After = m_Opts.m_Silence};
  const double Debt = m_Opts.m_DebtPart * slack(Of);
  const double Missing =
      std::max({0.0, -Of.m_Level, Request.m_Units - Of.m_Level - Debt});
  const TimePoint There = Now + fromSeconds(Missing / Rate) + Soonest;
  const Duration Use = fromSeconds(Request.m_Units / OwnRate);
  const TimePoint Turn =
      Request.m_Waited ? There : std::max(There, Of.m_KeptTo);
  if (Turn - Now <= Request.m_Patience) {
    Of.m_KeptTo =
        std::max(Of.m_KeptTo, Turn + fromSeconds(Request.m_Units / Rate));
    return {.m_Step = QuotaStep::Wait, .m_After = Turn - Now};
  }
  const TimePoint Told =
      std::min(std::max(Turn, Of.m_ToldTo), Now + LongestAway);
  Of.m_ToldTo = Told + Use;
  return {.m_After = Told - Now};
}

QuotaVerdict QuotaBook::spend(const std::string &Organisation, double Units,
                              TimePoint Now) {
  Bucket *Of = filled(Organisation, Now);
  if (Of == nullptr)
    return {.m_Step = QuotaStep::Grant, .m_Ample = true};
  charge(*Of, Units);
  return {.m_Step = QuotaStep::Grant, .m_Ample = ample(*Of)};
}

void QuotaBook::giveBack(const std::string &Organisation, double Units,
                         TimePoint Now) {
  if (Bucket *Of = filled(Organisation, Now))
    charge(*Of, -Units);
}

void QuotaBook::told(const BoxName &From, std::size_t Boxes, bool Settled,
                     const QuotaWords &Words, TimePoint Now) {
  Teller &Of = m_Tellers[From];
  const bool First = Of.m_HeardAt == TimePoint{};
  // What it used while it was not heard came out of its own part first.
  double Forgiven = 0;
  if (!First && Now - Of.m_HeardAt > m_Opts.m_Silence)
    Forgiven = inSeconds(Now - Of.m_HeardAt) * static_cast<double>(Of.m_Boxes) /
               static_cast<double>(m_AllBoxes);
  Of.m_Boxes = Boxes;
  Of.m_HeardAt = Now;
  Of.m_Silent = false;
  refreshShare(Now);
  for (const auto &[Organisation, Word] : Words)
    take(Of, Organisation, Word, Settled, Forgiven, Now);
}

void QuotaBook::take(Teller &From, const std::string &Organisation,
                     const QuotaWord &Word, bool Settled, double Forgiven,
                     TimePoint Now) {
  const auto [Known, First] =
      From.m_Used.try_emplace(Organisation, Word.m_Used - Word.m_Recent);
  const double Used = Word.m_Used - Known->second;
  Known->second = Word.m_Used;
  Bucket *Of = filled(Organisation, Now);
  if (Of == nullptr)
    return;
  if (First && Settled && !settled(Now)) {
    if (!std::exchange(Of->m_Learned, true))
      Of->m_Level = std::min(cap(*Of), Word.m_Level);
    return;
  }
  const double Own = Forgiven * Of->m_Quota.m_RatePerSecond;
  Of->m_Level -= Used > 0 ? std::max(0.0, Used - Own) : Used;
}

QuotaWords QuotaBook::takeNews(bool All, TimePoint Now) {
  QuotaWords News;
  for (auto &[Name, Of] : m_Buckets) {
    if (Of.m_Used == Of.m_UsedTold)
      continue;
    fill(Of, Now);
    if (!All && ample(Of))
      continue;
    News[Name] = {.m_Used = Of.m_Used,
                  .m_Recent = Of.m_Used - Of.m_UsedTold,
                  .m_Level = Of.m_Level};
    Of.m_UsedTold = Of.m_Used;
  }
  return News;
}

QuotaAccounts QuotaBook::takeAccounts(TimePoint Now) {
  QuotaAccounts Result;
  for (auto &[Name, Of] : m_Buckets) {
    fill(Of, Now);
    const double Granted = std::exchange(Of.m_Granted, 0);
    const double Refused = std::exchange(Of.m_Refused, 0);
    if (Refused > 0 || (Granted > 0 && !ample(Of)))
      Result[Name] = {.m_Granted = Granted,
                      .m_Refused = Refused,
                      .m_Level = Of.m_Level,
                      .m_RatePerSecond = Of.m_Quota.m_RatePerSecond};
  }
  return Result;
}

double QuotaBook::level(const std::string &Organisation, TimePoint Now) {
  const Bucket *Of = filled(Organisation, Now);
  return Of == nullptr ? 0 : Of->m_Level;
}

} // namespace havenstair
