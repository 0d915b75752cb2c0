/// \file
/// Which engine has read which shared prompt parts, as far as this box knows.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_PREFIXINDEX_H
#define HAVENSTAIR_DECISIONS_PROCESS_PREFIXINDEX_H

#include "decisions/process/UpstreamInstance.h"
#include "decisions/request/RequestDescriptor.h"
#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>

namespace havenstair {

/// An engine keeps a part only together with every part before it, so an entry
/// stands for a whole beginning. The entries of an engine that were used the
/// longest ago give way when their tokens pass its memory.
class PrefixIndex {
public:
  /// \p TokensKept: tokens of shared parts that are believed to stay in one
  /// engine's memory.
  explicit PrefixIndex(double TokensKept) : m_TokensKept(TokensKept) {}

  /// Tokens at the beginning of the prompt that \p At need not read.
  int cachedTokens(const InstanceId &At,
                   const RequestDescriptor &Request) const;
  /// \p At is reading the prompt of \p Request.
  void noteRead(const InstanceId &At, const RequestDescriptor &Request);
  void forget(const InstanceId &At) { m_Engines.erase(At); }

  /// Hash of the parts that the prompt of \p Request shares with others; equal
  /// on all boxes.
  static std::uint64_t sharedKey(const RequestDescriptor &Request);

private:
  struct Entry {
    std::uint64_t m_Key;
    int m_Tokens;
  };
  struct Engine {
    std::list<Entry> m_Recent; ///< The last used first.
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_ByKey;
    double m_Tokens = 0;
  };

  void touch(Engine &At, std::uint64_t Key, int Tokens) const;

  double m_TokensKept;
  std::map<InstanceId, Engine> m_Engines;
};

} // namespace havenstair

#endif
