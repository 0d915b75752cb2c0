/// \file
/// `make bench`, first table: the policies under the same workloads.
#include "Policies.h"
#include "Simulation.h"
#include "Workload.h"

#include <algorithm>
#include <cstdio>
#include <cstring>

namespace {

using namespace havenstair;
using namespace havenstair::bench;

constexpr std::uint64_t Seed = 20261202;

double median(std::vector<double> Values) {
  if (Values.empty())
    return 0;
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

void printHead() {
  std::printf("%-13s %-14s %-14s %9s %8s %8s %7s %8s %8s %7s %10s\n",
              "deployment", "workload", "policy", "requests", "attained",
              "met/acc", "polite", "refused", "after ms", "moves", "cached");
}

void printRow(const Deployment &Size, const Workload &Of, const Policy &Rules,
              const Outcome &Got) {
  const auto Requests =
      static_cast<double>(std::max<std::uint64_t>(1, Got.m_Requests));
  std::printf(
      "%-13s %-14s %-14s %9llu %7.1f%% %8.1f %6.1f%% %7.1f%% %8.1f "
      "%7d %9.1f%%",
      Size.m_Name.c_str(), Of.m_Name.c_str(), Rules.m_Name.c_str(),
      static_cast<unsigned long long>(Got.m_Requests), 100 * Got.attainment(),
      static_cast<double>(Got.m_Met) / Size.m_Engines, 100 * Got.leastPolite(),
      100 * static_cast<double>(Got.m_Refused) / Requests,
      median(Got.m_RefusedAfterMs), Got.moves(),
      100 * static_cast<double>(Got.m_Cached) / Requests);
  for (const auto &[Reason, Count] : Got.m_Moves)
    std::printf("  %s %d", std::string(moveReasonName(Reason)).c_str(), Count);
  std::printf("\n");
  std::fflush(stdout);
}

void runAll(const Deployment &Size, const std::string &Only) {
  std::vector<Policy> Policies{staticPlacement(), loadOnDemand(),
                               firstVersion(Size.m_FewMoves),
                               current(Size.m_FewMoves)};
  // The other end of the setting, for comparison.
  Policy Other = current(1 - Size.m_FewMoves);
  Other.m_Name = Size.m_FewMoves == 0 ? "few-moves" : "attainment";
  Policies.push_back(Other);
  for (const std::string &Name : workloadNames()) {
    if (!Only.empty() && Only != Name)
      continue;
    const Workload Made = makeWorkload(Name, Size, Seed);
    for (const Policy &Rules : Policies)
      printRow(Size, Made, Rules, simulate(Made, Size, Rules));
  }
}

} // namespace

/// Usage: havenstair-bench [WORKLOAD [DEPLOYMENT]]; without, all of them.
int main(int Count, char **Values) {
  const std::string Only = Count > 1 ? Values[1] : "";
  const std::string Size = Count > 2 ? Values[2] : "";
  if (Only.empty() || Only == "head")
    printHead();
  for (const Deployment &Each : {cooperative(), consortium()})
    if (Size.empty() || Size == Each.m_Name)
      runAll(Each, Only);
  return 0;
}
