#include "gateway/request/CrashGuard.h"

#include "decisions/common/StableHash.h"
#include <algorithm>

namespace havenstair {

namespace {

/// A server ends some 100 ms after the request was sent, and boxes hear of it
/// in as long: of tries that come four a second, one or two go in that time
/// when each is put off by a drawn part of this.
constexpr Duration LongestPause = 2s;

} // namespace

std::optional<Duration> CrashGuard::hold(TimePoint Now) const {
  const std::shared_ptr<CrashDesk> Desk = m_Desk.lock();
  return Desk ? Desk->hold(m_Request, Now) : std::nullopt;
}

void CrashGuard::keepApart(std::vector<const UpstreamInstance *> &Candidates,
                           bool Broke, TimePoint Now) const {
  const bool Several = m_Book.isSuspect(m_Request, Now);
  const std::size_t Left = Several ? 1 : (Candidates.size() + 1) / 2;
  if (Candidates.size() < 2 ||
      !(Several || Broke || m_Book.crashCount(m_Request, Now) > 0))
    return;
  // By rendezvous, so that boxes need not tell each other who is where.
  const auto Weight = [&](const UpstreamInstance *Each) {
    return stableHash(Each->m_Id, m_Request.str());
  };
  std::sort(
      Candidates.begin(), Candidates.end(),
      [&](const auto *A, const auto *B) { return Weight(A) > Weight(B); });
  Candidates.resize(Left);
}

std::optional<Duration> CrashGuard::pause(double Random, Duration TimeLeft,
                                          TimePoint Now) {
  if (!m_Book.isAmbiguous(m_Request, Now) && !m_Book.isSuspect(m_Request, Now))
    return std::nullopt;
  if (!m_PausedUntil) {
    const Duration Within = std::min(LongestPause, TimeLeft / 2);
    m_PausedUntil = Now + Duration(static_cast<Duration::rep>(
                              Random * static_cast<double>(Within.count())));
  }
  if (Now < *m_PausedUntil)
    return *m_PausedUntil - Now;
  m_PausedUntil.reset();
  return std::nullopt;
}

/// A stream that had run for seconds would else be taken along from end to end,
/// barred for them, and what had ended the servers be excused.
void CrashGuard::broke(const UpstreamIncarnation &Server,
                       std::optional<TimePoint> Started, TimePoint Now) const {
  const bool Blameless = Started && Now - *Started >= LivesOnFor;
  if (const std::shared_ptr<CrashDesk> Desk = m_Desk.lock())
    Desk->broke(Server, Blameless ? std::nullopt : std::optional(m_Request));
}

void CrashGuard::unreachable(const UpstreamIncarnation &Server) const {
  if (const std::shared_ptr<CrashDesk> Desk = m_Desk.lock())
    Desk->unreachable(Server);
}

void CrashGuard::ranWell(const UpstreamIncarnation &Server) const {
  if (const std::shared_ptr<CrashDesk> Desk = m_Desk.lock())
    Desk->ranWell(Server, m_Request);
}

} // namespace havenstair
