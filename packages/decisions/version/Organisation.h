/// \file
/// Whose requests are served: keys, urgency and limit of an organisation.
#ifndef HAVENSTAIR_DECISIONS_VERSION_ORGANISATION_H
#define HAVENSTAIR_DECISIONS_VERSION_ORGANISATION_H

#include "decisions/common/Id.h"
#include <compare>
#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

/// Keyed hash of a caller's key. The key itself is kept nowhere: the hash is
/// made where the key is read, under a secret of the process.
struct KeyHash {
  std::string m_Bytes;

  auto operator<=>(const KeyHash &) const = default;
};

/// What a limit counts.
enum class QuotaUnit { Requests, Tokens };

/// How much an organisation may ask of the whole fleet: a token bucket.
struct Quota {
  QuotaUnit m_Unit = QuotaUnit::Requests;
  double m_RatePerSecond = 0; ///< 0 for no limit.
  double m_Burst = 0;         ///< Units beyond the rate that may come at once.
  /// Tokens that a request counts which does not tell its own.
  double m_DefaultTokens = 0;

  bool operator==(const Quota &) const = default;

  bool limited() const { return m_RatePerSecond > 0; }
  /// Units of a request that tells of \p Tokens, or of none with
  /// \p TokensTold false.
  double costOf(bool TokensTold, double Tokens) const;
};

struct Organisation {
  std::string m_Name;
  std::vector<KeyHash> m_Keys;
  int m_Priority = 0; ///< Goes before a route's; 0 is the most urgent.
  Quota m_Quota;
  /// Regions that may serve and see its requests; empty for all.
  std::set<RegionName> m_AllowedRegions;

  bool operator==(const Organisation &) const = default;
};

} // namespace havenstair

template <> struct std::hash<havenstair::KeyHash> {
  std::size_t operator()(const havenstair::KeyHash &Of) const {
    return std::hash<std::string>()(Of.m_Bytes);
  }
};

#endif
