#include "decisions/process/EngineLedger.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// Adapters that may be on their way to an engine at one time.
constexpr std::size_t MostComing = 4;

double adapterMb(const EngineSpec &Spec, const std::string &Model) {
  const ModelSpec *Found = Spec.model(Model);
  return Found == nullptr ? 0 : Found->m_AdapterMb;
}

double modelMb(const EngineSpec &Spec, const std::string &Model) {
  const ModelSpec *Found = Spec.model(Model);
  // A model that the configuration no longer names may take any room.
  return Found == nullptr ? Spec.m_WeightsMb : Found->m_SizeMb;
}

struct Room {
  double m_Mb = 0;
  int m_Adapters = 0;
};

Room roomFor(const std::set<ResidencyOrder> &Loads, const EngineSpec &Spec) {
  Room Result;
  for (const ResidencyOrder &Each : Loads) {
    const bool OfModel = Each.m_Adapter.empty();
    Result.m_Mb +=
        OfModel ? modelMb(Spec, Each.m_Model) : adapterMb(Spec, Each.m_Model);
    Result.m_Adapters += OfModel ? 0 : 1;
  }
  return Result;
}

} // namespace

LateOrders EngineLedger::lateWithCall(TimePoint Now) const {
  LateOrders Late = m_Late;
  if (m_Call)
    Late.lost(m_Call->m_Order, m_Call->m_Expected, Now);
  return Late;
}

void EngineLedger::startAgain(TimePoint Now) {
  LateOrders Late = lateWithCall(Now);
  const std::optional<TimePoint> HeldUntil = m_HeldUntil;
  *this = EngineLedger(m_Opts);
  m_Late = std::move(Late);
  m_HeldUntil = HeldUntil;
  passTime(Now);
}

void EngineLedger::passTime(TimePoint Now) {
  m_Late.expire(m_Opts.m_OrderLife, Now);
  if (m_HeldUntil && Now >= *m_HeldUntil)
    m_HeldUntil.reset();
}

bool EngineLedger::older(const ResidencyReport &Report) const {
  return m_Known && Report.m_OrderCount < m_Count;
}

/// Remembers that \p Report tells a lower count. \returns whether it does so
/// because the engine has started again.
bool EngineLedger::noteLowerCount(const ResidencyReport &Report,
                                  TimePoint AskedAt) {
  // A late answer may have taken the place of the one that was due.
  return Report.m_StartTime == 0 && AskedAt > m_CountAt &&
         std::exchange(m_CountFell, true);
}

bool EngineLedger::heard(const ResidencyReport &Report, TimePoint Now,
                         TimePoint AskedAt) {
  // While a call is under way its answer tells how the count moves.
  if (m_Call)
    return false;
  const bool Restarted = older(Report);
  if (Restarted && !noteLowerCount(Report, AskedAt))
    return false;
  if (Restarted)
    startAgain(Now);
  m_CountFell = false;
  m_CountAt = Now;
  if (m_Uncertain) {
    const bool Moved = Report.m_OrderCount > m_Uncertain->m_Expected;
    if (Moved || Now - m_Uncertain->m_First > m_Opts.m_OrderLife)
      m_Uncertain.reset();
  }
  m_Known = true;
  m_Doubt = false;
  m_Count = Report.m_OrderCount;
  m_Models = Report.m_Models;
  m_InMemory = Report.m_InMemory;
  m_OnDisk = Report.m_OnDisk;
  m_Coming.clear();
  for (const ResidentModel &Pending : Report.m_Pending)
    for (const std::string &Adapter : Pending.m_Adapters)
      if (!holds(Pending.m_Name, Adapter))
        m_Coming.insert({Pending.m_Name, Adapter});
  if (!Report.m_OrderUnderWay)
    m_ModelOrder.reset();
  else if (!m_ModelOrder)
    m_ModelOrder = ResidencyOrder{}; // Somebody else's, of unknown kind.
  return Restarted;
}

void EngineLedger::listed(const UpstreamInstance &Entry) {
  if (Entry.m_Models == m_Listed)
    return;
  m_Listed = Entry.m_Models;
  if (m_Known && m_Listed != m_Models)
    m_Doubt = true;
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
EngineLedger::comingAdapters(const std::string &Model) const {
  std::set<std::string> Result;
  for (const auto &[Name, Adapter] : m_Coming)
    if (Name == Model)
      Result.insert(Adapter);
  return Result;
}

int EngineLedger::adapters() const {
  std::size_t Sum = m_Coming.size();
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
  for (const auto &[Model, Adapter] : m_Coming)
    Sum += adapterMb(Spec, Model);
  if (m_ModelOrder && m_ModelOrder->m_Load && !holds(m_ModelOrder->m_Model))
    Sum += modelMb(Spec, m_ModelOrder->m_Model);
  return Sum;
}

/// Whether \p Order fits beside what it holds and late orders may still bring.
bool EngineLedger::fitsBesideLate(const ResidencyOrder &Order,
                                  const EngineSpec &Spec) const {
  std::set<ResidencyOrder> Loads = m_Late.loads(m_Count);
  std::erase_if(Loads, [&](const ResidencyOrder &Each) {
    return holds(Each.m_Model, Each.m_Adapter) ||
           m_Coming.contains({Each.m_Model, Each.m_Adapter});
  });
  Loads.insert(Order);
  const Room Wanted = roomFor(Loads, Spec);
  return usedMb(Spec) + Wanted.m_Mb <= Spec.m_WeightsMb &&
         (Wanted.m_Adapters == 0 ||
          adapters() + Wanted.m_Adapters <= Spec.m_AdapterCapacity);
}

/// Whether \p Order and all late ones fit together into an engine that holds
/// nothing: before anybody knows that it has started again, they may all come.
bool EngineLedger::fitsLaterStart(const ResidencyOrder &Order,
                                  const EngineSpec &Spec) const {
  std::set<ResidencyOrder> Loads = m_Late.loads();
  Loads.insert(Order);
  const Room Wanted = roomFor(Loads, Spec);
  return Loads.size() == 1 || (Wanted.m_Mb <= Spec.m_WeightsMb &&
                               Wanted.m_Adapters <= Spec.m_AdapterCapacity);
}

bool EngineLedger::allows(const ResidencyOrder &Order,
                          const EngineSpec &Spec) const {
  const bool Again = m_Uncertain && m_Uncertain->m_Order == Order;
  if (!m_Known || m_Doubt || m_Call || m_ModelOrder || (m_Uncertain && !Again))
    return false;
  if (!Order.m_Load)
    return true;
  if (m_HeldUntil)
    return false;
  if (!fitsBesideLate(Order, Spec) || !fitsLaterStart(Order, Spec))
    return false;
  if (Order.m_Adapter.empty())
    return !holds(Order.m_Model) && m_Coming.empty();
  return holds(Order.m_Model) && m_Coming.size() < MostComing &&
         !m_Coming.contains({Order.m_Model, Order.m_Adapter});
}

std::uint64_t EngineLedger::begin(const ResidencyOrder &Order, TimePoint Now) {
  const TimePoint First = m_Uncertain ? m_Uncertain->m_First : Now;
  m_Call = Sent{
      .m_Order = Order, .m_Expected = m_Count, .m_At = Now, .m_First = First};
  return m_Count;
}

void EngineLedger::answered(OrderAnswer Answer, TimePoint Now) {
  if (!m_Call)
    return;
  Sent Ended = *m_Call;
  m_Call.reset();
  switch (Answer) {
  case OrderAnswer::Accepted:
    m_CountAt = Now;
    m_Uncertain.reset();
    m_Count = Ended.m_Expected + 1;
    if (Ended.m_Order.m_Adapter.empty())
      m_ModelOrder = Ended.m_Order;
    else if (Ended.m_Order.m_Load)
      m_Coming.insert({Ended.m_Order.m_Model, Ended.m_Order.m_Adapter});
    else
      m_Doubt = true;
    return;
  case OrderAnswer::AlreadyDone:
    if (!Ended.m_Order.m_Load && !Ended.m_Order.m_Adapter.empty() &&
        !m_Uncertain) {
      // An adapter that no request uses goes at once.
      m_CountAt = Now;
      m_Count = Ended.m_Expected + 1;
      dropAdapter(Ended.m_Order.m_Model, Ended.m_Order.m_Adapter);
      return;
    }
    // What is still on its way has nothing left to change.
    m_Uncertain.reset();
    m_Doubt = true;
    return;
  case OrderAnswer::Busy:
  case OrderAnswer::Fenced:
  case OrderAnswer::Refused:
    // Another order may have moved the count; only the engine knows.
    m_Doubt = true;
    return;
  case OrderAnswer::Lost:
    Ended.m_At = Now;
    m_Uncertain = Ended;
    m_Late.lost(Ended.m_Order, Ended.m_Expected, Now);
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
  if (!m_Uncertain || m_Call || m_Doubt ||
      Now - m_Uncertain->m_At < m_Opts.m_ResendAfter)
    return std::nullopt;
  return m_Uncertain->m_Order;
}

} // namespace havenstair
