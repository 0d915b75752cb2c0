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

/// Version of the configuration. It only grows, in steps of any size.
using ConfigVersion = std::uint64_t;

/// Whether requests of a route may be repeated.
enum class RouteKind {
  Safe,   ///< May run more than once.
  Unsafe, ///< Must run at most once for each attempt of a caller.
  Stream  ///< Answers with a stream of events; unsafe unless resumable.
};

/// A service with its share of the requests of a route.
struct SplitShare {
  std::string m_Service;
  double m_Weight = 1; ///< Its share is its weight over the sum of all.

  bool operator==(const SplitShare &) const = default;
};

/// A route: the requests with one host and path prefix, and how they are
/// served.
struct Route {
  std::string m_Name;
  std::string m_Host;
  std::string m_PathPrefix;
  RouteKind m_Kind = RouteKind::Unsafe;
  Duration m_Timeout = 30s; ///< Longest time that a request may be in progress.
  Duration m_Target = 1s;   ///< Target time to the answer or first event.
  /// Longest pause between events of a stream; 0 for no target.
  Duration m_GapTarget = 0us;
  int m_Priority = 0;              ///< 0 is the most urgent.
  int m_MaxAttempts = 1;           ///< Sends of one request to upstreams.
  bool m_Resumable = false;        ///< Its streams may be resumed.
  bool m_Public = false;           ///< Callers need no key.
  std::vector<SplitShare> m_Split; ///< At least one service.
  /// Regions that may serve and see its requests; empty for all.
  std::set<RegionName> m_AllowedRegions;

  bool operator==(const Route &) const = default;

  /// Whether a request of this route may run more than once.
  bool idempotent() const {
    return m_Kind == RouteKind::Safe ||
           (m_Kind == RouteKind::Stream && m_Resumable);
  }
};

/// A model that the engines of a service may load. Sizes are in MB.
struct ModelSpec {
  std::string m_Name;
  double m_SizeMb = 0;
  Duration m_StoreLoad = 0us;  ///< Time to load from the store of weights.
  Duration m_DiskLoad = 0us;   ///< Time to load from the engine's disk.
  Duration m_MemoryLoad = 0us; ///< Time to load from the engine's host memory.
  int m_Adapters = 0;          ///< Number of its adapters.
  double m_AdapterMb = 0;      ///< Size of each.

  bool operator==(const ModelSpec &) const = default;
};

/// The capacity of each engine of a service.
struct EngineSpec {
  int m_Slots = 1;           ///< Requests that run at once.
  double m_KvTokens = 0;     ///< Size of the KV cache.
  double m_WeightsMb = 0;    ///< Memory for weights and adapters together.
  int m_AdapterCapacity = 0; ///< Most adapters that are loaded at once.
  /// Limit of loads from the store of weights, over all engines.
  double m_LoadsPerSecond = 0;
  std::vector<ModelSpec> m_Models;

  bool operator==(const EngineSpec &) const = default;

  /// The model called \p Name; null without one.
  const ModelSpec *model(std::string_view Name) const;
};

/// A service that requests are sent to: of model engines, or plain.
struct ServiceSpec {
  std::string m_Name;
  std::string m_HealthPath;
  int m_ConnectionLimit = 0;
  WarmUpSpec m_WarmUp;
  std::optional<EngineSpec> m_Engine; ///< Empty for a plain service.

  bool operator==(const ServiceSpec &) const = default;
};

/// Limits on the connections and requests of callers.
struct CallerLimits {
  std::size_t m_HeaderBytes = 16 << 10;
  std::size_t m_BodyBytes = 4 << 20;
  Duration m_HeaderTimeout = 3s;
  Duration m_IdleTimeout = 15s;

  bool operator==(const CallerLimits &) const = default;
};

/// One version of the configuration. A request matches the route of its host
/// with the longest path prefix.
struct ServingConfig {
  ConfigVersion m_Version = 0;
  std::vector<Route> m_Routes;
  std::vector<ServiceSpec> m_Services;
  CallerLimits m_Limits;
  /// If empty, callers need no key.
  std::vector<Organisation> m_Organisations;
  /// Index into m_Organisations by key; built by indexOrganisations().
  std::unordered_map<KeyHash, std::size_t> m_KeyIndex;
  /// The different priorities of the organisations, the most urgent first;
  /// built by indexOrganisations().
  std::set<int> m_OrganisationPriorities;

  bool operator==(const ServingConfig &) const = default;

  /// The route of \p Host with the longest prefix of \p Path; null if none
  /// matches.
  const Route *route(std::string_view Host, std::string_view Path) const;
  /// Requests that one engine of \p Service runs at once; 1 for a plain or
  /// unknown service.
  int slotsOf(std::string_view Service) const;
  /// The service called \p Name; null without one.
  const ServiceSpec *service(std::string_view Name) const;
  /// The shortest time to load any model from the store of weights; empty
  /// without models.
  std::optional<Duration> shortestStoreLoad() const;
  /// The organisation that has \p Key; null without one, and before
  /// indexOrganisations().
  const Organisation *organisationFor(const KeyHash &Key) const;
  /// Builds the indexes; to be called when the organisations are complete. A
  /// key that two of them have belongs to the first.
  void indexOrganisations();
};

/// Draws the service for the request \p Id from the split of \p MatchedRoute,
/// the same on all boxes.
const std::string &chooseSplit(const Route &MatchedRoute, std::string_view Id);

} // namespace havenstair

#endif
