#include "soak/PartitionOracle.h"

#include <algorithm>

namespace havenstair {

void PartitionOracle::began(const std::set<std::string> &Boxes, TimePoint At) {
  m_Partitions.push_back({Boxes, At, TimePoint::max()});
}

void PartitionOracle::ended(TimePoint At) { m_Partitions.back().m_To = At; }

void PartitionOracle::sent(const CallerRequest &Request) {
  m_Tries[Request.m_Id] = {Request.m_Box, Request.m_At, false};
}

void PartitionOracle::answered(const CallerAnswer &Answer) {
  const auto Found = m_Tries.find(Answer.m_Id);
  if (Found != m_Tries.end())
    Found->second.m_Served = Answer.m_Complete && Answer.m_Status / 100 == 2;
}

void PartitionOracle::finish(TimePoint At) {
  for (Partition &Each : m_Partitions) {
    Each.m_To = std::min(Each.m_To, At);
    judge(Each);
  }
}

PartitionOracle::Count PartitionOracle::count(const Partition &Of,
                                              bool Cut) const {
  Count Result;
  for (const auto &[Id, Each] : m_Tries) {
    const bool Within =
        Each.m_At >= Of.m_From + m_Bounds.m_Contact && Each.m_At <= Of.m_To;
    if (!Within || Of.m_Boxes.contains(Each.m_Box) != Cut ||
        !m_Trouble.calm(Each.m_Box, Each.m_At - m_Bounds.m_Contact, Each.m_At))
      continue;
    ++Result.m_Tries;
    Result.m_Served += Each.m_Served ? 1 : 0;
  }
  return Result;
}

void PartitionOracle::judge(const Partition &Of) {
  const Count Cut = count(Of, true);
  const Count Others = count(Of, false);
  if (Cut.m_Tries == 0 || Others.m_Tries == 0)
    return;
  const int Failed = Cut.m_Tries - Cut.m_Served;
  const double Share = static_cast<double>(Cut.m_Served) / Cut.m_Tries;
  const double OtherShare =
      static_cast<double>(Others.m_Served) / Others.m_Tries;
  const double Forgiven =
      m_Bounds.m_PartitionFailures +
      m_Bounds.m_PartitionFailureRatio * (Cut.m_Tries + Others.m_Tries);
  if (Share >= m_Bounds.m_PartitionServed * OtherShare || Failed <= Forgiven)
    return;
  std::string Names;
  for (const std::string &Each : Of.m_Boxes)
    Names += (Names.empty() ? "" : ",") + Each;
  m_Broken({Promise::PartitionServed, Of.m_To, Names,
            "served " + std::to_string(Cut.m_Served) + " of " +
                std::to_string(Cut.m_Tries) + ", the others " +
                std::to_string(Others.m_Served) + " of " +
                std::to_string(Others.m_Tries)});
}

} // namespace havenstair
