#include "wire/process/PlatformWatch.h"

#include <algorithm>

namespace havenstair {

PlatformWatch::PlatformWatch(EventLoop &Loop, Options Opts)
    : m_Loop(Loop), m_Opts(std::move(Opts)),
      m_Backoff({.m_First = m_Opts.m_RetryFirst,
                 .m_Cap = m_Opts.m_RetryCap,
                 .m_Random = m_Opts.m_Random}) {
  readOnce();
}

PlatformWatch::~PlatformWatch() { *m_Alive = false; }

void PlatformWatch::readOnce() {
  const PlatformWait Wait{.m_After = m_After, .m_Wait = m_Opts.m_Wait};
  m_Opts.m_Read(Wait, [this, Alive = m_Alive](PlatformStatus Status,
                                              PlatformIndex Index) {
    if (*Alive)
      finished(Status, Index);
  });
}

void PlatformWatch::finished(PlatformStatus Status, PlatformIndex Index) {
  m_Current =
      Status == PlatformStatus::Ok || Status == PlatformStatus::NotFound;
  if (!m_Current) {
    m_Retry = m_Loop.after(m_Backoff.next(), [this] { readOnce(); });
    return;
  }
  m_Backoff.reset();
  // A lower index means that the service was restored, so the watch restarts.
  m_After = Index < m_After ? 0 : Index;
  m_Retry = m_Loop.after(m_Opts.m_Gap, [this] { readOnce(); });
  m_Opts.m_Gap = std::min(m_Opts.m_Gap * 2, m_Opts.m_MaxGap);
}

} // namespace havenstair
