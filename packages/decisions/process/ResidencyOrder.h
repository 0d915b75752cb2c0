/// \file
/// Defines the orders to engines, their answers and the engines' reports.
#ifndef HAVENSTAIR_DECISIONS_PROCESS_RESIDENCYORDER_H
#define HAVENSTAIR_DECISIONS_PROCESS_RESIDENCYORDER_H

#include "decisions/process/UpstreamInstance.h"
#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace havenstair {

/// An order to load or unload a model or, if an adapter is named, that adapter.
struct ResidencyOrder {
  bool m_Load = true; ///< False to unload.
  std::string m_Model;
  std::string m_Adapter; ///< Empty for the model itself.

  auto operator<=>(const ResidencyOrder &) const = default;
  bool operator==(const ResidencyOrder &) const = default;
};

/// Identifies the leader that gives an order, and the engine's state that it
/// expects.
struct OrderStamp {
  std::string m_Leader; ///< The box that holds the lease of leadership.
  std::uint64_t m_FencingToken = 0;
  std::uint64_t m_ExpectedCount = 0; ///< Orders the engine has accepted so far.
};

/// How an engine answered an order.
enum class OrderAnswer {
  Accepted,    ///< The order is being carried out.
  AlreadyDone, ///< The engine is in the ordered state already.
  Busy,        ///< Another order is under way, or the count differs.
  Fenced,      ///< A newer leader has given orders.
  Refused,     ///< The order will never be carried out.
  Lost         ///< No answer; it may be carried out, now or later.
};

/// \returns the name of \p Answer, for logs and metrics.
std::string_view answerName(OrderAnswer Answer);

/// What an engine reports of itself when asked.
struct ResidencyReport {
  StartTime m_StartTime = 0;      ///< 0 when it does not report it.
  std::uint64_t m_OrderCount = 0; ///< Orders accepted since it started.
  bool m_OrderUnderWay = false;
  std::vector<ResidentModel> m_Models; ///< Models and adapters it serves.
  /// Adapters that are being loaded, by model.
  std::vector<ResidentModel> m_Pending;
  std::set<std::string> m_InMemory; ///< Models with weights in host memory.
  std::set<std::string> m_OnDisk;   ///< Models with weights on its disk.
  int m_Running = 0;                ///< Requests.
  int m_Queued = 0;                 ///< Requests.
  Duration m_ColdFor = 0us;         ///< How much longer it is cold.
  bool m_Leaving = false;           ///< It is about to shut down.
};

} // namespace havenstair

#endif
