#include "decisions/process/UpstreamDirectory.h"

#include <algorithm>
#include <tuple>

namespace havenstair {

bool UpstreamDirectory::apply(const UpstreamList &List) {
  if (List.m_Index <= m_Index)
    return false;
  m_Index = List.m_Index;
  m_Specs.clear();
  for (const UpstreamSpec &Spec : List.m_Upstreams)
    m_Specs[Spec.m_Name] = Spec;
  // What a peer saw in an even newer list stays marked.
  std::erase_if(m_Leaving,
                [&](const auto &Item) { return Item.second <= m_Index; });
  for (const auto &[Name, Spec] : m_Specs)
    if (Spec.m_Leaving)
      m_Leaving[Name] = m_Index;
  std::erase_if(m_Digests, [&](const auto &Item) {
    const bool Gone = m_Specs.count(Item.first) == 0;
    if (Gone)
      unindexServing(Item.second);
    return Gone;
  });
  std::erase_if(m_SentSince, [&](const auto &Item) {
    return m_Specs.count(Item.first) == 0;
  });
  return true;
}

bool UpstreamDirectory::apply(const UpstreamDigest &Digest) {
  UpstreamDigest &Known = m_Digests[Digest.m_Upstream];
  const auto Version = [](const UpstreamDigest &Item) {
    return std::tie(Item.m_Assignment, Item.m_Sequence);
  };
  if (!Known.m_Upstream.empty() && Version(Digest) <= Version(Known))
    return false;
  const std::set<ArtifactName> Served = Known.m_Serving;
  unindexServing(Known);
  Known = Digest;
  // A new owner that has not read the ledger yet knows less than this box.
  if (!Digest.m_Ready)
    Known.m_Serving.insert(Served.begin(), Served.end());
  indexServing(Known);
  m_SentSince.erase(Digest.m_Upstream);
  return true;
}

void UpstreamDirectory::applyLoad(const UpstreamName &Upstream,
                                  const UpstreamLoad &Load) {
  const auto Found = m_Digests.find(Upstream);
  if (Found == m_Digests.end())
    return;
  Found->second.m_Load = Load;
  m_SentSince.erase(Upstream);
}

void UpstreamDirectory::indexServing(const UpstreamDigest &Digest) {
  for (const ArtifactName &Name : Digest.m_Serving)
    m_ServedBy[Name].insert(Digest.m_Upstream);
}

void UpstreamDirectory::unindexServing(const UpstreamDigest &Digest) {
  for (const ArtifactName &Name : Digest.m_Serving) {
    const auto Found = m_ServedBy.find(Name);
    if (Found == m_ServedBy.end())
      continue;
    Found->second.erase(Digest.m_Upstream);
    if (Found->second.empty())
      m_ServedBy.erase(Found);
  }
}

void UpstreamDirectory::markLeaving(const UpstreamName &Upstream,
                                    std::uint64_t Index) {
  if (Index <= m_Index)
    return;
  std::uint64_t &Known = m_Leaving[Upstream];
  Known = std::max(Known, Index);
}

void UpstreamDirectory::recordSent(const UpstreamName &Upstream) {
  ++m_SentSince[Upstream];
}

const UpstreamSpec *
UpstreamDirectory::find(const UpstreamName &Upstream) const {
  const auto Found = m_Specs.find(Upstream);
  return Found == m_Specs.end() ? nullptr : &Found->second;
}

bool UpstreamDirectory::mayTakeWork(const UpstreamName &Upstream) const {
  return m_Specs.count(Upstream) != 0 && m_Leaving.count(Upstream) == 0;
}

const UpstreamDigest *
UpstreamDirectory::digestOf(const UpstreamName &Upstream) const {
  const auto Found = m_Digests.find(Upstream);
  return Found == m_Digests.end() ? nullptr : &Found->second;
}

double UpstreamDirectory::pressureOf(const UpstreamSpec &Spec) const {
  const int Slots = std::max(1, Spec.m_Slots);
  double Pressure = 0;
  if (const UpstreamDigest *Digest = digestOf(Spec.m_Name))
    Pressure = Digest->m_Load.pressure();
  if (const auto Sent = m_SentSince.find(Spec.m_Name);
      Sent != m_SentSince.end())
    Pressure += static_cast<double>(Sent->second) / Slots;
  return Pressure;
}

std::vector<Candidate>
UpstreamDirectory::serving(const ArtifactName &Model,
                           const std::set<UpstreamName> &Except) const {
  std::vector<Candidate> Result;
  const auto Found = m_ServedBy.find(Model);
  if (Found == m_ServedBy.end())
    return Result;
  for (const UpstreamName &Name : Found->second)
    if (Except.count(Name) == 0 && mayTakeWork(Name))
      Result.push_back({Name, pressureOf(*find(Name))});
  return Result;
}

std::vector<Candidate>
UpstreamDirectory::ofService(const std::string &Service,
                             const std::set<UpstreamName> &Except) const {
  std::vector<Candidate> Result;
  for (const auto &[Name, Spec] : m_Specs) {
    const bool Matches =
        Spec.m_Kind == UpstreamKind::Service && Spec.m_Service == Service;
    if (Matches && Except.count(Name) == 0 && mayTakeWork(Name))
      Result.push_back({Name, pressureOf(Spec)});
  }
  return Result;
}

std::vector<UpstreamSpec> UpstreamDirectory::upstreams() const {
  std::vector<UpstreamSpec> Result;
  for (const auto &[Name, Spec] : m_Specs) {
    Result.push_back(Spec);
    Result.back().m_Leaving = m_Leaving.count(Name) != 0;
  }
  return Result;
}

} // namespace havenstair
