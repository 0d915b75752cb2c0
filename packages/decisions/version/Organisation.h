/// \file
/// Organisations, for which requests are served: their keys, priority and
/// quota.
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

/// Keyed hash of a caller's API key, with a secret of the process. The key
/// itself is not stored anywhere: it is hashed where it is read.
struct KeyHash {
  std::string m_Bytes;

  auto operator<=>(const KeyHash &) const = default;
};

/// The unit of a quota.
enum class QuotaUnit { Requests, Tokens };

/// The rate at which an organisation may use the whole fleet, as a token
/// bucket.
struct Quota {
  QuotaUnit m_Unit = QuotaUnit::Requests;
  double m_RatePerSecond = 0; ///< Units per second; 0 for no limit.
  double m_Burst = 0;         ///< Size of the bucket, in units.
  /// Tokens that a request without token counts is charged.
  double m_DefaultTokens = 0;

  bool operator==(const Quota &) const = default;

  /// Whether there is a limit.
  bool limited() const { return m_RatePerSecond > 0; }
  /// Units that a request is charged. It states \p Tokens if \p HasTokenCounts;
  /// otherwise \p Tokens is ignored.
  double costOf(bool HasTokenCounts, double Tokens) const;
};

/// An organisation whose requests are served.
struct Organisation {
  std::string m_Name;
  std::vector<KeyHash> m_Keys;
  /// Takes precedence over the route's priority; 0 is the most urgent.
  int m_Priority = 0;
  Quota m_Quota;
  /// Regions that may serve and see its requests; empty for all.
  std::set<RegionName> m_AllowedRegions;

  bool operator==(const Organisation &) const = default;
};

} // namespace havenstair

template <> struct std::hash<havenstair::KeyHash> {
  std::size_t operator()(const havenstair::KeyHash &Key) const {
    return std::hash<std::string>()(Key.m_Bytes);
  }
};

#endif
