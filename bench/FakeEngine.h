/// \file
/// A model engine as the policy bench needs it: batch slots, memory, prefill
/// and decode rates, and a cache of prompt prefixes.
#ifndef HAVENSTAIR_BENCH_FAKEENGINE_H
#define HAVENSTAIR_BENCH_FAKEENGINE_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include <algorithm>
#include <cstdint>
#include <list>
#include <map>
#include <set>

namespace havenstair::bench {

/// Rates of one engine. Decoding slows down as the batch grows.
struct EngineRates {
  double m_PrefillTokensPerSecond = 8000;
  Duration m_TokenAlone = 20ms;
  Duration m_TokenPerNeighbour = 5ms;
  std::size_t m_CachedPrefixes = 24;
};

/// Times of one request at the engine.
struct ServiceTimes {
  Duration m_Prefill = 0us;
  Duration m_BetweenTokens = 0us;
  bool m_Cached = false;

  Duration whole(int Tokens) const {
    return m_Prefill + m_BetweenTokens * Tokens;
  }
};

class FakeEngine {
public:
  FakeEngine(UpstreamName Name, MemoryMiB Capacity, bool ChecksTokens)
      : m_Name(std::move(Name)), m_Capacity(Capacity),
        m_ChecksTokens(ChecksTokens) {}

  /// Begins a request beside \p Running others.
  ServiceTimes begin(std::uint64_t Prefix, int PromptTokens, int Running) {
    const bool Cached = touch(Prefix);
    // The last part of a prompt is always new.
    const double ToRead = Cached ? PromptTokens * 0.1 : PromptTokens;
    const double Seconds = ToRead / m_Rates.m_PrefillTokensPerSecond;
    return {.m_Prefill = Duration(static_cast<Duration::rep>(Seconds * 1e6)),
            .m_BetweenTokens =
                m_Rates.m_TokenAlone + m_Rates.m_TokenPerNeighbour * Running,
            .m_Cached = Cached};
  }

  MemoryMiB available() const {
    MemoryMiB Left = m_Capacity;
    for (const auto &[Name, Size] : m_Held)
      Left -= Size;
    return Left;
  }

  UpstreamName m_Name;
  MemoryMiB m_Capacity;
  bool m_ChecksTokens;
  bool m_Lost = false;
  std::map<ArtifactName, MemoryMiB> m_Held;
  std::set<ArtifactName> m_Serving;
  std::map<ArtifactName, TimePoint> m_LastUsed;

private:
  /// \returns whether the prefix was cached; it is now, as the newest.
  bool touch(std::uint64_t Prefix) {
    const auto Found = std::find(m_Prefixes.begin(), m_Prefixes.end(), Prefix);
    const bool Cached = Found != m_Prefixes.end();
    if (Cached)
      m_Prefixes.erase(Found);
    m_Prefixes.push_front(Prefix);
    if (m_Prefixes.size() > m_Rates.m_CachedPrefixes)
      m_Prefixes.pop_back();
    return Cached;
  }

  EngineRates m_Rates;
  std::list<std::uint64_t> m_Prefixes;
};

} // namespace havenstair::bench

#endif
