/// \file
/// How boxes find the requests that end servers together.
/// See docs/design/crashing-requests.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_CRASHEXCHANGE_H
#define HAVENSTAIR_GATEWAY_PROCESS_CRASHEXCHANGE_H

#include "gateway/process/BarKeeper.h"
#include "gateway/process/CrashWatch.h"
#include "gateway/request/CrashDesk.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/PeerFrames.h"
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace havenstair {

class DecisionLog;
class Fleet;

/// All relays hear which requests were on an ended server, and each judges for
/// itself. Bars, and that a suspected request ran well, go to all boxes. What
/// must outlive them is in the store.
class CrashExchange : public CrashDesk {
public:
  struct Hooks {
    CrashWatch::Hooks m_Watch; ///< Without m_Crashed.
    /// Requests that wait may go on, and barred ones are to end.
    std::function<void()> m_Changed;
    /// A server was asked after its connection broke; \p What it turned out to
    /// be: "ended" or "lives".
    std::function<void(std::string_view What)> m_Asked;
    /// Whether this box writes what the store keeps.
    std::function<bool()> m_Writes;
  };

  CrashExchange(EventLoop &Loop, HttpClient &Client, CoordinationStore &Store,
                Fleet &Boxes, const ServingView &View, CrashTracker &Book,
                DecisionLog &Log, const std::string &Prefix, Hooks Callbacks);

  void broke(const UpstreamIncarnation &Server,
             const std::optional<RequestDigest> &Request) override;
  void unreachable(const UpstreamIncarnation &Server) override;
  void ranWell(const UpstreamIncarnation &Server,
               const RequestDigest &Request) override;
  std::optional<Duration> hold(const RequestDigest &Request,
                               TimePoint Now) const override;

  /// The list of servers has changed.
  void listed() { m_Watch.listed(EventLoop::now()); }
  /// The store's keys have changed; \p Items are those of the whole prefix.
  void entriesChanged(const std::map<std::string, StoreItem> &Items);
  /// A box that has just come may know nothing.
  void linkUp(const BoxName &Box);
  void onFrame(const BoxName &From, const PeerFrame &Frame);

private:
  CrashWatch::Hooks watchHooks(CrashWatch::Hooks Outer);
  /// A run whose server may yet turn out to have ended by it.
  struct Run {
    UpstreamIncarnation m_Server;
    RequestDigest m_Request;
    TimePoint m_At{};
    bool m_Asked = false; ///< Whether the server lives on.
  };

  void tick();
  void askAfterRuns(TimePoint Now);
  void confirmRuns(TimePoint Now);
  void cleared(const RequestDigest &Request);
  void crashed(const UpstreamIncarnation &Server,
               const std::vector<RequestDigest> &Running);
  bool heard(const CrashFrame &Frame);
  void tellSuspects(const std::vector<RequestDigest> &Among);
  void judgeLater();
  void judge();
  void noteBarred(const RequestDigest &Request, std::string_view How);
  std::vector<ToldBar> toldBars(const std::vector<RequestDigest> &Of) const;

  void take(const BoxName &From, const CrashFrame &Frame);
  void take(const BoxName &From, const CrashSuspectsFrame &Frame);
  void take(const BoxName &From, const RanWellFrame &Frame);
  void take(const BoxName &From, const RequestBarsFrame &Frame);

  EventLoop &m_Loop;
  Fleet &m_Fleet;
  CrashTracker &m_Book;
  DecisionLog &m_Log;
  Hooks m_Hooks;
  CrashWatch m_Watch;
  BarKeeper m_Keeper;
  std::deque<Run> m_Runs; ///< The oldest first.
  Timer m_JudgeTimer;
  Timer m_TickTimer;
};

} // namespace havenstair

#endif
