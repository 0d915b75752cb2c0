/// \file
/// Distinct string types for the names that pass through the system.
#ifndef HAVENSTAIR_DECISIONS_COMMON_ID_H
#define HAVENSTAIR_DECISIONS_COMMON_ID_H

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <utility>

namespace havenstair {

/// A name of one kind; names of different kinds do not convert.
template <typename Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string Value) : m_Value(std::move(Value)) {}

  const std::string &str() const { return m_Value; }
  bool empty() const { return m_Value.empty(); }

  auto operator<=>(const Id &) const = default;
  bool operator==(const Id &) const = default;

  friend std::ostream &operator<<(std::ostream &Out, const Id &Name) {
    return Out << Name.m_Value;
  }

private:
  std::string m_Value;
};

using BoxName = Id<struct BoxTag>;
using DataCentreName = Id<struct DataCentreTag>;
using RegionName = Id<struct RegionTag>;
using GroupName = Id<struct GroupTag>;
using UpstreamName = Id<struct UpstreamTag>;
/// A model or an adapter: whatever is loaded into accelerator memory.
using ArtifactName = Id<struct ArtifactTag>;
using OrderId = Id<struct OrderTag>;
using RequestId = Id<struct RequestTag>;
/// Stands for a request whenever and wherever it comes again.
using RequestDigest = Id<struct RequestDigestTag>;
using IdempotencyKey = Id<struct IdempotencyTag>;

/// Memory of an accelerator in MiB.
using MemoryMiB = std::int64_t;

/// Version of an assignment or order; only ever rises.
using FencingToken = std::uint64_t;

} // namespace havenstair

#endif
