/// \file
/// Issues permits to send requests to upstreams with little capacity.
/// See docs/design/warm-up.md and docs/design/server-words.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_PERMITISSUER_H
#define HAVENSTAIR_DECISIONS_PROCESS_PERMITISSUER_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/RoomLedger.h"
#include "decisions/process/UpstreamIncarnation.h"
#include "decisions/process/WarmUp.h"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace havenstair {

/// What one upstream takes from all boxes together. At least one of the members
/// is set.
struct SendBound {
  std::optional<WarmUpSpec> m_Cold; ///< Set while the upstream is cold.
  /// Requests per second, when the upstream advertises a limit.
  std::optional<double> m_LimitPerSecond = std::nullopt;
  /// Refusals per second, when the upstream advertises a refusal limit.
  std::optional<double> m_RefusalsPerSecond = std::nullopt;

  bool operator==(const SendBound &) const = default;
};

/// The fraction of time in which an upstream that advertises \p LimitPerSecond
/// requests per second is busy, when a request takes \p WorkMs of it. Between
/// 0.01 and 1.
double busyFraction(double LimitPerSecond, double WorkMs);

/// How many of the listed relays a box must reach to issue permits.
enum class Quorum {
  Majority, ///< At most one side of a partition with equal lists has it.
  Half      ///< Both sides may have it; one of them holds the first choice.
};

/// The one of \p Relays that issues the permits for \p Upstream: the first by
/// rendezvous hashing among those in \p Reached. Empty without the quorum.
std::optional<BoxName> issuerOf(const InstanceId &Upstream,
                                const std::set<BoxName> &Relays,
                                const std::set<BoxName> &Reached,
                                Quorum Needed = Quorum::Majority);

/// The answer to a box that asks for a permit to send one request.
struct PermitVerdict {
  bool m_Granted = false;
  /// Time from the answer until the request may be sent or, if refused, until
  /// the box may ask again.
  Duration m_After = 0us;

  bool operator==(const PermitVerdict &) const = default;
};

/// How a box is assigned to issue permits for an upstream.
struct IssuerAssignment {
  /// Whether this box is the first choice by rendezvous hashing among all
  /// listed relays.
  bool m_First = true;
  /// Since when the upstream needs permits; empty when it always has.
  std::optional<TimePoint> m_BoundSince;
  /// Set for an upstream with a refusal limit.
  std::optional<RoomBound> m_Room = std::nullopt;
  /// Requests at that upstream, as boxes report.
  int m_Running = 0;

  bool operator==(const IssuerAssignment &) const = default;
};

/// At most `m_Most` permits in any sliding window of `m_Length`.
struct PermitWindow {
  std::size_t m_Most = 1;
  Duration m_Length = 0us;

  bool operator==(const PermitWindow &) const = default;

  /// Permits per second.
  double rate() const {
    return static_cast<double>(m_Most) / inSeconds(m_Length);
  }
};

/// Issues the permits of one box. For an upstream with a refusal limit a
/// `RoomLedger` decides, beside the other bounds. Boxes whose lists differ may
/// ask two issuers at once. For a cold upstream each therefore issues at most
/// half of what all boxes together may send, but always one permit in a window.
/// Of an advertised limit, the first choice by rendezvous hashing issues the
/// whole once it has been that for a while, and all others a fraction that fits
/// into the tolerance beside it.
class PermitIssuer {
public:
  /// A permit lapses this long after the box asked, plus the wait in the
  /// verdict. An answer usually arrives within milliseconds; a later one is of
  /// no use.
  static constexpr Duration Validity = 80ms;
  /// Time from send to arrival: a new connection between data centres and a
  /// busy event loop.
  static constexpr Duration TransitTime = 120ms;
  /// Permits that are issued within this time may arrive within one second.
  static constexpr Duration Window = 1s + Validity + TransitTime;
  /// Time until all boxes have the same list of relays, except for boxes that
  /// are cut off.
  static constexpr Duration ListConvergence = 12s;
  /// Fraction of a limit that is issued by a box which may not be the only
  /// issuer.
  static constexpr double StandbyFraction = 0.35;
  /// Time until a box that begins to issue permits for an upstream with a
  /// refusal limit knows the requests that are there.
  static constexpr Duration LoadReportTime = 500ms;
  /// No other box can have issued permits under a limit that is younger.
  static constexpr Duration NewLimitAge = 500ms;
  /// Requests per second that are issued under any lower limit. Without a
  /// request now and then nobody would learn that the limit has ended.
  static constexpr double MinRatePerSecond = 0.25;

  explicit PermitIssuer(const WarmUpTolerance &Tolerance)
      : m_Tolerance(Tolerance) {}

  void setTolerance(const WarmUpTolerance &Tolerance) {
    m_Tolerance = Tolerance;
  }
  /// This box issues permits for \p Upstreams and no others. It begins with new
  /// ones when the permits of other issuers have lapsed.
  void setUpstreams(const std::map<InstanceId, IssuerAssignment> &Upstreams,
                    TimePoint Now);

  /// Issues or refuses a permit for one request to \p Upstream that can be sent
  /// within \p Patience. The window also holds the permits for an earlier
  /// incarnation of the upstream.
  PermitVerdict ask(const InstanceId &Upstream, const SendBound &Bound,
                    Duration Patience, TimePoint Now);

  /// Records that a request to \p Upstream, which has a refusal limit, has
  /// ended. \p Refused: for lack of room.
  void recordEnd(const InstanceId &Upstream, bool Refused, TimePoint Now);

  /// Permits for a cold upstream in any window of length `Window`.
  std::size_t perWindow(const WarmUpSpec &Spec) const;
  /// The window of permits under a limit of which this box issues \p Fraction.
  static PermitWindow limitWindow(double LimitPerSecond, double Fraction);

private:
  struct IssueRecord {
    bool m_First = true; ///< As in `IssuerAssignment`.
    TimePoint m_IssuesFrom{};
    /// When the first choice issues the whole limit.
    TimePoint m_FullRateFrom{};
    std::deque<TimePoint> m_Issued; ///< Send times of permits, ascending.
    /// Latest retry time that a refused request was given.
    TimePoint m_NextRetryAt{};
    /// Set for an upstream with a refusal limit.
    std::optional<RoomLedger> m_Room;
    /// When the requests at that upstream are known.
    TimePoint m_RoomFrom{};
    TimePoint m_ReconciledAt{};
  };

  /// Updates the ledger in \p Record of an upstream that is assigned as in
  /// \p Upstream.
  static void updateRoom(const IssuerAssignment &Upstream, IssueRecord &Record,
                         TimePoint Now);

  static IssueRecord newRecord(const IssuerAssignment &Upstream, TimePoint Now);
  PermitWindow window(const SendBound &Bound, const IssueRecord &Record,
                      TimePoint Now) const;

  WarmUpTolerance m_Tolerance;
  std::map<InstanceId, IssueRecord> m_Records;
};

} // namespace havenstair

#endif
