#include "soak/SkewOracle.h"

#include <algorithm>

namespace havenstair {

namespace {

std::string quantile(std::vector<Duration> Of, double Part) {
  if (Of.empty())
    return "-";
  std::sort(Of.begin(), Of.end());
  const auto Index =
      static_cast<std::size_t>(Part * static_cast<double>(Of.size() - 1));
  return std::to_string(Of[Index] / 1ms);
}

} // namespace

double SkewOracle::Count::share() const {
  return m_Requests == 0 ? 1 : static_cast<double>(m_Served) / m_Requests;
}

std::string SkewOracle::Count::str() const {
  return std::to_string(m_Served) + " of " + std::to_string(m_Requests) +
         " (p50 " + quantile(m_Took, 0.5) + " ms, p95 " +
         quantile(m_Took, 0.95) + " ms; " + std::to_string(m_Unread) +
         " tries unread, " + std::to_string(m_NeverRead) + " never read)";
}

SkewOracle::Count SkewOracle::count(TimePoint From, TimePoint To) const {
  Count Result;
  for (const auto &Each : m_Results) {
    if (Each.m_At < From || Each.m_At >= To)
      continue;
    ++Result.m_Requests;
    Result.m_Served += Each.m_Served ? 1 : 0;
    Result.m_Unread += Each.m_Unread;
    Result.m_NeverRead += Each.m_Read ? 0 : 1;
    if (Each.m_Served)
      Result.m_Took.push_back(Each.m_Took);
  }
  return Result;
}

SkewOracle::Count SkewOracle::before() const {
  return count(m_From - m_Bounds.m_SkewBefore, m_From);
}

SkewOracle::Count SkewOracle::during() const {
  return count(m_From + m_Bounds.m_Contact, m_To);
}

void SkewOracle::finish() const {
  if (!played())
    return;
  const Count Before = before();
  const Count Now = during();
  if (Now.share() >= m_Bounds.m_SkewServed * Before.share())
    return;
  m_Broken({Promise::SkewServed, m_From + m_Bounds.m_Contact, "most new ones",
            "served " + Now.str() + ", before " + Before.str()});
}

} // namespace havenstair
