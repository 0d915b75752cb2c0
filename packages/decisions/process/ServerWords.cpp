#include "decisions/process/ServerWords.h"

#include <algorithm>
#include <utility>

namespace havenstair {

const char *toString(LimitChange Change) {
  switch (Change) {
  case LimitChange::None:
    return "none";
  case LimitChange::Begun:
    return "begun";
  case LimitChange::Altered:
    return "altered";
  case LimitChange::Ended:
    return "ended";
  }
  return "unknown";
}

void ServerWords::listed(const InstanceList &List, TimePoint Now) {
  for (auto &[Id, Each] : m_Servers) {
    const auto Entry = List.m_Instances.find(Id);
    if (Entry == List.m_Instances.end()) {
      Each.m_GoneAt = Each.m_GoneAt.value_or(Now);
      continue;
    }
    Each.m_GoneAt.reset();
    if (Entry->second.m_Born > Each.m_Born)
      Each = Words{.m_Born = Entry->second.m_Born};
  }
  std::erase_if(m_Servers, [&](const auto &Each) {
    return Each.second.m_GoneAt && Now - *Each.second.m_GoneAt > RememberFor;
  });
}

/// Null for a life before the newest that is known.
ServerWords::Words *ServerWords::wordsOf(const UpstreamLife &Server) {
  Words &Of = m_Servers[Server.m_Id];
  if (Server.m_Born > Of.m_Born)
    Of = Words{.m_Born = Server.m_Born};
  return Of.m_Born == Server.m_Born ? &Of : nullptr;
}

LimitChange ServerWords::heardLimit(const UpstreamLife &Server,
                                    std::optional<double> PerS,
                                    const BoxName &Self, TimePoint SentAt,
                                    TimePoint Now) {
  const NamedLimit *Before = limit(Server.m_Id);
  // Answers overlap: one without a limit may be older than the limit.
  if (!PerS && (Before == nullptr || SentAt <= Before->m_Heard))
    return LimitChange::None;
  return toldLimit(Server, PerS, Self, 0us, Now);
}

LimitChange ServerWords::toldLimit(const UpstreamLife &Server,
                                   std::optional<double> PerS,
                                   const BoxName &By, Duration Age,
                                   TimePoint Now) {
  Words *Of = wordsOf(Server);
  if (Of == nullptr)
    return LimitChange::None;
  if (!PerS)
    return std::exchange(Of->m_Limit, std::nullopt) ? LimitChange::Ended
                                                    : LimitChange::None;
  if (!Of->m_Limit) {
    Of->m_Limit = {
        .m_PerS = *PerS, .m_Since = Now - Age, .m_Heard = Now, .m_By = By};
    return LimitChange::Begun;
  }
  if (Of->m_Limit->m_PerS == *PerS)
    return LimitChange::None;
  Of->m_Limit->m_PerS = *PerS;
  Of->m_Limit->m_Heard = Now;
  Of->m_Limit->m_By = By;
  return LimitChange::Altered;
}

bool ServerWords::heardLeaving(const UpstreamLife &Server, const BoxName &By,
                               TimePoint Now) {
  Words *Of = wordsOf(Server);
  if (Of == nullptr || Of->m_Leaving)
    return false;
  Of->m_Leaving = {.m_Since = Now, .m_By = By};
  return true;
}

bool ServerWords::heardRetryAfter(const UpstreamLife &Server, Duration For,
                                  TimePoint Now) {
  Words *Of = wordsOf(Server);
  if (Of == nullptr || Of->m_RetryAt >= Now + For)
    return false;
  Of->m_RetryAt = Now + For;
  return true;
}

std::optional<TimePoint> ServerWords::retryAt(const InstanceId &Id,
                                              TimePoint Now) const {
  const auto Found = m_Servers.find(Id);
  if (Found == m_Servers.end() || Found->second.m_RetryAt <= Now)
    return std::nullopt;
  return Found->second.m_RetryAt;
}

std::size_t ServerWords::backedOff(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(m_Servers.begin(), m_Servers.end(), [&](const auto &Each) {
        return Each.second.m_RetryAt > Now;
      }));
}

std::map<UpstreamLife, SaidLeaving> ServerWords::leaving() const {
  std::map<UpstreamLife, SaidLeaving> Result;
  for (const auto &[Id, Each] : m_Servers)
    if (Each.m_Leaving)
      Result[{.m_Id = Id, .m_Born = Each.m_Born}] = *Each.m_Leaving;
  return Result;
}

const NamedLimit *ServerWords::limit(const InstanceId &Id) const {
  const auto Found = m_Servers.find(Id);
  return Found == m_Servers.end() || !Found->second.m_Limit
             ? nullptr
             : &*Found->second.m_Limit;
}

std::map<UpstreamLife, NamedLimit> ServerWords::limits() const {
  std::map<UpstreamLife, NamedLimit> Result;
  for (const auto &[Id, Each] : m_Servers)
    if (Each.m_Limit)
      Result[{.m_Id = Id, .m_Born = Each.m_Born}] = *Each.m_Limit;
  return Result;
}

} // namespace havenstair
