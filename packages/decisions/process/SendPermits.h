/// \file
/// Permits to send requests to servers that bear little, as one box gives them
/// out. See docs/design/warm-up.md and docs/design/server-words.md.
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

/// What one server bears from all boxes together; one of both at least.
struct SendBound {
  std::optional<WarmUpSpec> m_Cold; ///< While it is cold.
  /// Requests a second, as it names them itself.
  std::optional<double> m_LimitPerS;

  bool operator==(const SendBound &) const = default;
};

/// The part of its time in which a server that names \p LimitPerS works, where
/// a request takes \p WorkMs of it; from a small part up to the whole.
double workingPart(double LimitPerS, double WorkMs);

/// How many of the relays that are listed a box must reach to give out permits.
enum class Quorum {
  Majority, ///< Of two sides of a cut with the same list one at most does.
  Half      ///< Two may, of which one is the first by rendezvous.
};

/// The one of \p Relays that gives out permits for \p Server: the first by
/// rendezvous among those that \p Reached holds. None without the quorum.
std::optional<BoxName> admitterOf(const InstanceId &Server,
                                  const std::set<BoxName> &Relays,
                                  const std::set<BoxName> &Reached,
                                  Quorum Needed = Quorum::Majority);

/// Answer to who asks to send one request.
struct PermitVerdict {
  bool m_Granted = false;
  /// From the answer on: when it may be sent, or when one may ask again.
  Duration m_After = 0us;

  bool operator==(const PermitVerdict &) const = default;
};

/// A server that a box gives out permits for.
struct AdmittedServer {
  bool m_First = true; ///< By rendezvous among all that are listed.
  /// Since when a permit is asked for at all; empty for ever.
  std::optional<TimePoint> m_BoundSince;

  bool operator==(const AdmittedServer &) const = default;
};

/// So many in any time of that length.
struct PermitWindow {
  std::size_t m_Most = 1;
  Duration m_Length = 0us;

  bool operator==(const PermitWindow &) const = default;

  double perS() const {
    return static_cast<double>(m_Most) / inSeconds(m_Length);
  }
};

/// The books of one box. Boxes whose lists differ may ask two admitters at
/// once. For a cold server each gives out at most half of what all boxes
/// together may send, but always one permit in a window. Of a limit, the first
/// by rendezvous gives out the whole once it has been that for a while, all
/// others a part that fits into the tolerance beside it.
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
  /// Lists of relays differ for no longer, but for boxes that are cut off.
  static constexpr Duration ListsSettle = 12s;
  /// Of a limit, for who is not known to be alone.
  static constexpr double StandInPart = 0.35;
  /// A limit that was named so lately was not admitted for by another box.
  static constexpr Duration JustNamed = 500ms;
  /// Requests a second, of lower limits: without a request now and then nobody
  /// would learn that a limit has ended.
  static constexpr double LeastPerS = 0.25;

  explicit SendPermits(const WarmUpTolerance &Tolerance)
      : m_Tolerance(Tolerance) {}

  void setTolerance(const WarmUpTolerance &Tolerance) {
    m_Tolerance = Tolerance;
  }
  /// This box gives out permits for \p Servers and no others. For new ones it
  /// begins when what others gave out has lapsed.
  void admits(const std::map<InstanceId, AdmittedServer> &Servers,
              TimePoint Now);

  /// A permit for one request to \p Server within \p Patience. Also after a
  /// start under the same name the window holds what was given out before.
  PermitVerdict ask(const InstanceId &Server, const SendBound &Bound,
                    Duration Patience, TimePoint Now);

  /// Permits for a cold server in any window.
  std::size_t perWindow(const WarmUpSpec &Spec) const;
  /// Permits under a limit of which \p Part is given out here.
  static PermitWindow windowOf(double LimitPerS, double Part);

private:
  struct Book {
    bool m_First = true;
    TimePoint m_OpensAt{};         ///< This box gives out permits.
    TimePoint m_WholeFrom{};       ///< Of limits, if it is the first.
    std::deque<TimePoint> m_Given; ///< For when; ascending.
    /// Up to when refused requests were told to stay away.
    TimePoint m_ToldTo{};
  };

  static Book open(const AdmittedServer &Of, TimePoint Now);
  PermitWindow window(const SendBound &Bound, const Book &Of,
                      TimePoint Now) const;

  WarmUpTolerance m_Tolerance;
  std::map<InstanceId, Book> m_Books;
};

} // namespace havenstair

#endif
