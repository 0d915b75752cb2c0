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

} // namespace

std::optional<BoxName> admitterOf(const InstanceId &Server,
                                  const std::set<BoxName> &Relays,
                                  const std::set<BoxName> &Reached) {
  std::vector<BoxName> Candidates;
  std::set_intersection(Relays.begin(), Relays.end(), Reached.begin(),
                        Reached.end(), std::back_inserter(Candidates));
  if (2 * Candidates.size() <= Relays.size())
    return std::nullopt;
  return rendezvousPick(Candidates, Server);
}

void SendPermits::admits(const std::set<InstanceId> &Servers, TimePoint Now) {
  std::erase_if(
      m_Books, [&](const auto &Each) { return !Servers.contains(Each.first); });
  for (const InstanceId &Each : Servers)
    m_Books.try_emplace(Each,
                        Book{.m_Since = Now, .m_Given = {}, .m_ToldTo = {}});
}

std::size_t SendPermits::perWindow(const WarmUpSpec &Spec) const {
  const double Half = std::floor(m_Tolerance.mostPerS(Spec) / AtOnce);
  const double Rate = std::ceil(Spec.m_RequestsPerS * inSeconds(Window));
  return static_cast<std::size_t>(std::max(1.0, std::min(Half, Rate)));
}

PermitVerdict SendPermits::ask(const InstanceId &Server, const WarmUpSpec &Spec,
                               Duration Patience, TimePoint Now) {
  const auto Found = m_Books.find(Server);
  if (Found == m_Books.end())
    return {.m_Granted = false, .m_After = Window};
  Book &Book = Found->second;
  while (!Book.m_Given.empty() && Book.m_Given.front() + Window <= Now)
    Book.m_Given.pop_front();
  const std::size_t Most = perWindow(Spec);
  TimePoint At = std::max(Now, Book.m_Since + Window);
  if (!Book.m_Given.empty())
    At = std::max(At, Book.m_Given.back());
  if (Book.m_Given.size() >= Most)
    At = std::max(At, Book.m_Given[Book.m_Given.size() - Most] + Window);
  if (At - Now <= Patience) {
    Book.m_Given.push_back(At);
    return {.m_Granted = true, .m_After = At - Now};
  }
  const Duration Every = Window / static_cast<Duration::rep>(Most);
  Book.m_ToldTo = std::min(std::max(Book.m_ToldTo, At) + Every,
                           std::max(At, Now + LongestAway));
  return {.m_Granted = false, .m_After = Book.m_ToldTo - Now};
}

} // namespace havenstair
