/// \file
/// Enforces one quota for each organisation across all boxes.
/// See docs/design/quotas.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_QUOTAEXCHANGE_H
#define HAVENSTAIR_GATEWAY_PROCESS_QUOTAEXCHANGE_H

#include "decisions/process/BoxCensus.h"
#include "decisions/process/QuotaLedger.h"
#include "gateway/request/QuotaService.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/PeerFrames.h"
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

class DecisionLog;
class Fleet;

/// Counts how much of each quota is used, together with the other boxes. Relays
/// keep the ledger and send their usage to each other. A leaf asks a relay of
/// its data centre before it sends a request of an organisation whose quota is
/// nearly used up; otherwise it sends at once and reports the units to a relay.
/// A leaf that no relay has answered for some time enforces its own share of
/// each quota.
class QuotaExchange : public QuotaService {
public:
  struct Hooks {
    /// \returns the number of leaves that this relay counts for.
    std::function<std::size_t()> m_LeafCount;
  };

  QuotaExchange(EventLoop &Loop, Fleet &Boxes, DecisionLog &Log,
                const QuotaTolerance &Tolerance, Hooks Callbacks);
  QuotaExchange(const QuotaExchange &) = delete;
  QuotaExchange &operator=(const QuotaExchange &) = delete;

  /// Sets by how much use may exceed a quota.
  void setTolerance(const QuotaTolerance &Tolerance);
  /// Takes over the quotas of all organisations.
  void configure(const std::vector<Organisation> &All);
  /// Called when the list of boxes or the topology has changed.
  void boxesChanged();
  /// Answers all requests that wait for units, and from now on those that would
  /// have to, with the step `Wait`.
  void stopWaiting();

  void acquire(const std::string &Organisation, const QuotaRequest &Request,
               Done Callback) override;
  void refund(const std::string &Organisation, double Units) override;

  /// Handles the quota frames among those that \p From sends.
  void onFrame(const BoxName &From, const PeerFrame &Frame);

private:
  /// A query that no relay has answered yet.
  struct Query {
    std::string m_Organisation;
    QuotaRequest m_Request;
    QuotaService::Done m_Done;  ///< Empty to report units already used.
    std::set<BoxName> m_Relays; ///< Relays that have been asked.
    /// When it was first sent; later than now while it waits for units.
    TimePoint m_Since{};
    Timer m_Timer;

    bool waitsForUnits(TimePoint Now) const { return m_Since > Now; }
  };
  /// A request that waits until the units for it are there.
  struct UnitWait {
    QuotaService::Done m_Done;
    Timer m_Timer;
  };

  std::size_t boxesCountedFor() const;
  bool keepsLedger() const;
  void decide(const std::string &Organisation, const QuotaRequest &Request,
              const QuotaService::Done &Callback);
  void tick();
  void sendUsage(bool All);
  void logAccounts();
  void setBoxes(TimePoint Now);
  bool isolated(TimePoint Now) const;
  BoxName nextRelay(const std::set<BoxName> &Tried) const;
  /// Without a callback, reports units that are already used.
  void ask(const std::string &Organisation, const QuotaRequest &Request,
           QuotaService::Done Callback);
  void sendQuery(std::uint64_t Id);
  void onTimeout(std::uint64_t Id);

  void receive(const BoxName &From, const QuotaAskFrame &Frame);
  void receive(const BoxName &From, const QuotaAnswerFrame &Frame);
  void receive(const BoxName &From, const QuotaUseFrame &Frame);

  EventLoop &m_Loop;
  Fleet &m_Fleet;
  DecisionLog &m_Log;
  Hooks m_Hooks;
  QuotaLedger m_Ledger;
  BoxCensus m_Census;
  /// The list of boxes has been read. Without it, an own share would be a
  /// guess.
  bool m_BoxesKnown = false;
  bool m_KeepsLedger = false; ///< This box is a relay.
  std::uint64_t m_LastId = 0;
  std::map<std::uint64_t, Query> m_Queries;
  /// Organisations far below their quota, with the time until which that
  /// information is valid.
  std::map<std::string, TimePoint> m_AmpleUntil;
  BoxName m_Relay;          ///< The relay that answered last.
  TimePoint m_AnsweredAt{}; ///< When a relay last answered.
  TimePoint m_LastAskedAt{};
  int m_Ticks = 0;
  std::uint64_t m_LastWait = 0;
  std::map<std::uint64_t, UnitWait> m_Waiting;
  bool m_MayWait = true;
  Timer m_TickTimer;
  Timer m_AccountTimer;
};

} // namespace havenstair

#endif
