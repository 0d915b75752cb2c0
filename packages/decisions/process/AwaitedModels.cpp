#include "decisions/process/AwaitedModels.h"

#include <algorithm>
#include <utility>

namespace havenstair {

namespace {

/// How long a key is kept after the last request for it.
constexpr Duration WaitRetention = 5s;

} // namespace

void AwaitedModels::add(const std::vector<ModelKey> &Keys, TimePoint Now) {
  for (const ModelKey &Key : Keys)
    m_Waits.try_emplace(Key, Wait{.m_Since = Now}).first->second.m_Last = Now;
}

void AwaitedModels::expire(
    const std::function<bool(const ModelKey &)> &Resident, TimePoint Now) {
  std::erase_if(m_Waits, [&](const auto &Each) {
    return Now - Each.second.m_Last > WaitRetention || Resident(Each.first);
  });
}

std::set<std::string> AwaitedModels::models(const std::string &Service) const {
  std::set<std::string> Result;
  for (const auto &[Key, Each] : m_Waits)
    if (Key.m_Service == Service)
      Result.insert(Key.m_Model);
  return Result;
}

std::vector<AdapterKey>
AwaitedModels::adapters(const std::string &Service) const {
  std::vector<std::pair<TimePoint, AdapterKey>> Waiting;
  for (const auto &[Key, Each] : m_Waits)
    if (Key.m_Service == Service && !Key.m_Adapter.empty())
      Waiting.push_back({Each.m_Since, {Key.m_Model, Key.m_Adapter}});
  std::sort(Waiting.begin(), Waiting.end());
  std::vector<AdapterKey> Result;
  for (auto &[Since, Key] : Waiting)
    Result.push_back(std::move(Key));
  return Result;
}

} // namespace havenstair
