#include "decisions/process/EngineLedger.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// Adapters that an engine loads at one time.
constexpr std::size_t MaxLoadingAdapters = 4;

double adapterMb(const EngineSpec &Spec, const std::string &Model) {
  const ModelSpec *Found = Spec.model(Model);
  return Found == nullptr ? 0 : Found->m_AdapterMb;
}

double modelMb(const EngineSpec &Spec, const std::string &Model) {
  const ModelSpec *Found = Spec.model(Model);
  // A model that the configuration no longer names may be of any size.
  return Found == nullptr ? Spec.m_WeightsMb : Found->m_SizeMb;
}

/// Memory and adapter slots that a set of loads takes.
struct Footprint {
  double m_Mb = 0;
  int m_Adapters = 0;
};

Footprint footprintOf(const std::set<ResidencyOrder> &Loads,
                      const EngineSpec &Spec) {
  Footprint Result;
  for (const ResidencyOrder &Load : Loads) {
    const bool OfModel = Load.m_Adapter.empty();
    Result.m_Mb +=
        OfModel ? modelMb(Spec, Load.m_Model) : adapterMb(Spec, Load.m_Model);
    Result.m_Adapters += OfModel ? 0 : 1;
  }
  return Result;
}

} // namespace

LateOrders EngineLedger::lateOrdersWithCall(TimePoint Now) const {
  LateOrders Late = m_LateOrders;
  if (m_Call)
    Late.add(m_Call->m_Order, m_Call->m_Expected, Now);
  return Late;
}

void EngineLedger::onRestart(TimePoint Now) {
  LateOrders Late = lateOrdersWithCall(Now);
  const std::optional<TimePoint> LoadsBlockedUntil = m_LoadsBlockedUntil;
  *this = EngineLedger(m_Opts);
  m_LateOrders = std::move(Late);
  m_LoadsBlockedUntil = LoadsBlockedUntil;
  expireLateOrders(Now);
}

void EngineLedger::expireLateOrders(TimePoint Now) {
  m_LateOrders.expire(m_Opts.m_OrderLife, Now);
  if (m_LoadsBlockedUntil && Now >= *m_LoadsBlockedUntil)
    m_LoadsBlockedUntil.reset();
}

bool EngineLedger::isOlder(const ResidencyReport &Report) const {
  return m_Known && Report.m_OrderCount < m_Count;
}

/// Records that \p Report has a lower count than known. \returns whether that
/// shows a restart of the engine.
bool EngineLedger::confirmsRestart(const ResidencyReport &Report,
                                   TimePoint AskedAt) {
  // One such report may be a late answer in place of the one that was due.
  return Report.m_StartTime == 0 && AskedAt > m_CountKnownAt &&
         std::exchange(m_SawLowerCount, true);
}

bool EngineLedger::applyReport(const ResidencyReport &Report, TimePoint Now,
                               TimePoint AskedAt) {
  // While a call is under way, its answer tells how the count moves.
  if (m_Call)
    return false;
  const bool Restarted = isOlder(Report);
  if (Restarted && !confirmsRestart(Report, AskedAt))
    return false;
  if (Restarted)
    onRestart(Now);
  m_SawLowerCount = false;
  m_CountKnownAt = Now;
  if (m_Uncertain) {
    const bool Moved = Report.m_OrderCount > m_Uncertain->m_Expected;
    if (Moved || Now - m_Uncertain->m_First > m_Opts.m_OrderLife)
      m_Uncertain.reset();
  }
  m_Known = true;
  m_NeedsRefresh = false;
  m_Count = Report.m_OrderCount;
  m_Models = Report.m_Models;
  m_InMemory = Report.m_InMemory;
  m_OnDisk = Report.m_OnDisk;
  m_LoadingAdapters.clear();
  for (const ResidentModel &Pending : Report.m_Pending)
    for (const std::string &Adapter : Pending.m_Adapters)
      if (!holds(Pending.m_Name, Adapter))
        m_LoadingAdapters.insert({Pending.m_Name, Adapter});
  if (!Report.m_OrderUnderWay)
    m_ModelOrder.reset();
  else if (!m_ModelOrder)
    m_ModelOrder = ResidencyOrder{}; // Another box's order, of unknown kind.
  return Restarted;
}

void EngineLedger::applyListEntry(const UpstreamInstance &Entry) {
  if (Entry.m_Models == m_ListedModels)
    return;
  m_ListedModels = Entry.m_Models;
  if (m_Known && m_ListedModels != m_Models)
    m_NeedsRefresh = true;
}

bool EngineLedger::holds(const std::string &Model,
                         const std::string &Adapter) const {
  return std::any_of(
      m_Models.begin(), m_Models.end(), [&](const ResidentModel &Each) {
        return Each.m_Name == Model &&
               (Adapter.empty() || Each.m_Adapters.contains(Adapter));
      });
}

std::set<std::string>
EngineLedger::loadingAdapters(const std::string &Model) const {
  std::set<std::string> Result;
  for (const auto &[Name, Adapter] : m_LoadingAdapters)
    if (Name == Model)
      Result.insert(Adapter);
  return Result;
}

int EngineLedger::adapters() const {
  std::size_t Sum = m_LoadingAdapters.size();
  for (const ResidentModel &Each : m_Models)
    Sum += Each.m_Adapters.size();
  return static_cast<int>(Sum);
}

double EngineLedger::usedMb(const EngineSpec &Spec) const {
  double Sum = 0;
  for (const ResidentModel &Each : m_Models)
    Sum += modelMb(Spec, Each.m_Name) +
           static_cast<double>(Each.m_Adapters.size()) *
               adapterMb(Spec, Each.m_Name);
  for (const auto &[Model, Adapter] : m_LoadingAdapters)
    Sum += adapterMb(Spec, Model);
  if (m_ModelOrder && m_ModelOrder->m_Load && !holds(m_ModelOrder->m_Model))
    Sum += modelMb(Spec, m_ModelOrder->m_Model);
  return Sum;
}

/// Whether \p Order fits beside what the engine holds and what late orders may
/// still load.
bool EngineLedger::fitsBesideLate(const ResidencyOrder &Order,
                                  const EngineSpec &Spec) const {
  std::set<ResidencyOrder> Loads = m_LateOrders.loads(m_Count);
  std::erase_if(Loads, [&](const ResidencyOrder &Each) {
    return holds(Each.m_Model, Each.m_Adapter) ||
           m_LoadingAdapters.contains({Each.m_Model, Each.m_Adapter});
  });
  Loads.insert(Order);
  const Footprint Wanted = footprintOf(Loads, Spec);
  return usedMb(Spec) + Wanted.m_Mb <= Spec.m_WeightsMb &&
         (Wanted.m_Adapters == 0 ||
          adapters() + Wanted.m_Adapters <= Spec.m_AdapterCapacity);
}

/// Whether \p Order and all late orders together fit into an empty engine:
/// after a restart they may all be carried out before anybody knows of it.
bool EngineLedger::fitsLaterStart(const ResidencyOrder &Order,
                                  const EngineSpec &Spec) const {
  std::set<ResidencyOrder> Loads = m_LateOrders.loads();
  Loads.insert(Order);
  const Footprint Wanted = footprintOf(Loads, Spec);
  return Loads.size() == 1 || (Wanted.m_Mb <= Spec.m_WeightsMb &&
                               Wanted.m_Adapters <= Spec.m_AdapterCapacity);
}

bool EngineLedger::allows(const ResidencyOrder &Order,
                          const EngineSpec &Spec) const {
  const bool Again = m_Uncertain && m_Uncertain->m_Order == Order;
  if (!m_Known || m_NeedsRefresh || m_Call || m_ModelOrder ||
      (m_Uncertain && !Again))
    return false;
  if (!Order.m_Load)
    return true;
  if (m_LoadsBlockedUntil)
    return false;
  if (!fitsBesideLate(Order, Spec) || !fitsLaterStart(Order, Spec))
    return false;
  if (Order.m_Adapter.empty())
    return !holds(Order.m_Model) && m_LoadingAdapters.empty();
  return holds(Order.m_Model) &&
         m_LoadingAdapters.size() < MaxLoadingAdapters &&
         !m_LoadingAdapters.contains({Order.m_Model, Order.m_Adapter});
}

std::uint64_t EngineLedger::begin(const ResidencyOrder &Order, TimePoint Now) {
  const TimePoint First = m_Uncertain ? m_Uncertain->m_First : Now;
  m_Call = SentOrder{
      .m_Order = Order, .m_Expected = m_Count, .m_At = Now, .m_First = First};
  return m_Count;
}

void EngineLedger::recordAnswer(OrderAnswer Answer, TimePoint Now) {
  if (!m_Call)
    return;
  SentOrder Ended = *m_Call;
  m_Call.reset();
  switch (Answer) {
  case OrderAnswer::Accepted:
    m_CountKnownAt = Now;
    m_Uncertain.reset();
    m_Count = Ended.m_Expected + 1;
    if (Ended.m_Order.m_Adapter.empty())
      m_ModelOrder = Ended.m_Order;
    else if (Ended.m_Order.m_Load)
      m_LoadingAdapters.insert(
          {Ended.m_Order.m_Model, Ended.m_Order.m_Adapter});
    else
      m_NeedsRefresh = true;
    return;
  case OrderAnswer::AlreadyDone:
    if (!Ended.m_Order.m_Load && !Ended.m_Order.m_Adapter.empty() &&
        !m_Uncertain) {
      // An adapter that no request uses is unloaded at once.
      m_CountKnownAt = Now;
      m_Count = Ended.m_Expected + 1;
      dropAdapter(Ended.m_Order.m_Model, Ended.m_Order.m_Adapter);
      return;
    }
    // A late copy of the order has nothing left to change.
    m_Uncertain.reset();
    m_NeedsRefresh = true;
    return;
  case OrderAnswer::Busy:
  case OrderAnswer::Fenced:
  case OrderAnswer::Refused:
    // Another order may have moved the count; only the engine knows.
    m_NeedsRefresh = true;
    return;
  case OrderAnswer::Lost:
    Ended.m_At = Now;
    m_Uncertain = Ended;
    m_LateOrders.add(Ended.m_Order, Ended.m_Expected, Now);
    return;
  }
}

void EngineLedger::dropAdapter(const std::string &Model,
                               const std::string &Adapter) {
  for (ResidentModel &Each : m_Models)
    if (Each.m_Name == Model)
      Each.m_Adapters.erase(Adapter);
}

std::optional<ResidencyOrder> EngineLedger::resend(TimePoint Now) const {
  if (!m_Uncertain || m_Call || m_NeedsRefresh ||
      Now - m_Uncertain->m_At < m_Opts.m_ResendAfter)
    return std::nullopt;
  return m_Uncertain->m_Order;
}

} // namespace havenstair
