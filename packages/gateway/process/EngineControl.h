/// \file
/// Orders to engines and their reports, as the gateway needs them.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_ENGINECONTROL_H
#define HAVENSTAIR_GATEWAY_PROCESS_ENGINECONTROL_H

#include "decisions/common/Time.h"
#include "decisions/process/UpstreamInstance.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

/// An order to load or unload a model or, with an adapter, that adapter.
struct EngineOrder {
  bool m_Load = true;
  std::string m_Model;
  std::string m_Adapter;

  auto operator<=>(const EngineOrder &) const = default;
};

/// Who gives an order and what it expects.
struct OrderStamp {
  std::string m_Holder;
  std::uint64_t m_FencingToken = 0;
  std::uint64_t m_ExpectedCount = 0; ///< Orders the engine has taken so far.
};

enum class OrderAnswer {
  Accepted,    ///< Under way.
  AlreadyDone, ///< The engine holds it, or does not, already.
  Busy,        ///< Another order is under way, or the count differs.
  Fenced,      ///< A newer holder gave orders.
  Refused,     ///< The order cannot be carried out, or another server answered.
  Lost         ///< No answer; it may be carried out, now or later.
};

/// What an engine says of itself when asked.
struct EngineReport {
  std::uint64_t m_OrderCount = 0;
  bool m_OrderUnderWay = false;
  std::vector<ResidentModel> m_Models;
  /// Adapters on their way, by model.
  std::vector<ResidentModel> m_Pending;
  std::set<std::string> m_InMemory;
  std::set<std::string> m_OnDisk;
  int m_Running = 0;
  int m_Queued = 0;
};

/// Interface, so that tests can put a fake in its place.
class EngineControl {
public:
  using OrderDone = std::function<void(OrderAnswer)>;
  using ReportDone = std::function<void(std::optional<EngineReport>)>;

  virtual ~EngineControl() = default;
  virtual void order(const UpstreamInstance &To, const EngineOrder &Order,
                     const OrderStamp &Stamp, OrderDone Callback) = 0;
  /// Empty when the engine gave no usable report.
  virtual void report(const UpstreamInstance &Of, ReportDone Callback) = 0;
};

} // namespace havenstair

#endif
