/// \file
/// Tracks which prompt prefixes engines have cached, as far as this box knows.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_PREFIXINDEX_H
#define HAVENSTAIR_DECISIONS_PROCESS_PREFIXINDEX_H

#include "decisions/process/UpstreamInstance.h"
#include "decisions/request/RequestDescriptor.h"
#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>

namespace havenstair {

/// Estimates the prefix cache of each engine. An engine keeps a part of a
/// prompt only together with every part before it, so an entry stands for a
/// whole prefix. When the tokens of an engine's entries exceed its memory, the
/// least recently used entries are dropped.
class PrefixIndex {
public:
  /// \p TokensKept: tokens of prompts that one engine is assumed to keep
  /// cached.
  explicit PrefixIndex(double TokensKept) : m_TokensKept(TokensKept) {}

  /// Tokens at the beginning of the prompt of \p Request that the engine \p At
  /// has cached.
  int cachedTokens(const InstanceId &At,
                   const RequestDescriptor &Request) const;
  /// Records that the engine \p At reads the prompt of \p Request.
  void recordRead(const InstanceId &At, const RequestDescriptor &Request);
  /// Drops all entries of the engine \p At.
  void forget(const InstanceId &At) { m_Engines.erase(At); }

  /// Hash of the parts that the prompt of \p Request may share with other
  /// requests; equal on all boxes.
  static std::uint64_t sharedKey(const RequestDescriptor &Request);

private:
  struct Entry {
    std::uint64_t m_Key; ///< Hash of the prefix up to this part.
    int m_Tokens;        ///< Tokens of this part alone.
  };
  struct Engine {
    std::list<Entry> m_Recent; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_ByKey;
    double m_Tokens = 0; ///< Sum over all entries.
  };

  void touch(Engine &At, std::uint64_t Key, int Tokens) const;

  double m_TokensKept;
  std::map<InstanceId, Engine> m_Engines;
};

} // namespace havenstair

#endif
