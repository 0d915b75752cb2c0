/// \file
/// Merges what one box knows of the upstreams it can reach: the platform's
/// list, the digests of their owners, and the requests that it sent since.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMDIRECTORY_H
#define HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMDIRECTORY_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/request/UpstreamAdmission.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

enum class UpstreamKind { Engine, Service };

/// One upstream as the platform lists it.
struct UpstreamSpec {
  UpstreamName m_Name;
  UpstreamKind m_Kind = UpstreamKind::Engine;
  std::string m_Service; ///< Name of the plain service; empty for engines.
  std::string m_Address; ///< IP address.
  int m_Port = 0;
  DataCentreName m_DataCentre;
  int m_Slots = 1;            ///< Requests that it runs at once.
  MemoryMiB m_Capacity = 0;   ///< Accelerator memory.
  MemoryMiB m_KvReserve = 0;  ///< Memory kept for the KV cache.
  bool m_ChecksTokens = true; ///< It rejects outdated fencing tokens.
  bool m_Leaving = false;

  bool operator==(const UpstreamSpec &) const = default;
};

/// The platform's list at one index; a higher index is newer.
struct UpstreamList {
  std::uint64_t m_Index = 0;
  std::vector<UpstreamSpec> m_Upstreams;

  bool operator==(const UpstreamList &) const = default;
};

/// What an owner reports of one of its upstreams.
struct UpstreamDigest {
  UpstreamName m_Upstream;
  FencingToken m_Assignment = 0; ///< Assignment under which it was reported.
  std::uint64_t m_Sequence = 0;  ///< Rises with each digest of one owner.
  bool m_Ready = false;          ///< The owner knows the engine's ledger.
  std::string m_Service;         ///< Plain service; empty for engines.
  std::set<ArtifactName> m_Serving;
  std::map<ArtifactName, MemoryMiB> m_Held; ///< All artifacts in memory.
  MemoryMiB m_Available = 0;
  UpstreamLoad m_Load;

  bool operator==(const UpstreamDigest &) const = default;
};

/// One upstream that could serve a request.
struct Candidate {
  UpstreamName m_Upstream;
  double m_Pressure = 0; ///< Requests running or waiting per slot.

  bool operator==(const Candidate &) const = default;
};

/// Merges lists and digests in whatever order they arrive; older ones than
/// those known change nothing.
class UpstreamDirectory {
public:
  /// \returns whether the list was newer than the known one.
  bool apply(const UpstreamList &List);
  /// \returns whether the digest was newer than the known one.
  bool apply(const UpstreamDigest &Digest);
  /// Updates the load of an upstream whose digest is known otherwise.
  void applyLoad(const UpstreamName &Upstream, const UpstreamLoad &Load);
  /// Records that a peer saw \p Upstream as leaving in the list with \p Index.
  void markLeaving(const UpstreamName &Upstream, std::uint64_t Index);
  /// Counts a request that this box forwarded until the next digest includes
  /// it.
  void recordSent(const UpstreamName &Upstream);

  /// Null when \p Upstream is not listed.
  const UpstreamSpec *find(const UpstreamName &Upstream) const;
  /// Whether \p Upstream is listed and not leaving.
  bool mayTakeWork(const UpstreamName &Upstream) const;
  /// Null when no digest of \p Upstream is known.
  const UpstreamDigest *digestOf(const UpstreamName &Upstream) const;
  /// Engines that serve \p Model and may take work, without those in \p Except.
  std::vector<Candidate> serving(const ArtifactName &Model,
                                 const std::set<UpstreamName> &Except) const;
  /// Upstreams of the plain service \p Service that may take work, without
  /// those in \p Except.
  std::vector<Candidate> ofService(const std::string &Service,
                                   const std::set<UpstreamName> &Except) const;
  /// All listed upstreams, marked as leaving by list or peer.
  std::vector<UpstreamSpec> upstreams() const;
  std::uint64_t listIndex() const { return m_Index; }
  /// Upstreams that are leaving, with the index of the list that marks them.
  std::map<UpstreamName, std::uint64_t> leaving() const { return m_Leaving; }

private:
  double pressureOf(const UpstreamSpec &Spec) const;
  void indexServing(const UpstreamDigest &Digest);
  void unindexServing(const UpstreamDigest &Digest);

  std::uint64_t m_Index = 0;
  std::map<UpstreamName, UpstreamSpec> m_Specs;
  std::map<UpstreamName, UpstreamDigest> m_Digests;
  /// The upstreams that serve each artifact. An index, so that a request need
  /// not look at all upstreams.
  std::map<ArtifactName, std::set<UpstreamName>> m_ServedBy;
  /// Requests that this box sent since the last digest.
  std::map<UpstreamName, int> m_SentSince;
  std::map<UpstreamName, std::uint64_t> m_Leaving;
};

} // namespace havenstair

#endif
