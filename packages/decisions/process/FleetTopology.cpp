#include "decisions/process/FleetTopology.h"

#include "decisions/common/StableHash.h"
#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// Boxes come in classes of machines whose network and processors differ by
/// more than this factor.
constexpr double MuchStrongerFactor = 2;

bool muchStronger(double Capacity, double Than) {
  return Capacity >= MuchStrongerFactor * Than;
}

/// A relay as a leaf ranks it; the greatest is the most preferred.
struct Candidate {
  bool m_Strong = false;
  std::uint64_t m_Hash = 0;
  BoxName m_Box;

  auto operator<=>(const Candidate &) const = default;
};

} // namespace

FleetTopology::FleetTopology(FleetMember Self, Options Opts)
    : m_Self(std::move(Self)), m_Opts(Opts) {
  rebuild();
}

void FleetTopology::setMembers(std::vector<FleetMember> Others) {
  m_Others = std::move(Others);
  rebuild();
}

bool FleetTopology::setLeader(const BoxName &Leader) {
  if (Leader == m_Leader)
    return false;
  const std::set<BoxName> Before = m_Relays;
  m_Leader = Leader;
  rebuild();
  return m_Relays != Before;
}

void FleetTopology::rebuild() {
  std::vector<FleetMember> All = m_Others;
  All.push_back(m_Self);
  m_Flat = All.size() <= m_Opts.m_MaxMeshSize;
  m_Relays.clear();
  std::map<DataCentreName, std::vector<FleetMember>> ByDataCentre;
  for (const FleetMember &Each : All) {
    if (m_Flat || Each.m_Box == m_Leader)
      m_Relays.insert(Each.m_Box);
    ByDataCentre[Each.m_DataCentre].push_back(Each);
  }
  const auto Stronger = [](const FleetMember &A, const FleetMember &B) {
    return A.m_Capacity != B.m_Capacity ? A.m_Capacity > B.m_Capacity
                                        : A.m_Box < B.m_Box;
  };
  for (auto &[DataCentre, Members] : ByDataCentre) {
    std::sort(Members.begin(), Members.end(), Stronger);
    for (std::size_t Rank = 0;
         Rank < std::min(m_Opts.m_RelaysPerDataCentre, Members.size()); ++Rank)
      m_Relays.insert(Members[Rank].m_Box);
  }
  m_RelaysOf.clear();
  for (const FleetMember &Each : All)
    if (isRelay(Each.m_Box))
      m_RelaysOf[Each.m_DataCentre].insert(Each.m_Box);
  m_Links.clear();
  if (!relay()) {
    m_Links = leafLinks();
    return;
  }
  for (const BoxName &Relay : m_Relays)
    if (Relay != m_Self.m_Box)
      m_Links.push_back(Relay);
}

const std::set<BoxName> &
FleetTopology::relaysOf(const DataCentreName &DataCentre) const {
  const auto Found = m_RelaysOf.find(DataCentre);
  return Found == m_RelaysOf.end() ? m_Relays : Found->second;
}

bool FleetTopology::stronger(const BoxName &Box) const {
  return std::any_of(m_Others.begin(), m_Others.end(),
                     [&](const FleetMember &Each) {
                       return Each.m_Box == Box &&
                              muchStronger(Each.m_Capacity, m_Self.m_Capacity);
                     });
}

/// Spreads leaves over the strong relays of their data centre, with the weak
/// ones as a fallback: a relay as small as a leaf takes as long as the leaf for
/// what it forwards, so the leaf would wait twice. One relay of another data
/// centre is for the case that all of these are gone.
std::vector<BoxName> FleetTopology::leafLinks() const {
  double Strongest = 0;
  for (const FleetMember &Each : m_Others)
    if (isRelay(Each.m_Box) && Each.m_DataCentre == m_Self.m_DataCentre)
      Strongest = std::max(Strongest, Each.m_Capacity);
  std::vector<Candidate> Near;
  std::vector<std::pair<std::uint64_t, BoxName>> Far;
  for (const FleetMember &Each : m_Others) {
    if (!isRelay(Each.m_Box))
      continue;
    const std::uint64_t Hash = stableHash(Each.m_Box.str(), m_Self.m_Box.str());
    if (Each.m_DataCentre == m_Self.m_DataCentre)
      Near.push_back({.m_Strong = !muchStronger(Strongest, Each.m_Capacity),
                      .m_Hash = Hash,
                      .m_Box = Each.m_Box});
    else
      Far.emplace_back(Hash, Each.m_Box);
  }
  std::sort(Near.rbegin(), Near.rend());
  std::sort(Far.rbegin(), Far.rend());
  std::vector<BoxName> Result;
  for (const Candidate &Each : Near)
    Result.push_back(Each.m_Box);
  if (!Far.empty())
    Result.push_back(Far.front().second);
  return Result;
}

} // namespace havenstair
