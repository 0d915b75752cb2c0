#include "decisions/process/LoadBook.h"

#include <algorithm>
#include <cmath>

namespace havenstair {

namespace {

/// Work that other boxes should know of before they choose.
constexpr double WorthTellingMs = 25;

} // namespace

void LoadBook::sent(const InstanceId &To, double WorkMs, double Tokens) {
  m_Own[To] += {.m_Running = 1, .m_PendingMs = WorkMs, .m_Tokens = Tokens};
}

void LoadBook::started(const InstanceId &To, double WorkMs) {
  const auto Found = m_Own.find(To);
  if (Found == m_Own.end())
    return;
  double &Pending = Found->second.m_PendingMs;
  Pending = std::max(0.0, Pending - WorkMs);
}

void LoadBook::ended(const InstanceId &To, double Tokens) {
  const auto Found = m_Own.find(To);
  if (Found == m_Own.end())
    return;
  InstanceLoad &Load = Found->second;
  Load.m_Tokens = std::max(0.0, Load.m_Tokens - Tokens);
  // Sums of fractions leave a rest; nothing runs, so nothing is left.
  if (--Load.m_Running <= 0)
    m_Own.erase(Found);
}

void LoadBook::told(const BoxName &Box, InstanceLoads Loads, TimePoint Now) {
  m_Told[Box] = {.m_Loads = std::move(Loads), .m_At = Now};
}

void LoadBook::apply(const InstanceLoads &Changes, InstanceLoads &To) {
  for (const auto &[Id, Load] : Changes) {
    if (Load == InstanceLoad{})
      To.erase(Id);
    else
      To[Id] = Load;
  }
}

void LoadBook::toldChanges(const BoxName &Box, const InstanceLoads &Changes,
                           TimePoint Now) {
  const auto Found = m_Told.find(Box);
  // Changes mean nothing without what they change.
  if (Found == m_Told.end())
    return;
  Found->second.m_At = Now;
  apply(Changes, Found->second.m_Loads);
}

void LoadBook::toldTotals(const BoxName &Box, const InstanceLoads &Changes,
                          bool Whole, TimePoint Now) {
  Word &Of = m_Told[Box];
  if (Whole)
    Of.m_Loads.clear();
  Of.m_At = Now;
  Of.m_CountsOwn = true;
  apply(Changes, Of.m_Loads);
}

void LoadBook::startedAgain(const InstanceId &Of) {
  m_Own.erase(Of);
  for (auto &[Box, Word] : m_Told)
    Word.m_Loads.erase(Of);
}

InstanceLoads LoadBook::takeChanges() {
  InstanceLoads Changes;
  for (const auto &[Id, Load] : m_Own) {
    const auto Before = m_Last.find(Id);
    const double Pending =
        Before == m_Last.end() ? 0 : Before->second.m_PendingMs;
    if (std::abs(Load.m_PendingMs - Pending) >= WorthTellingMs)
      Changes[Id] = Load;
  }
  for (const auto &[Id, Load] : m_Last)
    if (!m_Own.contains(Id) && Load.m_PendingMs >= WorthTellingMs)
      Changes[Id] = {};
  apply(Changes, m_Last);
  return Changes;
}

/// What runs there through other boxes, by the word \p Of. Where that was said
/// before it could count what this box told last, the rest would be negative.
InstanceLoad LoadBook::ofOthers(const Word &Of, const InstanceId &Id) const {
  const auto Found = Of.m_Loads.find(Id);
  if (Found == Of.m_Loads.end())
    return {};
  InstanceLoad Result = Found->second;
  const auto Own = m_Last.find(Id);
  if (!Of.m_CountsOwn || Own == m_Last.end())
    return Result;
  const InstanceLoad &Told = Own->second;
  Result.m_Running = std::max(0, Result.m_Running - Told.m_Running);
  Result.m_PendingMs = std::max(0.0, Result.m_PendingMs - Told.m_PendingMs);
  Result.m_Tokens = std::max(0.0, Result.m_Tokens - Told.m_Tokens);
  return Result;
}

InstanceLoad LoadBook::load(const InstanceId &Of, TimePoint Now) const {
  InstanceLoad Sum;
  if (const auto Own = m_Own.find(Of); Own != m_Own.end())
    Sum += Own->second;
  for (const auto &[Box, Word] : m_Told)
    if (Now - Word.m_At <= WordCounts)
      Sum += ofOthers(Word, Of);
  return Sum;
}

InstanceLoads LoadBook::sum(const std::function<bool(const BoxName &)> &Counts,
                            TimePoint Now) const {
  InstanceLoads Sum = m_Own;
  for (const auto &[Box, Word] : m_Told)
    if (Now - Word.m_At <= WordCounts && Counts(Box))
      for (const auto &[Id, Load] : Word.m_Loads)
        Sum[Id] += Load;
  return Sum;
}

} // namespace havenstair
