/// \file
/// Accounts for the memory of one accelerator.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_MEMORYLEDGER_H
#define HAVENSTAIR_DECISIONS_PROCESS_MEMORYLEDGER_H

#include "decisions/common/Id.h"
#include <map>
#include <vector>

namespace havenstair {

/// The state of an artifact between its load and its unload.
enum class Residency {
  Loading,  ///< Reserved; the engine may or may not have loaded it yet.
  Resident, ///< The engine reports it.
  Unloading ///< Still counted, as the engine has not confirmed the unload.
};

/// One artifact's entry in the ledger.
struct LedgerEntry {
  ArtifactName m_Artifact;
  MemoryMiB m_Size = 0;
  Residency m_Residency = Residency::Loading;

  bool operator==(const LedgerEntry &) const = default;
};

/// Counts memory as taken from before a load is ordered until its unload is
/// confirmed. Apart from `forceReserve` and `confirmResident`, which record
/// what engines do, no call lets the sum of all entries and the reserve for the
/// KV cache exceed the capacity.
class MemoryLedger {
public:
  /// \param Capacity memory of the accelerator.
  /// \param KvReserve memory that is kept for the KV cache.
  MemoryLedger(MemoryMiB Capacity, MemoryMiB KvReserve);

  MemoryMiB capacity() const { return m_Capacity; }
  MemoryMiB kvReserve() const { return m_KvReserve; }
  /// Memory of all entries and the reserve for the KV cache.
  MemoryMiB taken() const;
  MemoryMiB available() const { return m_Capacity - taken(); }

  /// Reserves \p Size for \p Artifact. \returns false, and changes nothing,
  /// when it does not fit or \p Artifact has an entry.
  bool tryReserve(const ArtifactName &Artifact, MemoryMiB Size);

  /// Counts \p Size as taken even beyond the capacity. For orders of a previous
  /// owner, which may still be carried out.
  void forceReserve(const ArtifactName &Artifact, MemoryMiB Size);

  /// Marks a resident artifact as being unloaded; its memory stays counted.
  /// \returns false when it is not resident.
  bool beginUnload(const ArtifactName &Artifact);

  /// Records that the engine reports \p Artifact as resident.
  void confirmResident(const ArtifactName &Artifact, MemoryMiB Size);

  /// Frees the memory of \p Artifact after a confirmed unload or a refused
  /// load.
  void release(const ArtifactName &Artifact);

  /// Changes the reserve for the KV cache, as a role change does.
  /// \returns false, and changes nothing, when it does not fit.
  bool trySetKvReserve(MemoryMiB Reserve);

  /// Null when \p Artifact has no entry.
  const LedgerEntry *find(const ArtifactName &Artifact) const;
  std::vector<LedgerEntry> entries() const;

private:
  MemoryMiB m_Capacity;
  MemoryMiB m_KvReserve;
  std::map<ArtifactName, LedgerEntry> m_Entries;
};

} // namespace havenstair

#endif
