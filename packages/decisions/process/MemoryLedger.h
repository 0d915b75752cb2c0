/// \file
/// Exact account of one accelerator's memory.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_MEMORYLEDGER_H
#define HAVENSTAIR_DECISIONS_PROCESS_MEMORYLEDGER_H

#include "decisions/common/Id.h"
#include <map>
#include <vector>

namespace havenstair {

/// Where an artifact stands on its way into and out of memory.
enum class Residency {
  Loading,  ///< Reserved; the load may or may not have happened.
  Resident, ///< Seen in the engine's own report.
  Unloading ///< Still counted; the unload has not been seen.
};

/// One artifact's entry in the ledger.
struct LedgerEntry {
  ArtifactName m_Artifact;
  MemoryMiB m_Size = 0;
  Residency m_Residency = Residency::Loading;

  bool operator==(const LedgerEntry &) const = default;
};

/// Counts memory as taken from before a load is ordered until after its
/// unload is seen. The sum of all entries and of the reserve for KV cache
/// never exceeds the capacity by an act of this class; only a report of the
/// engine may show more.
class MemoryLedger {
public:
  /// \param Capacity memory of the accelerator.
  /// \param KvReserve part that is kept for the KV cache.
  MemoryLedger(MemoryMiB Capacity, MemoryMiB KvReserve);

  MemoryMiB capacity() const { return m_Capacity; }
  MemoryMiB kvReserve() const { return m_KvReserve; }
  MemoryMiB taken() const;
  MemoryMiB available() const { return m_Capacity - taken(); }

  /// Reserves \p Size for \p Artifact. \returns false, and changes nothing,
  /// when it does not fit or an entry exists.
  bool tryReserve(const ArtifactName &Artifact, MemoryMiB Size);

  /// Counts \p Size as taken even beyond the capacity. For orders of an
  /// earlier owner, which may take effect whatever this box decides.
  void forceReserve(const ArtifactName &Artifact, MemoryMiB Size);

  /// Marks a resident artifact as being unloaded; its memory stays counted.
  /// \returns false when it is not resident.
  bool beginUnload(const ArtifactName &Artifact);

  /// Takes over what the engine reports: \p Artifact is resident.
  void confirmResident(const ArtifactName &Artifact, MemoryMiB Size);

  /// Frees the memory of \p Artifact; for an unload or refusal that was seen.
  void release(const ArtifactName &Artifact);

  /// Changes the reserve for the KV cache, as a role change does.
  /// \returns false, and changes nothing, when it does not fit.
  bool trySetKvReserve(MemoryMiB Reserve);

  const LedgerEntry *find(const ArtifactName &Artifact) const;
  std::vector<LedgerEntry> entries() const;

private:
  MemoryMiB m_Capacity;
  MemoryMiB m_KvReserve;
  std::map<ArtifactName, LedgerEntry> m_Entries;
};

} // namespace havenstair

#endif
