/// \file
/// Messages between the boxes of a gateway fleet.
#ifndef HAVENSTAIR_WIRE_CONNECTION_FLEETFRAMES_H
#define HAVENSTAIR_WIRE_CONNECTION_FLEETFRAMES_H

#include "decisions/common/StoreRevision.h"
#include "decisions/process/LeaderView.h"
#include "decisions/process/LoadTracker.h"
#include "decisions/process/ModelDemand.h"
#include "decisions/process/UpstreamInstance.h"
#include "wire/common/Json.h"
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace havenstair {

/// Age of a list that nobody vouches for.
constexpr Duration NoListAge = 3600s;

/// What a box tells all others several times a second.
struct FleetDigestFrame {
  std::uint64_t m_Number = 0; ///< Of this word of the sender.
  /// The last number that the sender got from the receiver; 0 before.
  std::uint64_t m_Echo = 0;
  std::uint64_t m_Config = 0; ///< Version of the configuration it serves by.
  /// The newest version that it knows of, whether or not it has it.
  std::uint64_t m_ConfigKnown = 0;
  /// The newest era of the store that it knows of.
  StoreEra m_Era = FirstEra;
  StoreRevision m_List; ///< Revision of its list of upstreams.
  /// Fingerprint of what the receiver, a leaf, was sent of that list, as of
  /// m_List; 0 when it is not told.
  std::uint64_t m_ListFingerprint = 0;
  StoreRevision m_Boxes;       ///< Revision of its list of boxes.
  StoreRevision m_Evacuations; ///< Revision of its evacuations.
  bool m_Stopping = false;
  bool m_Leaf = false; ///< The sender asks the receiver to be its relay.
  /// The sender's copies of the store's keys were the store's state this long
  /// ago, or later; whole milliseconds.
  Duration m_ListAge = NoListAge;
  bool m_Reads = false;   ///< The sender reads the store itself.
  bool m_Leading = false; ///< The sender gives orders.
  LeaderTerm m_Leader;    ///< Whom the sender knows to give orders.
  /// Through the sender and all boxes that it tells of: none of them is the
  /// receiver, or known to it from elsewhere.
  InstanceLoads m_Loads;
  /// The loads come in frames of their own, FleetTotalsFrame.
  bool m_LoadsApart = false;
  /// The totals that the sender, a leaf, last got; 0 for none.
  std::uint64_t m_Totals = 0;
  ModelDemands m_Demand; ///< Of the same boxes, since the last digest.

  bool operator==(const FleetDigestFrame &) const = default;
};

/// Loads that have changed since the sender's last digest or load frame; an
/// upstream without any load is named with zeros.
struct FleetLoadsFrame {
  InstanceLoads m_Loads;

  bool operator==(const FleetLoadsFrame &) const = default;
};

/// From a relay to all of its leaves: loads through all boxes, the receiver
/// among them, that have changed since the totals before these.
struct FleetTotalsFrame {
  std::uint64_t m_Number = 0; ///< Of these totals of the sender.
  std::uint64_t m_Since = 0;  ///< Of those before; 0 when these are whole.
  InstanceLoads m_Loads;

  bool operator==(const FleetTotalsFrame &) const = default;
};

/// The sender does not read the store itself now; it asks for what is newer
/// than this.
struct FleetWantFrame {
  std::uint64_t m_Config = 0;
  StoreRevision m_List;
  StoreRevision m_Boxes;
  StoreRevision m_Evacuations;

  bool operator==(const FleetWantFrame &) const = default;
};

/// A key of the store as the sender knows it.
struct StoredValue {
  std::string m_Key;
  std::string m_Value;
  StoreRevision m_Revision; ///< Of the era of the frame.

  bool operator==(const StoredValue &) const = default;
};

/// Keys under a prefix of the store, for boxes that do not read them
/// themselves: all of them, or what has changed since a revision.
struct FleetKeysFrame {
  std::string m_Prefix;
  StoreRevision m_Since;    ///< None for all keys; else of the same era.
  StoreRevision m_Revision; ///< Up to which the keys are whole.
  /// Of the list of upstreams, only what a leaf of the receiver's data centre
  /// needs.
  bool m_Part = false;
  std::vector<StoredValue> m_Items;
  std::vector<std::string> m_Gone;

  bool operator==(const FleetKeysFrame &) const = default;
};

/// What an engine holds, by the box that gives orders.
struct EngineContents {
  InstanceId m_Engine;
  StartTime m_StartTime = 0; ///< 0 when it does not tell.
  std::vector<ResidentModel> m_Models;
  /// Models that are about to make way: no new requests for them.
  std::set<std::string> m_Retiring;
  /// The model that is coming, or empty, and when it is expected to serve.
  std::string m_Loading;
  Duration m_ServesIn = 0us;

  bool operator==(const EngineContents &) const = default;

  UpstreamIncarnation incarnation() const {
    return {.m_Id = m_Engine, .m_StartTime = m_StartTime};
  }
};

/// From the box that gives orders, whenever something has changed.
struct FleetContentsFrame {
  std::uint64_t m_FencingToken = 0;
  std::vector<EngineContents> m_Engines;

  bool operator==(const FleetContentsFrame &) const = default;
};

/// Requests wait at the sender for models that no engine holds.
struct FleetMissingFrame {
  std::vector<ModelKey> m_Keys;

  bool operator==(const FleetMissingFrame &) const = default;
};

Json toJson(const FleetDigestFrame &Frame);
Json toJson(const FleetLoadsFrame &Frame);
Json toJson(const FleetTotalsFrame &Frame);
Json toJson(const FleetWantFrame &Frame);
Json toJson(const FleetKeysFrame &Frame);
Json toJson(const FleetContentsFrame &Frame);
Json toJson(const FleetMissingFrame &Frame);

/// \throws DecodeError for a value of another form.
void fromJson(const Json &From, FleetDigestFrame &Frame);
void fromJson(const Json &From, FleetLoadsFrame &Frame);
void fromJson(const Json &From, FleetTotalsFrame &Frame);
void fromJson(const Json &From, FleetWantFrame &Frame);
void fromJson(const Json &From, FleetKeysFrame &Frame);
void fromJson(const Json &From, FleetContentsFrame &Frame);
void fromJson(const Json &From, FleetMissingFrame &Frame);

} // namespace havenstair

#endif
