/// \file
/// How boxes keep one limit for each organisation together.
/// See docs/design/quotas.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_QUOTAEXCHANGE_H
#define HAVENSTAIR_GATEWAY_PROCESS_QUOTAEXCHANGE_H

#include "decisions/process/BoxCensus.h"
#include "decisions/process/QuotaLedger.h"
#include "gateway/request/QuotaDesk.h"
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

/// Relays count, and tell each other. A leaf asks a relay of its data centre
/// before it sends a request of an organisation whose quota is nearly used up;
/// otherwise it sends at once and tells a relay. A leaf that no relay has
/// answered for some time uses its own part of each quota.
class QuotaExchange : public QuotaDesk {
public:
  struct Hooks {
    /// Boxes that this one counts for, besides itself.
    std::function<std::size_t()> m_Leaves;
  };

  QuotaExchange(EventLoop &Loop, Fleet &Boxes, DecisionLog &Log,
                const QuotaTolerance &Tolerance, Hooks Callbacks);
  QuotaExchange(const QuotaExchange &) = delete;
  QuotaExchange &operator=(const QuotaExchange &) = delete;

  void setTolerance(const QuotaTolerance &Tolerance);
  void configure(const std::vector<Organisation> &All);
  /// The list of boxes has changed, or the topology.
  void boxesChanged();

  void take(const std::string &Organisation, const QuotaRequest &Request,
            Done Callback) override;
  void giveBack(const std::string &Organisation, double Units) override;

  void onFrame(const BoxName &From, const PeerFrame &Frame);

private:
  /// A question that a relay has not answered yet.
  struct Asked {
    std::string m_Organisation;
    QuotaRequest m_Request;
    QuotaDesk::Done m_Done;     ///< Empty when the units are used already.
    std::set<BoxName> m_Relays; ///< That have been asked.
    TimePoint m_Since{};
    Timer m_Timer;
  };

  std::size_t counted() const;
  bool counts() const;
  void decide(const std::string &Organisation, const QuotaRequest &Request,
              const QuotaDesk::Done &Callback);
  void tick();
  void tell(bool All);
  void logAccounts();
  void setBoxes(TimePoint Now);
  bool alone(TimePoint Now) const;
  BoxName nextRelay(const std::set<BoxName> &Tried) const;
  /// Without a callback, units that are used already are told.
  void ask(const std::string &Organisation, const QuotaRequest &Request,
           QuotaDesk::Done Callback);
  void sendAsk(std::uint64_t Id);
  void unanswered(std::uint64_t Id);

  void take(const BoxName &From, const QuotaAskFrame &Frame);
  void take(const BoxName &From, const QuotaAnswerFrame &Frame);
  void take(const BoxName &From, const QuotaUseFrame &Frame);

  EventLoop &m_Loop;
  Fleet &m_Fleet;
  DecisionLog &m_Log;
  Hooks m_Hooks;
  QuotaLedger m_Book;
  BoxCensus m_Census;
  bool m_BoxesKnown = false; ///< Before, any part would be a guess.
  bool m_Counts = false;
  std::uint64_t m_LastId = 0;
  std::map<std::uint64_t, Asked> m_Asked;
  /// Organisations far below their quota, and until when that is believed.
  std::map<std::string, TimePoint> m_AmpleUntil;
  BoxName m_Relay; ///< The one that answered last.
  TimePoint m_AnsweredAt{};
  TimePoint m_AskedAt{};
  int m_Ticks = 0;
  std::uint64_t m_LastWait = 0;
  std::map<std::uint64_t, Timer> m_Waiting; ///< For their units.
  Timer m_TickTimer;
  Timer m_AccountTimer;
};

} // namespace havenstair

#endif
