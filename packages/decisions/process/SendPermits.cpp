#include "decisions/process/SendPermits.h"

#include "decisions/common/StableHash.h"
#include <algorithm>
#include <cmath>

namespace havenstair {

namespace {

/// Nobody is told to stay away for longer; callers give up before.
constexpr Duration LongestAway = 30s;

/// Admitters that may give out permits at the same time.
constexpr double AtOnce = 2;

/// Permits under a limit that come together: what was not used in this time
/// may be used at its end, but always two.
constexpr Duration SavedFor = 200ms;
constexpr double LeastTogether = 2;

} // namespace

double workingPart(double LimitPerS, double WorkMs) {
  constexpr double Least = 0.01;
  return std::clamp(LimitPerS * WorkMs / 1000, Least, 1.0);
}

std::optional<BoxName> admitterOf(const InstanceId &Server,
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
  return rendezvousPick(Candidates, Server);
}

SendPermits::Book SendPermits::open(const AdmittedServer &Of, TimePoint Now) {
  const bool Alone = Of.m_BoundSince && Now - *Of.m_BoundSince <= JustNamed;
  return {.m_First = Of.m_First,
          .m_OpensAt = Alone ? Now : Now + Window,
          .m_WholeFrom = Alone ? Now : Now + ListsSettle,
          .m_Given = {},
          .m_ToldTo = {}};
}

void SendPermits::admits(const std::map<InstanceId, AdmittedServer> &Servers,
                         TimePoint Now) {
  std::erase_if(
      m_Books, [&](const auto &Each) { return !Servers.contains(Each.first); });
  for (const auto &[Id, Each] : Servers) {
    Book &Of = m_Books.try_emplace(Id, open(Each, Now)).first->second;
    if (Each.m_First && !Of.m_First)
      Of.m_WholeFrom = Now + ListsSettle;
    Of.m_First = Each.m_First;
  }
}

std::size_t SendPermits::perWindow(const WarmUpSpec &Spec) const {
  const double Half = std::floor(m_Tolerance.mostPerS(Spec) / AtOnce);
  const double Rate = std::ceil(Spec.m_RequestsPerS * inSeconds(Window));
  return static_cast<std::size_t>(std::max(1.0, std::min(Half, Rate)));
}

PermitWindow SendPermits::windowOf(double LimitPerS, double Part) {
  const double PerS = Part * std::max(LeastPerS, LimitPerS);
  const double Together =
      std::max(LeastTogether, std::floor(PerS * inSeconds(SavedFor)));
  return {.m_Most = static_cast<std::size_t>(Together),
          .m_Length = fromSeconds(Together / PerS)};
}

/// Of two bounds the lower one: it leaves room for what the other lets come
/// together.
PermitWindow SendPermits::window(const SendBound &Bound, const Book &Of,
                                 TimePoint Now) const {
  PermitWindow Cold{.m_Most = 1, .m_Length = Window};
  if (Bound.m_Cold)
    Cold.m_Most = perWindow(*Bound.m_Cold);
  if (!Bound.m_LimitPerS)
    return Cold;
  const bool Whole = Of.m_First && Now >= Of.m_WholeFrom;
  const PermitWindow Limit =
      windowOf(*Bound.m_LimitPerS, Whole ? 1 : StandInPart);
  return Bound.m_Cold && Cold.perS() < Limit.perS() ? Cold : Limit;
}

PermitVerdict SendPermits::ask(const InstanceId &Server, const SendBound &Bound,
                               Duration Patience, TimePoint Now) {
  const auto Found = m_Books.find(Server);
  if (Found == m_Books.end())
    return {.m_Granted = false, .m_After = Window};
  Book &Of = Found->second;
  const PermitWindow In = window(Bound, Of, Now);
  // As many stay as a lower bound may ask for later.
  while (Of.m_Given.size() > In.m_Most &&
         Of.m_Given.front() + In.m_Length <= Now)
    Of.m_Given.pop_front();
  TimePoint At = std::max(Now, Of.m_OpensAt);
  if (!Of.m_Given.empty())
    At = std::max(At, Of.m_Given.back());
  if (Of.m_Given.size() >= In.m_Most)
    At = std::max(At, Of.m_Given[Of.m_Given.size() - In.m_Most] + In.m_Length);
  if (At - Now <= Patience) {
    Of.m_Given.push_back(At);
    return {.m_Granted = true, .m_After = At - Now};
  }
  const Duration Every = In.m_Length / static_cast<Duration::rep>(In.m_Most);
  Of.m_ToldTo = std::min(std::max(Of.m_ToldTo, At) + Every,
                         std::max(At, Now + LongestAway));
  return {.m_Granted = false, .m_After = Of.m_ToldTo - Now};
}

} // namespace havenstair
