/// \file
/// Keeps what upstreams signalled about themselves in their answers.
/// See docs/design/server-words.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMSIGNALS_H
#define HAVENSTAIR_DECISIONS_PROCESS_UPSTREAMSIGNALS_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/UpstreamInstance.h"
#include <map>
#include <optional>

namespace havenstair {

/// A limit that an upstream advertises, as far as this box knows.
struct AdvertisedLimit {
  /// Requests per second that the upstream takes from all boxes together, or
  /// requests per second that it can reject for lack of room without a crash.
  double m_RatePerSecond = 0;
  TimePoint m_Since{}; ///< When the upstream first advertised a limit.
  /// When this box learned of it. Only the answer to a request that is sent
  /// later can end the limit.
  TimePoint m_ReceivedAt{};
  /// The box that reported it; this box for its own answers.
  BoxName m_ReportedBy;

  bool operator==(const AdvertisedLimit &) const = default;
};

/// An upstream's notice that it is leaving, as far as this box knows.
struct LeavingNotice {
  TimePoint m_Since{}; ///< When this box learned of it.
  /// The box that reported it; this box for its own answers.
  BoxName m_ReportedBy;

  bool operator==(const LeavingNotice &) const = default;
};

/// How a signal changed the limit of an upstream.
enum class LimitChange { None, Begun, Altered, Ended };

/// \returns the name of \p Change, for logs.
const char *toString(LimitChange Change);

/// Keeps the signals of the newest known incarnation of each upstream. A rate
/// limit or refusal limit holds until an answer without one arrives to a
/// request that was sent after the limit was received. A leaving notice holds
/// for the rest of the incarnation.
class UpstreamSignals {
public:
  /// How long the signals of an upstream are kept after it disappeared from the
  /// list, which also happens in an outage of the store.
  static constexpr Duration RememberFor = 60s;

  /// Takes over the newest list of upstreams.
  void update(const InstanceList &List, TimePoint Now);

  /// Records the limit in requests per second, or none, in the answer of
  /// \p Upstream to a request that this box sent at \p SentAt.
  LimitChange recordLimit(const UpstreamIncarnation &Upstream,
                          std::optional<double> RatePerSecond,
                          const BoxName &Self, TimePoint SentAt, TimePoint Now);
  /// Merges the limit, or its end, that the box \p By reports. \p Age: time
  /// since the limit was first advertised.
  LimitChange mergeLimit(const UpstreamIncarnation &Upstream,
                         std::optional<double> RatePerSecond, const BoxName &By,
                         Duration Age, TimePoint Now);
  /// The limit of \p Id; null when it advertises none.
  const AdvertisedLimit *limit(const InstanceId &Id) const;
  /// The limits of all upstreams that advertise one.
  std::map<UpstreamIncarnation, AdvertisedLimit> limits() const;

  /// Records the refusal limit in requests per second, or none, in the answer
  /// of \p Upstream to a request that this box sent at \p SentAt.
  LimitChange recordRefusalLimit(const UpstreamIncarnation &Upstream,
                                 std::optional<double> PerSecond,
                                 const BoxName &Self, TimePoint SentAt,
                                 TimePoint Now);
  /// Merges the refusal limit, or its end, that the box \p By reports. \p Age:
  /// time since it was first advertised.
  LimitChange mergeRefusalLimit(const UpstreamIncarnation &Upstream,
                                std::optional<double> PerSecond,
                                const BoxName &By, Duration Age, TimePoint Now);
  /// The refusal limit of \p Id; null when it advertises none.
  const AdvertisedLimit *refusalLimit(const InstanceId &Id) const;
  /// The refusal limits of all upstreams that advertise one.
  std::map<UpstreamIncarnation, AdvertisedLimit> refusalLimits() const;

  /// Records that \p Upstream gave notice that it is leaving, in a report of
  /// \p By or, if that is this box, in an answer. \returns whether that is new.
  bool recordLeaving(const UpstreamIncarnation &Upstream, const BoxName &By,
                     TimePoint Now);
  /// Records that \p Upstream refused a request of this box and asks for none
  /// for \p For. The latest end of several such times holds. \returns whether
  /// the end moved.
  bool recordRetryAfter(const UpstreamIncarnation &Upstream, Duration For,
                        TimePoint Now);
  /// When \p Id takes requests of this box again; empty when it does now.
  std::optional<TimePoint> retryAt(const InstanceId &Id, TimePoint Now) const;
  /// Number of upstreams that take no requests of this box at present.
  std::size_t backedOffCount(TimePoint Now) const;

  /// The notices of all upstreams that are leaving.
  std::map<UpstreamIncarnation, LeavingNotice> leaving() const;

private:
  struct Signals {
    StartTime m_StartTime = 0;
    std::optional<TimePoint> m_GoneAt; ///< When it disappeared from the list.
    std::optional<AdvertisedLimit> m_Limit;
    std::optional<AdvertisedLimit> m_RefusalLimit;
    std::optional<LeavingNotice> m_Leaving;
    TimePoint m_RetryAt{};
  };

  /// One of the limits among the signals of an upstream.
  using LimitMember = std::optional<AdvertisedLimit> Signals::*;

  LimitChange record(LimitMember Which, const UpstreamIncarnation &Upstream,
                     std::optional<double> PerSecond, const BoxName &Self,
                     TimePoint SentAt, TimePoint Now);
  LimitChange merge(LimitMember Which, const UpstreamIncarnation &Upstream,
                    std::optional<double> PerSecond, const BoxName &By,
                    Duration Age, TimePoint Now);
  const AdvertisedLimit *find(LimitMember Which, const InstanceId &Id) const;
  std::map<UpstreamIncarnation, AdvertisedLimit> all(LimitMember Which) const;

  /// The signals of \p Upstream; null when a later incarnation is known.
  Signals *signalsOf(const UpstreamIncarnation &Upstream);

  /// Holds every upstream that has sent a signal.
  std::map<InstanceId, Signals> m_Upstreams;
};

} // namespace havenstair

#endif
