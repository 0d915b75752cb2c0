/// \file
/// Orders to engines, their answers, and engines' reports.
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

/// An order to load or unload a model or, with an adapter, that adapter.
struct ResidencyOrder {
  bool m_Load = true;
  std::string m_Model;
  std::string m_Adapter;

  auto operator<=>(const ResidencyOrder &) const = default;
  bool operator==(const ResidencyOrder &) const = default;
};

/// Who gives an order and what it expects.
struct OrderStamp {
  std::string m_Holder;
  std::uint64_t m_FencingToken = 0;
  std::uint64_t m_ExpectedCount = 0; ///< Orders the engine has taken so far.
};

enum class OrderAnswer {
  Accepted,    ///< Under way.
  AlreadyDone, ///< It is as the order wants already.
  Busy,        ///< Another order is under way, or the count differs.
  Fenced,      ///< A newer holder gave orders.
  Refused,     ///< It will never be carried out.
  Lost         ///< No answer; it may be carried out, now or later.
};

/// For logs and metrics.
std::string_view answerName(OrderAnswer Answer);

/// What an engine says of itself when asked.
struct ResidencyReport {
  UpstreamBirth m_Born = 0; ///< 0 when it does not tell.
  std::uint64_t m_OrderCount = 0;
  bool m_OrderUnderWay = false;
  std::vector<ResidentModel> m_Models;
  /// Adapters on their way, by model.
  std::vector<ResidentModel> m_Pending;
  std::set<std::string> m_InMemory;
  std::set<std::string> m_OnDisk;
  int m_Running = 0;
  int m_Queued = 0;
  Duration m_ColdFor = 0us; ///< How much longer it is cold.
  bool m_Leaving = false;   ///< It says that it leaves.
};

} // namespace havenstair

#endif
