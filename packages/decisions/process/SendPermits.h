/// \file
/// Permits to send requests to cold servers, as one box gives them out.
/// See docs/design/warm-up.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_SENDPERMITS_H
#define HAVENSTAIR_DECISIONS_PROCESS_SENDPERMITS_H

#include "decisions/common/Id.h"
#include "decisions/common/Time.h"
#include "decisions/process/UpstreamLife.h"
#include "decisions/process/WarmUp.h"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace havenstair {

/// The one of \p Relays that gives out permits for \p Server: the first by
/// rendezvous among those that \p Reached holds. None while these are no
/// majority, so that two sides of a cut with the same list do not both give.
std::optional<BoxName> admitterOf(const InstanceId &Server,
                                  const std::set<BoxName> &Relays,
                                  const std::set<BoxName> &Reached);

/// Answer to who asks to send one request.
struct PermitVerdict {
  bool m_Granted = false;
  /// From the answer on: when it may be sent, or when one may ask again.
  Duration m_After = 0us;

  bool operator==(const PermitVerdict &) const = default;
};

/// The books of one box. Of one server's permits, those that may arrive in the
/// same second are at most half of what all boxes together may send, but always
/// one: boxes whose lists differ may ask two admitters at once.
class SendPermits {
public:
  /// Who asked may send until so long after it asked, and after the wait that
  /// it was told: an answer comes within some ms, or it is of no use.
  static constexpr Duration Validity = 80ms;
  /// From the send to the arrival: a new connection between data centres and a
  /// busy loop.
  static constexpr Duration OnTheWay = 120ms;
  /// Permits that are given out in this time may arrive within one second.
  static constexpr Duration Window = 1s + Validity + OnTheWay;

  explicit SendPermits(const WarmUpTolerance &Tolerance)
      : m_Tolerance(Tolerance) {}

  void setTolerance(const WarmUpTolerance &Tolerance) {
    m_Tolerance = Tolerance;
  }
  /// This box gives out permits for \p Servers and no others. For new ones it
  /// begins when what others gave out has lapsed.
  void admits(const std::set<InstanceId> &Servers, TimePoint Now);

  /// A permit for one request to \p Server within \p Patience. Also after a
  /// start under the same name the window holds what was given out before.
  PermitVerdict ask(const InstanceId &Server, const WarmUpSpec &Spec,
                    Duration Patience, TimePoint Now);

  /// Permits for one server in any window.
  std::size_t perWindow(const WarmUpSpec &Spec) const;

private:
  struct Book {
    TimePoint m_Since{};           ///< This box gives out permits.
    std::deque<TimePoint> m_Given; ///< For when; ascending.
    /// Up to when refused requests were told to stay away.
    TimePoint m_ToldTo{};
  };

  WarmUpTolerance m_Tolerance;
  std::map<InstanceId, Book> m_Books;
};

} // namespace havenstair

#endif
