/// \file
/// What one engine holds and what orders may still change it.
/// See docs/design/orders.md.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_ENGINELEDGER_H
#define HAVENSTAIR_DECISIONS_PROCESS_ENGINELEDGER_H

#include "decisions/common/Time.h"
#include "decisions/process/LateOrders.h"
#include "decisions/process/ResidencyOrder.h"
#include "decisions/process/UpstreamInstance.h"
#include "decisions/version/ServingConfig.h"
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace havenstair {

/// The order count of an engine serves as a compare-and-swap: of all orders
/// that expect the same count, at most one is ever carried out, however
/// lateOrders. So an order without an answer is sent again unchanged until the
/// count has moved, and nothing else is ordered meanwhile: both its outcomes
/// fit. An engine that has started again counts from 0, so that orders to its
/// former start may fit again: until they are too lateOrders they count as
/// possible.
class EngineLedger {
public:
  struct Options {
    /// An order without an answer is sent again after this.
    Duration m_ResendAfter = 400ms;
    /// Longest time after which an order may still be carried out.
    Duration m_OrderLife = 15s;
  };

  EngineLedger() : EngineLedger(Options{}) {}
  explicit EngineLedger(Options Opts) : m_Opts(Opts) {}

  /// The engine has started again at \p Now, and has told nothing yet.
  void onRestart(TimePoint Now);
  /// Late orders that are not known may still be carried out until \p Until, so
  /// nothing is loaded before.
  void blockLoadsUntil(TimePoint Until) { m_LoadsBlockedUntil = Until; }
  /// To be called every now and then: orders become too lateOrders with time.
  void expireLateOrders(TimePoint Now);
  /// Orders that may still be carried out by this start, or by a later one.
  const LateOrders &lateOrders() const { return m_LateOrders; }
  /// The same, if a call that is under way gets no answer.
  LateOrders lateOrdersWithCall(TimePoint Now) const;
  void setLateOrders(LateOrders Late) { m_LateOrders = std::move(Late); }

  /// What the engine says of itself. Words that are isOlder than what is known
  /// are dropped. One that was asked for at \p AskedAt, after the count was
  /// last known, and tells a lower count is of a later start that tells no
  /// birth; it is believed when it comes twice. \returns whether it shows such
  /// a start; all but lateOrders orders begins anew then.
  bool applyReport(const ResidencyReport &Report, TimePoint Now,
                   TimePoint AskedAt = {});
  /// What its entry in the list says. The entry lags and names no order count,
  /// so news in it only asks for a report.
  void applyListEntry(const UpstreamInstance &Entry);

  /// Whether \p Order may be given now: nothing else is under way, and with
  /// all that may still come the engine stays within \p Spec.
  bool allows(const ResidencyOrder &Order, const EngineSpec &Spec) const;
  /// \p Order is sent. \returns the count that it expects.
  std::uint64_t begin(const ResidencyOrder &Order, TimePoint Now);
  void recordAnswer(OrderAnswer Answer, TimePoint Now);
  /// The order to send again, when one is due.
  std::optional<ResidencyOrder> resend(TimePoint Now) const;

  /// Nothing is under way or uncertain.
  bool idle() const {
    return m_Known && !m_Call && !m_Uncertain && !m_ModelOrder;
  }
  bool known() const { return m_Known; }
  bool awaitsAnswer() const { return m_Call.has_value(); }
  bool uncertain() const { return m_Uncertain.has_value(); }
  /// An accepted order for a model that is not yet carried out.
  const std::optional<ResidencyOrder> &acceptedModelOrder() const {
    return m_ModelOrder;
  }
  /// Whether its own word is needed to go on.
  bool needsReport() const {
    return !m_Known || m_ModelOrder || m_Uncertain ||
           !m_LoadingAdapters.empty() || m_NeedsRefresh;
  }

  std::uint64_t count() const { return m_Count; }
  const std::vector<ResidentModel> &models() const { return m_Models; }
  const std::set<std::string> &inMemory() const { return m_InMemory; }
  const std::set<std::string> &onDisk() const { return m_OnDisk; }
  bool holds(const std::string &Model, const std::string &Adapter = {}) const;
  /// Adapters there or on their way.
  int adapters() const;
  bool isLoading(const std::string &Model, const std::string &Adapter) const {
    return m_LoadingAdapters.contains({Model, Adapter});
  }
  /// Adapters of \p Model that are on their way.
  std::set<std::string> loadingAdapters(const std::string &Model) const;
  /// Weights and adapters there or on their way, in MB.
  double usedMb(const EngineSpec &Spec) const;

private:
  struct SentOrder {
    ResidencyOrder m_Order;
    std::uint64_t m_Expected = 0;
    TimePoint m_At{};
    TimePoint m_First{};
  };

  bool isOlder(const ResidencyReport &Report) const;
  bool confirmsRestart(const ResidencyReport &Report, TimePoint AskedAt);
  void dropAdapter(const std::string &Model, const std::string &Adapter);
  bool fitsBesideLate(const ResidencyOrder &Order,
                      const EngineSpec &Spec) const;
  bool fitsLaterStart(const ResidencyOrder &Order,
                      const EngineSpec &Spec) const;

  Options m_Opts;
  bool m_Known = false;
  std::uint64_t m_Count = 0;
  std::vector<ResidentModel> m_Models;
  std::vector<ResidentModel> m_ListedModels;
  std::set<std::string> m_InMemory;
  std::set<std::string> m_OnDisk;
  std::set<std::pair<std::string, std::string>> m_LoadingAdapters;
  std::optional<SentOrder> m_Call;
  std::optional<SentOrder> m_Uncertain;
  std::optional<ResidencyOrder> m_ModelOrder;
  LateOrders m_LateOrders;
  std::optional<TimePoint> m_LoadsBlockedUntil;
  TimePoint m_CountKnownAt{}; ///< When the count was last known to be that.
  bool m_SawLowerCount = false;
  bool m_NeedsRefresh = false; ///< Its state differs from what was expected.
};

} // namespace havenstair

#endif
