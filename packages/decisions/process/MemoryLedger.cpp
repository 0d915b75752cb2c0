#include "decisions/process/MemoryLedger.h"

namespace havenstair {

MemoryLedger::MemoryLedger(MemoryMiB Capacity, MemoryMiB KvReserve)
    : m_Capacity(Capacity), m_KvReserve(KvReserve) {}

MemoryMiB MemoryLedger::taken() const {
  MemoryMiB Sum = m_KvReserve;
  for (const auto &[Name, Entry] : m_Entries)
    Sum += Entry.m_Size;
  return Sum;
}

bool MemoryLedger::tryReserve(const ArtifactName &Artifact, MemoryMiB Size) {
  if (Size < 0 || Size > available() || m_Entries.count(Artifact) != 0)
    return false;
  forceReserve(Artifact, Size);
  return true;
}

void MemoryLedger::forceReserve(const ArtifactName &Artifact, MemoryMiB Size) {
  m_Entries.emplace(Artifact, LedgerEntry{.m_Artifact = Artifact,
                                          .m_Size = Size,
                                          .m_Residency = Residency::Loading});
}

bool MemoryLedger::beginUnload(const ArtifactName &Artifact) {
  const auto Found = m_Entries.find(Artifact);
  if (Found == m_Entries.end() ||
      Found->second.m_Residency != Residency::Resident)
    return false;
  Found->second.m_Residency = Residency::Unloading;
  return true;
}

void MemoryLedger::confirmResident(const ArtifactName &Artifact,
                                   MemoryMiB Size) {
  LedgerEntry &Entry = m_Entries[Artifact];
  // A report that was sent before the unload must not undo it.
  const bool Unloading =
      Entry.m_Residency == Residency::Unloading && !Entry.m_Artifact.empty();
  Entry.m_Artifact = Artifact;
  Entry.m_Size = Size;
  Entry.m_Residency = Unloading ? Residency::Unloading : Residency::Resident;
}

void MemoryLedger::release(const ArtifactName &Artifact) {
  m_Entries.erase(Artifact);
}

bool MemoryLedger::trySetKvReserve(MemoryMiB Reserve) {
  const MemoryMiB Artifacts = taken() - m_KvReserve;
  if (Reserve < 0 || Artifacts + Reserve > m_Capacity)
    return false;
  m_KvReserve = Reserve;
  return true;
}

const LedgerEntry *MemoryLedger::find(const ArtifactName &Artifact) const {
  const auto Found = m_Entries.find(Artifact);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

std::vector<LedgerEntry> MemoryLedger::entries() const {
  std::vector<LedgerEntry> Result;
  Result.reserve(m_Entries.size());
  for (const auto &[Name, Entry] : m_Entries)
    Result.push_back(Entry);
  return Result;
}

} // namespace havenstair
