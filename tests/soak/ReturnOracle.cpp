#include "soak/ReturnOracle.h"

#include <algorithm>

namespace havenstair {

namespace {

/// With fewer tries at a box, chance alone may refuse them.
constexpr int LeastTriesOfBox = 12;

} // namespace

void ReturnOracle::Count::add(const Try &Each) {
  ++m_Tries;
  m_Served += Each.m_Served ? 1 : 0;
}

bool ReturnOracle::Count::reaches(double Share) const {
  return m_Served >= Share * m_Tries;
}

std::string ReturnOracle::Count::str() const {
  return std::to_string(m_Served) + " of " + std::to_string(m_Tries);
}

void ReturnOracle::lost(TimePoint At) {
  if (!m_Losses.empty())
    m_Losses.back().m_Until = std::min(m_Losses.back().m_Until, At);
  m_Losses.push_back({.m_LostAt = At});
}

void ReturnOracle::back(TimePoint At) { m_Losses.back().m_BackAt = At; }

void ReturnOracle::sent(const CallerRequest &Request) {
  m_Tries[Request.m_Id] = {.m_Box = Request.m_Box, .m_At = Request.m_At};
}

void ReturnOracle::answered(const CallerAnswer &Answer) {
  const auto Found = m_Tries.find(Answer.m_Id);
  if (Found == m_Tries.end())
    return;
  Found->second.m_Served = Answer.m_Complete && Answer.m_Status / 100 == 2;
  Found->second.m_ServedAt = Answer.m_At;
}

void ReturnOracle::brought(const std::string &Id, TimePoint At) {
  const auto Found = m_Tries.find(Id);
  if (Found == m_Tries.end())
    return;
  Found->second.m_Served = true;
  Found->second.m_ServedAt = At;
}

void ReturnOracle::finish(TimePoint At) {
  for (Loss &Each : m_Losses) {
    Each.m_Until = std::min(Each.m_Until, At);
    judge(Each);
  }
}

ReturnOracle::Count ReturnOracle::before(const Loss &Of) const {
  Count Result;
  for (const auto &[Id, Each] : m_Tries)
    if (Each.m_At < Of.m_LostAt - m_Bounds.m_LossMargin)
      Result.add(Each);
  return Result;
}

ReturnOracle::Count ReturnOracle::after(const Loss &Of) const {
  Count Result;
  for (const auto &[Id, Each] : m_Tries)
    if (Each.m_At >= Of.m_BackAt + m_Bounds.m_Recovery &&
        Each.m_At < Of.m_Until)
      Result.add(Each);
  return Result;
}

void ReturnOracle::judge(const Loss &Of) const {
  if (Of.m_BackAt == TimePoint::max() || !before(Of).reaches(m_Bounds.m_Back))
    return;
  judge(Of, "all boxes", after(Of));
  std::map<std::string, Count> ByBox;
  for (const auto &[Id, Each] : m_Tries)
    if (Each.m_At >= Of.m_BackAt + m_Bounds.m_Recovery &&
        Each.m_At < Of.m_Until &&
        m_Trouble.calm(Each.m_Box, Each.m_At - m_Bounds.m_Contact, Each.m_At))
      ByBox[Each.m_Box].add(Each);
  for (const auto &[Box, Each] : ByBox)
    if (Each.m_Tries >= LeastTriesOfBox)
      judge(Of, Box, Each);
}

void ReturnOracle::judge(const Loss &Of, const std::string &Subject,
                         const Count &Now) const {
  if (Now.m_Tries == 0 || Now.reaches(m_Bounds.m_Back))
    return;
  m_Broken({Promise::ServiceBack, Of.m_BackAt + m_Bounds.m_Recovery, Subject,
            "served " + Now.str() + " later than " +
                std::to_string(m_Bounds.m_Recovery / 1ms) +
                " ms after the last box was back, and " + before(Of).str() +
                " before the loss"});
}

ReturnOracle::Report ReturnOracle::report(const Loss &Of) const {
  Report Result{.m_BackAt = Of.m_BackAt};
  for (const auto &[Id, Each] : m_Tries) {
    if (Each.m_At < Of.m_BackAt || Each.m_At >= Of.m_Until)
      continue;
    const auto Second = std::chrono::duration_cast<std::chrono::seconds>(
        Each.m_At - Of.m_BackAt);
    auto &[Served, Tries] = Result.m_BySecond[Second];
    ++Tries;
    Served += Each.m_Served ? 1 : 0;
    if (Each.m_Served)
      Result.m_FirstServed =
          std::min(Result.m_FirstServed.value_or(Duration::max()),
                   Duration(Each.m_ServedAt - Of.m_BackAt));
  }
  return Result;
}

std::vector<ReturnOracle::Report> ReturnOracle::reports() const {
  std::vector<Report> Result;
  for (const Loss &Each : m_Losses)
    if (Each.m_BackAt != TimePoint::max())
      Result.push_back(report(Each));
  return Result;
}

} // namespace havenstair
