/// \file
/// Tracks what one engine holds and which orders may still change it.
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
/// that expect the same count, at most one is ever carried out, however late it
/// arrives. So an order without an answer is sent again unchanged until the
/// count has moved, and nothing else is ordered meanwhile: both outcomes of the
/// first call are then covered. An engine that has restarted counts from 0, so
/// orders to its former incarnation may match again; until they are too old
/// they count as possible.
class EngineLedger {
public:
  struct Options {
    /// An order without an answer is sent again after this time.
    Duration m_ResendAfter = 400ms;
    /// Longest time after the end of a call for which its order may still be
    /// carried out.
    Duration m_OrderLife = 15s;
  };

  EngineLedger() : EngineLedger(Options{}) {}
  explicit EngineLedger(Options Opts) : m_Opts(Opts) {}

  /// Records that the engine has restarted and has not reported since. Late
  /// orders are kept, everything else is reset.
  void onRestart(TimePoint Now);
  /// Allows no load before \p Until, as late orders that this box does not know
  /// of may still be carried out.
  void blockLoadsUntil(TimePoint Until) { m_LoadsBlockedUntil = Until; }
  /// Forgets late orders that are too old at \p Now, and ends the block of
  /// loads when it is over. Has to be called regularly.
  void expireLateOrders(TimePoint Now);
  /// Orders that this incarnation of the engine, or a later one, may still
  /// carry out.
  const LateOrders &lateOrders() const { return m_LateOrders; }
  /// The late orders as they are if the call under way gets no answer.
  LateOrders lateOrdersWithCall(TimePoint Now) const;
  /// Replaces the late orders by those known of a former entry of the engine.
  void setLateOrders(LateOrders Late) { m_LateOrders = std::move(Late); }

  /// Takes over the engine's own report of its state. Reports older than what
  /// is known are dropped. A report without a start time that was requested at
  /// \p AskedAt, after the count was last known, and has a lower count comes
  /// from a later incarnation; it counts when it comes twice. \returns
  /// whether the report shows such a restart; all but the late orders is reset
  /// then.
  bool applyReport(const ResidencyReport &Report, TimePoint Now,
                   TimePoint AskedAt = {});
  /// Takes over the engine's entry in the list of upstreams. The entry lags and
  /// has no order count, so a change in it only makes a report necessary.
  void applyListEntry(const UpstreamInstance &Entry);

  /// Whether \p Order may be sent now: nothing else is under way, and with all
  /// late orders carried out the engine stays within \p Spec.
  bool allows(const ResidencyOrder &Order, const EngineSpec &Spec) const;
  /// Records that \p Order is sent. \returns the order count that the order
  /// expects.
  std::uint64_t begin(const ResidencyOrder &Order, TimePoint Now);
  /// Records how the call under way ended; does nothing without one.
  void recordAnswer(OrderAnswer Answer, TimePoint Now);
  /// The order to send again, or nothing when none is due.
  std::optional<ResidencyOrder> resend(TimePoint Now) const;

  /// Whether the state is known and nothing is under way or uncertain.
  bool idle() const {
    return m_Known && !m_Call && !m_Uncertain && !m_ModelOrder;
  }
  /// Whether the engine has reported since it started.
  bool known() const { return m_Known; }
  /// Whether a call is under way.
  bool awaitsAnswer() const { return m_Call.has_value(); }
  /// Whether a call ended without an answer and its outcome is still open.
  bool uncertain() const { return m_Uncertain.has_value(); }
  /// An accepted order for a model that is not yet carried out.
  const std::optional<ResidencyOrder> &acceptedModelOrder() const {
    return m_ModelOrder;
  }
  /// Whether a report of the engine is needed to go on.
  bool needsReport() const {
    return !m_Known || m_ModelOrder || m_Uncertain ||
           !m_LoadingAdapters.empty() || m_NeedsRefresh;
  }

  /// The engine's order count as last known.
  std::uint64_t count() const { return m_Count; }
  const std::vector<ResidentModel> &models() const { return m_Models; }
  /// Models whose weights are in the memory of the engine's host.
  const std::set<std::string> &inMemory() const { return m_InMemory; }
  /// Models whose weights are on the disk of the engine's host.
  const std::set<std::string> &onDisk() const { return m_OnDisk; }
  /// Whether the engine holds \p Model and, unless it is empty, \p Adapter.
  bool holds(const std::string &Model, const std::string &Adapter = {}) const;
  /// Number of adapters that the engine holds or is loading.
  int adapters() const;
  /// Whether the engine is loading \p Adapter of \p Model.
  bool isLoading(const std::string &Model, const std::string &Adapter) const {
    return m_LoadingAdapters.contains({Model, Adapter});
  }
  /// Adapters of \p Model that the engine is loading.
  std::set<std::string> loadingAdapters(const std::string &Model) const;
  /// Weights and adapters that the engine holds or is loading, in MB.
  double usedMb(const EngineSpec &Spec) const;

private:
  /// An order that was sent, with the order count that it expects.
  struct SentOrder {
    ResidencyOrder m_Order;
    std::uint64_t m_Expected = 0;
    /// When the call began or, without an answer, ended.
    TimePoint m_At{};
    /// When the order was sent for the first time.
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
  /// Models of the last list entry.
  std::vector<ResidentModel> m_ListedModels;
  std::set<std::string> m_InMemory;
  std::set<std::string> m_OnDisk;
  /// Model and adapter of each adapter that is being loaded.
  std::set<std::pair<std::string, std::string>> m_LoadingAdapters;
  /// The call under way.
  std::optional<SentOrder> m_Call;
  /// The last call that ended without an answer, until its outcome is known.
  std::optional<SentOrder> m_Uncertain;
  /// See acceptedModelOrder(); empty names when another box gave the order.
  std::optional<ResidencyOrder> m_ModelOrder;
  LateOrders m_LateOrders;
  /// See blockLoadsUntil().
  std::optional<TimePoint> m_LoadsBlockedUntil;
  /// When m_Count was last confirmed.
  TimePoint m_CountKnownAt{};
  /// Whether one report with a lower count came; the next one confirms a
  /// restart.
  bool m_SawLowerCount = false;
  /// Whether the engine's state differs from what was expected.
  bool m_NeedsRefresh = false;
};

} // namespace havenstair

#endif
