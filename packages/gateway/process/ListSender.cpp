#include "gateway/process/ListSender.h"

#include "gateway/common/DecisionLog.h"
#include "gateway/process/Fleet.h"
#include "gateway/process/ListFrames.h"
#include <utility>

namespace havenstair {

ListSender::ListSender(Dependencies Deps, SendToLeaf Callback)
    : m_Deps(Deps), m_SendToLeaf(std::move(Callback)),
      m_ConfigQueue(configQueueHooks()) {}

ConfigSendQueue::Hooks ListSender::configQueueHooks() {
  return {
      .m_Busy = [this] { return m_Deps.m_Fleet.busy(); },
      .m_Slow = [this](const BoxName &Box) { return m_Deps.m_Fleet.slow(Box); },
      .m_Send =
          [this](const BoxName &Box) {
            m_Deps.m_Fleet.send(Box, encodedSnapshot(m_Deps.m_Copies.config()));
          },
      .m_Delayed =
          [this](const BoxName &Box, std::string_view Why) {
            m_Deps.m_Log.write(
                "config_delayed",
                {{"peer", Box.str()},
                 {"version", m_Deps.m_Copies.makeWantFrame().m_Config},
                 {"why", Why}});
          }};
}

const EncodedFrame &ListSender::encodedSnapshot(const WatchCache &Cache) {
  const auto Cached = m_Snapshots.find(Cache.prefix());
  if (Cached != m_Snapshots.end() && Cached->second.m_At == Cache.revision() &&
      Cached->second.m_Changes == Cache.changes())
    return Cached->second.m_Frame;
  EncodedSnapshot Copy{.m_At = Cache.revision(),
                       .m_Changes = Cache.changes(),
                       .m_Frame =
                           EncodedFrame(keysFrame(Cache, Cache.snapshot()))};
  return m_Snapshots.insert_or_assign(Cache.prefix(), std::move(Copy))
      .first->second.m_Frame;
}

bool ListSender::mayFollow(const BoxName &Box) const {
  return m_Deps.m_Eras.current() == FirstEra ||
         m_Deps.m_Fleet.understands(Box, EraProtocol);
}

void ListSender::sendSnapshots(const BoxName &To) {
  if (!mayFollow(To))
    return;
  const ListCopies &Copies = m_Deps.m_Copies;
  if (!Copies.upstreams().partial())
    m_Deps.m_Fleet.send(To, encodedSnapshot(Copies.upstreams()));
  if (Copies.followsEvacuations())
    m_Deps.m_Fleet.send(To, encodedSnapshot(Copies.evacuations()));
}

void ListSender::answerRequest(const BoxName &From,
                               const FleetWantFrame &Frame) {
  const ListCopies &Copies = m_Deps.m_Copies;
  const FleetWantFrame Own = Copies.makeWantFrame();
  m_ConfigQueue.request(From, Frame.m_Config, Own.m_Config);
  // The box requests again after the next digest, and what it lacks may already
  // be queued.
  if (m_Deps.m_Fleet.slow(From) || !mayFollow(From))
    return;
  if (Own.m_List > Frame.m_List)
    sendUpstreams(From);
  if (Own.m_Boxes > Frame.m_Boxes)
    m_Deps.m_Fleet.send(From, encodedSnapshot(Copies.boxes()));
  if (Own.m_Evacuations > Frame.m_Evacuations)
    m_Deps.m_Fleet.send(From, encodedSnapshot(Copies.evacuations()));
}

/// Sends the list of upstreams, or a leaf its subset. A partial list is of no
/// use to other boxes.
void ListSender::sendUpstreams(const BoxName &To) {
  const FleetTopology &Topology = m_Deps.m_Fleet.topology();
  const WatchCache &Upstreams = m_Deps.m_Copies.upstreams();
  if (Upstreams.partial())
    return;
  if (Topology.flat() || Topology.isRelay(To))
    m_Deps.m_Fleet.send(To, encodedSnapshot(Upstreams));
  else if (Topology.relay())
    m_SendToLeaf(To);
}

} // namespace havenstair
