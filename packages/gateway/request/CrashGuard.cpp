#include "gateway/request/CrashGuard.h"

#include "decisions/common/StableHash.h"
#include <algorithm>

namespace havenstair {

namespace {

/// Upper limit of the random delay of a send. An upstream crashes about 100 ms
/// after the request was sent, and it takes as long again until other boxes
/// know: with such a delay, of tries that come at four a second, one or two are
/// sent in that time.
constexpr Duration MaxRetryDelay = 2s;

} // namespace

std::optional<Duration> CrashGuard::holdTime(TimePoint Now) const {
  const std::shared_ptr<CrashService> Service = m_Service.lock();
  std::optional<Duration> Result;
  if (Service)
    for (const CrashSuspect &Each : m_All)
      Result = std::max(Result, Service->holdTime(Each, Now));
  return Result;
}

bool CrashGuard::mayProbe(TimePoint Now) const {
  const std::shared_ptr<CrashService> Service = m_Service.lock();
  return Service && Service->mayProbe(m_Suspects, Now);
}

void CrashGuard::onSent(TimePoint Now) const {
  if (!quarantinedFor(Now))
    return;
  if (const std::shared_ptr<CrashService> Service = m_Service.lock())
    Service->onProbe(m_Suspects, Now);
}

void CrashGuard::onNotSent(TimePoint SentAt) const {
  if (const std::shared_ptr<CrashService> Service = m_Service.lock())
    Service->onProbeNotSent(m_Suspects, SentAt);
}

bool CrashGuard::blamed(TimePoint Now) const {
  return std::any_of(m_All.begin(), m_All.end(), [&](const CrashSuspect &Each) {
    return m_Tracker.crashCount(Each, Now) > 0 ||
           m_Tracker.isSuspect(Each, Now) || m_Tracker.isAmbiguous(Each, Now);
  });
}

bool CrashGuard::anySuspect(TimePoint Now) const {
  return std::any_of(m_All.begin(), m_All.end(), [&](const CrashSuspect &Each) {
    return m_Tracker.isSuspect(Each, Now);
  });
}

void CrashGuard::narrowCandidates(
    std::vector<const UpstreamInstance *> &Candidates, bool ConnectionBroke,
    TimePoint Now) const {
  const bool SeveralCrashes = anySuspect(Now);
  const std::size_t Left = SeveralCrashes ? 1 : (Candidates.size() + 1) / 2;
  if (Candidates.size() < 2 ||
      !(SeveralCrashes || ConnectionBroke || blamed(Now)))
    return;
  // Rendezvous hashing lets all boxes choose the same upstreams without
  // communication.
  const auto Weight = [&](const UpstreamInstance *Candidate) {
    return stableHash(Candidate->m_Id, digest().str());
  };
  std::sort(
      Candidates.begin(), Candidates.end(),
      [&](const auto *A, const auto *B) { return Weight(A) > Weight(B); });
  Candidates.resize(Left);
}

std::optional<Duration> CrashGuard::retryDelay(double Random, Duration TimeLeft,
                                               TimePoint Now) {
  const bool Ambiguous =
      std::any_of(m_All.begin(), m_All.end(), [&](const CrashSuspect &Each) {
        return m_Tracker.isAmbiguous(Each, Now);
      });
  if (!Ambiguous && !anySuspect(Now))
    return std::nullopt;
  if (!m_DelayedUntil) {
    const Duration Within = std::min(MaxRetryDelay, TimeLeft / 2);
    m_DelayedUntil = Now + Duration(static_cast<Duration::rep>(
                               Random * static_cast<double>(Within.count())));
  }
  if (Now < *m_DelayedUntil)
    return *m_DelayedUntil - Now;
  m_DelayedUntil.reset();
  return std::nullopt;
}

/// A stream that had run for seconds is not blamed: it would otherwise be on
/// one crashed upstream after the other and be quarantined, and the request
/// that caused the crashes would be exonerated.
void CrashGuard::onConnectionBroken(const UpstreamIncarnation &Upstream,
                                    std::optional<TimePoint> Started,
                                    TimePoint Now) const {
  const bool Blameless = Started && Now - *Started >= BlameWindow;
  if (const std::shared_ptr<CrashService> Service = m_Service.lock())
    Service->onConnectionBroken(
        Upstream, Blameless ? std::nullopt : std::optional(m_Suspects));
}

void CrashGuard::onConnectFailed(const UpstreamIncarnation &Upstream) const {
  if (const std::shared_ptr<CrashService> Service = m_Service.lock())
    Service->onConnectFailed(Upstream);
}

void CrashGuard::onCompleted(const UpstreamIncarnation &Upstream,
                             TimePoint Started) const {
  if (const std::shared_ptr<CrashService> Service = m_Service.lock())
    Service->onCompleted(Upstream, m_Suspects, Started);
}

void CrashGuard::onWriting(TimePoint Started, TimePoint Now) {
  if (m_PartsHarmless || m_Suspects.m_Parts.empty() ||
      Now - Started < BlameWindow)
    return;
  m_PartsHarmless = true;
  if (const std::shared_ptr<CrashService> Service = m_Service.lock())
    Service->onHarmless(m_Suspects.m_Parts, Started);
}

} // namespace havenstair
