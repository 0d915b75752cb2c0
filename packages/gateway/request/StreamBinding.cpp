#include "gateway/request/StreamBinding.h"

#include "decisions/process/UpstreamInstance.h"
#include <algorithm>
#include <cstddef>
#include <utility>

namespace havenstair {

namespace {

/// Longer ids are not remembered: ids come from callers.
constexpr std::size_t MaxAttemptBytes = 64;

/// How long a doubt is remembered: as long as any stream.
constexpr Duration DoubtAge = 120s;

} // namespace

StreamBinding::StreamBinding(std::weak_ptr<StreamOriginService> Service,
                             Subject About)
    : m_Origins(std::move(Service)), m_Subject(std::move(About)),
      m_State(m_Subject.m_Continues ? State::Open : State::Free),
      m_Self(std::make_shared<StreamBinding *>(this)) {}

void StreamBinding::preferStored(
    std::vector<const UpstreamInstance *> &Candidates, TimePoint Now) const {
  const std::shared_ptr<StreamOriginService> Origins = m_Origins.lock();
  if (!Origins || m_State != State::Free)
    return;
  const auto Unstored = std::stable_partition(
      Candidates.begin(), Candidates.end(), [&](const UpstreamInstance *Each) {
        return Origins->mayBegin(Each->m_Service, Each->m_Software, Now);
      });
  if (Unstored != Candidates.begin())
    Candidates.erase(Unstored, Candidates.end());
}

void StreamBinding::ask(const std::string &Service,
                        std::function<void(const FoundOrigin &)> Callback) {
  m_State = State::Asked;
  const std::shared_ptr<StreamOriginService> Origins = m_Origins.lock();
  if (!Origins || m_Subject.m_Resumes.size() > MaxAttemptBytes) {
    onFound({});
    return Callback({});
  }
  Origins->find(m_Subject.m_Resumes, Service,
                [Weak = std::weak_ptr(m_Self),
                 Callback = std::move(Callback)](const FoundOrigin &Found) {
                  const auto Self = Weak.lock();
                  if (!Self)
                    return;
                  (*Self)->onFound(Found);
                  Callback(Found);
                });
}

/// A stream is continued by the request that began it only: a record of another
/// request does not tell where this one may go on.
void StreamBinding::onFound(const FoundOrigin &Found) {
  const bool Other =
      Found.m_Origin && Found.m_Origin->m_Request != m_Subject.m_Digest;
  if (Found.m_Software.empty() || Other) {
    m_State = State::Unknown;
    return;
  }
  bind(Found.m_Software);
  if (Found.m_Origin)
    m_Service = Found.m_Origin->m_Service;
}

void StreamBinding::bind(const SoftwareVersion &Software) {
  m_State = State::Bound;
  m_Software = Software;
}

void StreamBinding::onEvent(const std::string &Service,
                            const SoftwareVersion &Software, Duration Left) {
  if (m_Recorded)
    return;
  m_Recorded = true;
  m_Service = Service;
  if (m_State == State::Free && !Software.empty())
    bind(Software);
  // Others learn of a stream of an unknown version too: one that nobody knows
  // may be taken for one of the first version.
  if (m_State != State::Bound) {
    m_State = State::Unknown;
    m_Software = SoftwareVersion();
  }
  record(Left);
}

void StreamBinding::onDoubt() {
  m_State = State::Unknown;
  m_Software = SoftwareVersion();
  record(DoubtAge);
}

/// A caller that takes a stream up names the attempt that brought its first
/// event, whichever attempt brought the last one.
void StreamBinding::record(Duration Left) const {
  const std::string &Attempt =
      m_Subject.m_Continues ? m_Subject.m_Resumes : m_Subject.m_Attempt;
  const std::shared_ptr<StreamOriginService> Origins = m_Origins.lock();
  if (Origins && !Attempt.empty() && Attempt.size() <= MaxAttemptBytes)
    Origins->record(Attempt,
                    {.m_Service = m_Service,
                     .m_Software = *m_Software,
                     .m_Request = m_Subject.m_Digest},
                    Left);
}

} // namespace havenstair
