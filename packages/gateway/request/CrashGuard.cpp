#include "gateway/request/CrashGuard.h"

#include "decisions/common/StableHash.h"
#include <algorithm>

namespace havenstair {

std::optional<Duration> CrashGuard::hold(TimePoint Now) const {
  const std::shared_ptr<CrashDesk> Desk = m_Desk.lock();
  return Desk ? Desk->hold(m_Request, Now) : std::nullopt;
}

void CrashGuard::keepApart(std::vector<const UpstreamInstance *> &Candidates,
                           TimePoint Now) const {
  if (Candidates.size() < 2 || !m_Book.suspicious(m_Request, Now))
    return;
  // By rendezvous, so that boxes need not tell each other who is where.
  const auto Weight = [&](const UpstreamInstance *Each) {
    return stableHash(Each->m_Id, m_Request.str());
  };
  const UpstreamInstance *Only = *std::max_element(
      Candidates.begin(), Candidates.end(),
      [&](const auto *A, const auto *B) { return Weight(A) < Weight(B); });
  Candidates = {Only};
}

void CrashGuard::broke(const UpstreamLife &Server) const {
  if (const std::shared_ptr<CrashDesk> Desk = m_Desk.lock())
    Desk->broke(Server, m_Request);
}

void CrashGuard::unreachable(const UpstreamLife &Server) const {
  if (const std::shared_ptr<CrashDesk> Desk = m_Desk.lock())
    Desk->unreachable(Server);
}

void CrashGuard::ranWell(const UpstreamLife &Server) const {
  if (const std::shared_ptr<CrashDesk> Desk = m_Desk.lock())
    Desk->ranWell(Server, m_Request);
}

} // namespace havenstair
