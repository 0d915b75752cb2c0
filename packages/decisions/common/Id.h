/// \file
/// Distinct string types for the names of things.
#ifndef HAVENSTAIR_DECISIONS_COMMON_ID_H
#define HAVENSTAIR_DECISIONS_COMMON_ID_H

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <utility>

namespace havenstair {

/// A name of one kind of thing. Names of different kinds do not convert into
/// each other.
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
/// A model or an adapter, which is loaded into accelerator memory.
using ArtifactName = Id<struct ArtifactTag>;
using OrderId = Id<struct OrderTag>;
using RequestId = Id<struct RequestTag>;
/// Hash that identifies a request, whichever caller and box it comes through
/// and however often.
using RequestDigest = Id<struct RequestDigestTag>;
using IdempotencyKey = Id<struct IdempotencyTag>;

/// Accelerator memory in MiB.
using MemoryMiB = std::int64_t;

/// Version of an assignment or order. It only grows, so that a box can reject
/// older ones.
using FencingToken = std::uint64_t;

} // namespace havenstair

#endif
