/// \file
/// Remembers which software versions the upstreams of each service had.
/// See docs/design/stream-versions.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_VERSIONHISTORY_H
#define HAVENSTAIR_DECISIONS_PROCESS_VERSIONHISTORY_H

#include "decisions/common/SoftwareVersion.h"
#include "decisions/common/Time.h"
#include "decisions/process/ListContinuity.h"
#include "decisions/process/UpstreamInstance.h"
#include <map>
#include <optional>
#include <set>
#include <string>

namespace havenstair {

using SoftwareVersions = std::set<SoftwareVersion>;

/// Tells whether all streams of a service that callers may still take up were
/// begun by upstreams of one version.
class VersionHistory {
public:
  /// Longer than callers wait for a stream that has begun, and than entries
  /// outlive their upstreams.
  static constexpr Duration Memory = 120s;

  /// The versions that a service had within Memory.
  struct Versions {
    /// The only one; empty if there were several, none, or unstated ones.
    std::optional<SoftwareVersion> m_Only;
    bool m_Several = false; ///< More than one, or one that is not stated.
    /// The list was known for all of Memory, without a gap, and still is.
    bool m_Certain = false;

    bool operator==(const Versions &) const = default;
  };

  /// How much longer than it counts a version is left in what boxes share, so
  /// that boxes that saw it leave at different times agree.
  static constexpr Duration ForgetMargin = 30s;

  /// Takes over the list of upstreams as of now.
  void update(const InstanceList &List, TimePoint Now);
  /// The list that was taken over last was the store's state at \p At; the
  /// beginning of time stands for never.
  void confirm(TimePoint At) { m_List.confirm(At); }
  /// \returns since when the list has been known without a gap; empty if it is
  /// too old now.
  std::optional<TimePoint> listKnownSince(TimePoint Now) const {
    return m_List.since(Now);
  }
  /// Takes over the versions that boxes share about \p Service: they count
  /// like listed ones until boxes no longer name them, and for Memory at most.
  void learn(const std::string &Service, const SoftwareVersions &Named,
             TimePoint Now);
  /// \returns the versions of each service that were listed within Memory.
  std::map<std::string, SoftwareVersions> observed(TimePoint Now) const;
  /// Whether \p Version of \p Service was neither listed nor learned of within
  /// Memory and ForgetMargin, for all of which the list was known.
  bool outlived(const std::string &Service, const SoftwareVersion &Version,
                TimePoint Now) const;
  Versions versionsOf(const std::string &Service, TimePoint Now) const;
  /// \returns for how long \p Version of \p Service has been listed without a
  /// gap of Memory; 0 if it is not.
  Duration listedFor(const std::string &Service, const SoftwareVersion &Version,
                     TimePoint Now) const;
  /// \returns the services that had several versions within Memory.
  std::set<std::string> servicesWithSeveral(TimePoint Now) const;
  /// Whether streams of some service that has upstreams may have begun at
  /// several versions.
  bool anySeveral(TimePoint Now) const;

private:
  struct Listed {
    TimePoint m_Since; ///< When it was first listed.
    TimePoint m_Last;  ///< When it was last listed; the maximum while it is.
  };
  using ListedVersions = std::map<SoftwareVersion, Listed>;

  SoftwareVersions countedOf(const std::string &Service, Duration Limit,
                             TimePoint Now) const;

  std::map<std::string, ListedVersions> m_Services;
  /// Since when boxes have named each version.
  std::map<std::string, std::map<SoftwareVersion, TimePoint>> m_Learned;
  ListContinuity m_List;
};

} // namespace havenstair

#endif
