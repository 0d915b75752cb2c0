#include "wire/common/KeptConnections.h"

#include "wire/common/EventLoop.h"
#include <algorithm>
#include <event2/http.h>
#include <memory>

namespace havenstair {

namespace {

constexpr std::size_t MaxIdlePerAddress = 24;

} // namespace

KeptConnections::~KeptConnections() {
  for (const auto &[To, List] : m_Idle)
    for (const Idle &Each : List) {
      evhttp_connection_set_closecb(Each.m_Connection, nullptr, nullptr);
      evhttp_connection_free(Each.m_Connection);
    }
}

void KeptConnections::put(const Endpoint &To, evhttp_connection *Connection,
                          TimePoint Until) {
  std::vector<Idle> &List = m_Idle[To];
  evhttp_connection_set_closecb(Connection, onClosed, this);
  List.push_back({Connection, Until});
  if (List.size() <= MaxIdlePerAddress)
    return;
  closeLater(List.front().m_Connection);
  List.erase(List.begin());
}

evhttp_connection *KeptConnections::take(const Endpoint &To, TimePoint Now) {
  const auto Found = m_Idle.find(To);
  if (Found == m_Idle.end())
    return nullptr;
  std::vector<Idle> &List = Found->second;
  while (!List.empty()) {
    const Idle Last = List.back();
    List.pop_back();
    if (Now < Last.m_Until) {
      evhttp_connection_set_closecb(Last.m_Connection, nullptr, nullptr);
      return Last.m_Connection;
    }
    closeLater(Last.m_Connection);
  }
  m_Idle.erase(Found);
  return nullptr;
}

void KeptConnections::drop(const Endpoint &To) {
  const auto Found = m_Idle.find(To);
  if (Found == m_Idle.end())
    return;
  for (const Idle &Each : Found->second)
    closeLater(Each.m_Connection);
  m_Idle.erase(Found);
}

std::size_t KeptConnections::size() const {
  std::size_t Sum = 0;
  for (const auto &[To, List] : m_Idle)
    Sum += List.size();
  return Sum;
}

void KeptConnections::onClosed(evhttp_connection *Connection, void *Arg) {
  auto *Self = static_cast<KeptConnections *>(Arg);
  for (auto &[To, List] : Self->m_Idle) {
    const auto Gone =
        std::find_if(List.begin(), List.end(), [&](const Idle &Each) {
          return Each.m_Connection == Connection;
        });
    if (Gone == List.end())
      continue;
    List.erase(Gone);
    Self->closeLater(Connection);
    return;
  }
}

/// Frees the connection in the next pass of the loop, since evhttp may be using
/// it now.
void KeptConnections::closeLater(evhttp_connection *Connection) {
  evhttp_connection_set_closecb(Connection, nullptr, nullptr);
  const std::shared_ptr<evhttp_connection> Held(Connection,
                                                evhttp_connection_free);
  m_Loop.defer([Held] {});
}

} // namespace havenstair
