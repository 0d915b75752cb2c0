/// \file
/// What one box knows of the upstreams in reach: the platform's list, the
/// digests of their owners, and what it sent itself since.
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
  std::string m_Address; ///< IP number.
  int m_Port = 0;
  DataCentreName m_DataCentre;
  int m_Slots = 1;
  MemoryMiB m_Capacity = 0;
  MemoryMiB m_KvReserve = 0;
  bool m_ChecksTokens = true;
  bool m_Leaving = false;

  bool operator==(const UpstreamSpec &) const = default;
};

/// The platform's list at one index; a higher index is newer.
struct UpstreamList {
  std::uint64_t m_Index = 0;
  std::vector<UpstreamSpec> m_Upstreams;

  bool operator==(const UpstreamList &) const = default;
};

/// What an owner says of one of its upstreams.
struct UpstreamDigest {
  UpstreamName m_Upstream;
  FencingToken m_Assignment = 0; ///< Assignment under which it was said.
  std::uint64_t m_Sequence = 0;  ///< Rises with each digest of one owner.
  bool m_Ready = false;          ///< The owner knows the engine's ledger.
  std::string m_Service;         ///< Plain service; empty for engines.
  std::set<ArtifactName> m_Serving;
  std::map<ArtifactName, MemoryMiB> m_Held; ///< All that takes memory.
  MemoryMiB m_Available = 0;
  UpstreamLoad m_Load;

  bool operator==(const UpstreamDigest &) const = default;
};

/// One upstream that could serve a request.
struct Candidate {
  UpstreamName m_Upstream;
  double m_Pressure = 0; ///< Requests running or waiting for each slot.

  bool operator==(const Candidate &) const = default;
};

/// Merges lists and digests. News that is older than what is known changes
/// nothing, in whatever order it arrives.
class UpstreamDirectory {
public:
  /// \returns whether the list was newer.
  bool apply(const UpstreamList &List);
  bool apply(const UpstreamDigest &Digest);
  /// A newer load of an upstream whose digest is known; only load changed.
  void applyLoad(const UpstreamName &Upstream, const UpstreamLoad &Load);
  /// A peer has seen \p Upstream leave in the list with \p Index.
  void markLeaving(const UpstreamName &Upstream, std::uint64_t Index);
  /// This box forwarded a request, until the next digest counts it.
  void noteSent(const UpstreamName &Upstream);

  const UpstreamSpec *find(const UpstreamName &Upstream) const;
  bool mayTakeWork(const UpstreamName &Upstream) const;
  const UpstreamDigest *digestOf(const UpstreamName &Upstream) const;
  /// Engines that serve \p Model, without those in \p Except.
  std::vector<Candidate> serving(const ArtifactName &Model,
                                 const std::set<UpstreamName> &Except) const;
  /// Upstreams of the plain service \p Service.
  std::vector<Candidate> ofService(const std::string &Service,
                                   const std::set<UpstreamName> &Except) const;
  std::vector<UpstreamSpec> upstreams() const;
  std::uint64_t listIndex() const { return m_Index; }
  /// Names that are leaving, with the index that says so.
  std::map<UpstreamName, std::uint64_t> leaving() const { return m_Leaving; }

private:
  double pressureOf(const UpstreamSpec &Spec) const;
  void indexServing(const UpstreamDigest &Digest);
  void unindexServing(const UpstreamDigest &Digest);

  std::uint64_t m_Index = 0;
  std::map<UpstreamName, UpstreamSpec> m_Specs;
  std::map<UpstreamName, UpstreamDigest> m_Digests;
  /// Which upstreams serve an artifact; a request must not look at them all.
  std::map<ArtifactName, std::set<UpstreamName>> m_ServedBy;
  std::map<UpstreamName, int> m_SentSince;
  std::map<UpstreamName, std::uint64_t> m_Leaving;
};

} // namespace havenstair

#endif
