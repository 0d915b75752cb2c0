#include "soak/ModelShelf.h"

#include <algorithm>

namespace havenstair {

namespace {

constexpr Duration DiskLoad = 300ms;
constexpr Duration AdapterLoad = 50ms;
constexpr Duration Unload = 50ms;

constexpr int AlreadySo = 200;
constexpr int Taken = 202;
constexpr int Malformed = 400;
constexpr int Busy = 409;
constexpr int Fenced = 412;

/// Boxes add a part that differs at each start; they count as one all the same.
std::string boxOf(const std::string &Holder) {
  return Holder.substr(0, Holder.find('.'));
}

} // namespace

double ModelShelf::usedMb() const {
  return m_Opts.m_ModelMb * static_cast<double>(m_Models.size()) +
         m_Opts.m_AdapterMb * adapters();
}

int ModelShelf::adapters() const {
  std::size_t Sum = 0;
  for (const auto &[Model, Adapters] : m_Models)
    Sum += Adapters.size();
  return static_cast<int>(Sum);
}

OrderArrival ModelShelf::arrival(const Json &Body, TimePoint Now) const {
  return {.m_Engine = {},
          .m_Holder = boxOf(fieldOr<std::string>(Body, "lockHolder", "")),
          .m_Token = fieldOr<std::uint64_t>(Body, "fencingToken", 0),
          .m_Fenced = m_Opts.m_ChecksTokens,
          .m_At = Now};
}

int ModelShelf::order(const Json &Body, TimePoint Now, OrderBegun &Seen) {
  const auto Operation = fieldOr<std::string>(Body, "operation", "");
  const auto Model = fieldOr<std::string>(Body, "modelName", "");
  const auto Adapter = fieldOr<std::string>(Body, "adapterName", "");
  const auto Token = fieldOr<std::uint64_t>(Body, "fencingToken", 0);
  Seen.m_At = Now;
  Seen.m_LimitMb = m_Opts.m_LimitMb;
  Seen.m_AdapterLimit = m_Opts.m_AdapterLimit;
  Seen.m_UsedMb = usedMb();
  Seen.m_Adapters = adapters();
  const bool Load = Operation == "model_load";
  const bool Known = Load || Operation == "model_unload";
  if (!Known || Model.empty() || !Body.contains("lockHolder"))
    return Malformed;
  if (m_Opts.m_ChecksTokens && Token < m_Highest)
    return Fenced;
  m_Highest = std::max(m_Highest, Token);
  const auto Count = fieldOr<std::uint64_t>(Body, "expectedCount", m_Taken);
  if (m_Busy || Count != m_Taken)
    return Busy;
  const auto Found = m_Models.find(Model);
  const bool Here = Found != m_Models.end() &&
                    (Adapter.empty() || Found->second.contains(Adapter));
  if (Here == Load)
    return AlreadySo;
  if (!Adapter.empty() && Found == m_Models.end())
    return Malformed;
  ++m_Taken;
  m_Busy = true;
  m_Loads = Load;
  m_Model = Model;
  m_Adapter = Adapter;
  if (!Load) {
    m_Ends = Now + Unload;
    return Taken;
  }
  Seen.m_UsedMb += Adapter.empty() ? m_Opts.m_ModelMb : m_Opts.m_AdapterMb;
  Seen.m_Adapters += Adapter.empty() ? 0 : 1;
  Seen.m_StoreLoad = Adapter.empty() && !m_OnDisk.contains(Model);
  m_Ends = Now + (!Adapter.empty()   ? AdapterLoad
                  : Seen.m_StoreLoad ? m_Opts.m_StoreLoad
                                     : DiskLoad);
  return Taken;
}

bool ModelShelf::advance(TimePoint Now) {
  if (!m_Busy || Now < m_Ends)
    return false;
  m_Busy = false;
  if (!m_Adapter.empty()) {
    if (m_Loads)
      m_Models[m_Model].insert(m_Adapter);
    else
      m_Models[m_Model].erase(m_Adapter);
  } else if (m_Loads) {
    m_Models[m_Model];
    m_OnDisk.insert(m_Model);
  } else {
    m_Models.erase(m_Model);
  }
  return true;
}

void ModelShelf::forget() {
  m_Models.clear();
  m_Taken = 0;
  m_Highest = 0;
  m_Busy = false;
}

void ModelShelf::replace() {
  forget();
  m_OnDisk.clear();
}

Json ModelShelf::models() const {
  Json Result = Json::array();
  for (const auto &[Name, Adapters] : m_Models)
    Result.push_back(
        {{"name", Name}, {"version", 1}, {"adapterList", Adapters}});
  return Result;
}

} // namespace havenstair
