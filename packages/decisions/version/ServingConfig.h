/// \file
/// One version of the operators' configuration: routes, services, limits.
#ifndef HAVENSTAIR_DECISIONS_VERSION_SERVINGCONFIG_H
#define HAVENSTAIR_DECISIONS_VERSION_SERVINGCONFIG_H

#include "decisions/common/Time.h"
#include "decisions/process/WarmUp.h"
#include "decisions/version/Organisation.h"
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace havenstair {

/// Versions of the configuration only ever rise, in uneven steps.
using ConfigVersion = std::uint64_t;

/// What may be repeated on a route.
enum class RouteKind {
  Safe,   ///< May run more than once.
  Unsafe, ///< Runs at most once for each attempt of a caller.
  Stream  ///< A series of events; unsafe unless it may be resumed.
};

/// A service of a split with its part of the requests.
struct SplitShare {
  std::string m_Service;
  double m_Weight = 1;

  bool operator==(const SplitShare &) const = default;
};

/// Where requests of one host and path prefix go.
struct Route {
  std::string m_Name;
  std::string m_Host;
  std::string m_PathPrefix;
  RouteKind m_Kind = RouteKind::Unsafe;
  Duration m_Timeout = 30s; ///< Longest time that a request is held.
  Duration m_Target = 1s;   ///< Time to the answer or first event.
  Duration m_GapTarget = 0us;
  int m_Priority = 0; ///< 0 is the most urgent.
  int m_MaxAttempts = 1;
  bool m_Resumable = false;
  bool m_Public = false;           ///< Needs no key.
  std::vector<SplitShare> m_Split; ///< At least one.
  /// Regions that may serve and see its requests; empty for all.
  std::set<RegionName> m_AllowedRegions;

  bool operator==(const Route &) const = default;

  /// Whether a request of this route may run more than once.
  bool idempotent() const {
    return m_Kind == RouteKind::Safe ||
           (m_Kind == RouteKind::Stream && m_Resumable);
  }
};

/// A model that the engines of a service may hold. Sizes are in MB.
struct ModelSpec {
  std::string m_Name;
  double m_SizeMb = 0;
  Duration m_StoreLoad = 0us;  ///< Load from the store of weights.
  Duration m_DiskLoad = 0us;   ///< Load from the engine's own disk.
  Duration m_MemoryLoad = 0us; ///< Load from the engine's host memory.
  int m_Adapters = 0;
  double m_AdapterMb = 0;

  bool operator==(const ModelSpec &) const = default;
};

/// What the engines of a service can hold.
struct EngineSpec {
  int m_Slots = 1;
  double m_KvTokens = 0;
  double m_WeightsMb = 0; ///< Room for weights and adapters together.
  int m_AdapterCapacity = 0;
  double m_LoadsPerSecond = 0; ///< From the store of weights, over all engines.
  std::vector<ModelSpec> m_Models;

  bool operator==(const EngineSpec &) const = default;

  const ModelSpec *model(std::string_view Name) const;
};

/// A service behind the system; with engines, or plain.
struct ServiceSpec {
  std::string m_Name;
  std::string m_HealthPath;
  int m_ConnectionLimit = 0;
  WarmUpSpec m_WarmUp;
  std::optional<EngineSpec> m_Engine;

  bool operator==(const ServiceSpec &) const = default;
};

/// Bounds on what callers send.
struct CallerLimits {
  std::size_t m_HeaderBytes = 16 << 10;
  std::size_t m_BodyBytes = 4 << 20;
  Duration m_HeaderTimeout = 3s;
  Duration m_IdleTimeout = 15s;

  bool operator==(const CallerLimits &) const = default;
};

/// A whole version. Routes are matched by longest prefix of their host.
struct ServingConfig {
  ConfigVersion m_Version = 0;
  std::vector<Route> m_Routes;
  std::vector<ServiceSpec> m_Services;
  CallerLimits m_Limits;
  /// Without any, callers need no key.
  std::vector<Organisation> m_Organisations;
  /// Place among the organisations by key; made by
  /// indexOrganisations().
  std::unordered_map<KeyHash, std::size_t> m_KeyIndex;
  /// The priorities that organisations have, the most urgent first; made with
  /// the index.
  std::set<int> m_OrganisationPriorities;

  bool operator==(const ServingConfig &) const = default;

  /// The route of \p Host with the longest prefix of \p Path; null without
  /// one.
  const Route *route(std::string_view Host, std::string_view Path) const;
  /// Requests that one engine of \p Service runs at once; 1 without engines.
  int slotsOf(std::string_view Service) const;
  const ServiceSpec *service(std::string_view Name) const;
  /// Of all models; empty without any.
  std::optional<Duration> shortestStoreLoad() const;
  /// The organisation with \p Key; null without one, and before
  /// indexOrganisations().
  const Organisation *organisationFor(const KeyHash &Key) const;
  /// To be called when the organisations are complete. A key that two of them
  /// have belongs to the first.
  void indexOrganisations();
};

/// The service of \p Of for the request \p Id: each box draws the same one.
const std::string &chooseSplit(const Route &Of, std::string_view Id);

} // namespace havenstair

#endif
