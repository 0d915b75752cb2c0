#include "decisions/process/StoreEraTracker.h"

#include <utility>

namespace havenstair {

StoreEraTracker::StoreEraTracker(Hooks Callbacks)
    : m_Hooks(std::move(Callbacks)) {}

void StoreEraTracker::raise(StoreEra Era, const BoxName &By) {
  const bool Restored = std::exchange(m_Known, true);
  if (Restored && Era <= m_Current)
    return;
  const StoreEra Before = std::exchange(m_Current, Era);
  if (Restored)
    ++m_Restores;
  m_Hooks.m_Changed(
      {.m_Before = Before, .m_Now = Era, .m_By = By, .m_Restored = Restored});
}

std::optional<StoreEra>
StoreEraTracker::admit(const EraReport &Report,
                       std::optional<StoreEra> SentUnder) {
  if (Report.m_Malformed)
    m_Hooks.m_Ignored(Report);
  if (!Report.m_Era) {
    // The store may have been restored since the call was sent.
    const StoreEra Era = SentUnder.value_or(FirstEra);
    if (!m_Known)
      raise(Era, BoxName());
    return Era == m_Current ? std::optional(Era) : std::nullopt;
  }
  if (m_Known && *Report.m_Era < m_Current) {
    m_Hooks.m_Ignored(Report);
    return std::nullopt;
  }
  raise(*Report.m_Era, BoxName());
  return m_Current;
}

void StoreEraTracker::learn(StoreEra Era, const BoxName &By) {
  if (Era > m_Current)
    raise(Era, By);
}

} // namespace havenstair
