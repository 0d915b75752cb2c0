/// \file
/// Sends this box's copies of the store's lists to other boxes.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LISTSENDER_H
#define HAVENSTAIR_GATEWAY_PROCESS_LISTSENDER_H

#include "decisions/process/StoreEraTracker.h"
#include "gateway/process/ConfigSendQueue.h"
#include "gateway/process/ListCopies.h"
#include "wire/connection/EncodedFrame.h"
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace havenstair {

class DecisionLog;
class Fleet;

/// Answers the requests of other boxes for lists that are newer here. A whole
/// copy is encoded once for all boxes that request it at the same revision. All
/// references must outlive this object.
class ListSender {
public:
  struct Dependencies {
    Fleet &m_Fleet;
    const ListCopies &m_Copies;
    const StoreEraTracker &m_Eras;
    DecisionLog &m_Log;
  };
  /// Sends a leaf the whole of its subset of upstreams.
  using SendToLeaf = std::function<void(const BoxName &)>;

  ListSender(Dependencies Deps, SendToLeaf Callback);
  ListSender(const ListSender &) = delete;
  ListSender &operator=(const ListSender &) = delete;

  /// Whether \p Box may be sent lists of the current era: a box that knows no
  /// eras would take them for older or newer than its own by their numbers.
  bool mayFollow(const BoxName &Box) const;
  /// Sends \p To whole copies of the lists by which requests are routed.
  void sendSnapshots(const BoxName &To);
  /// Sends \p From the lists that are newer here than \p Frame says.
  void answerRequest(const BoxName &From, const FleetWantFrame &Frame);

  /// The boxes that wait for the configuration of this one.
  ConfigSendQueue &configQueue() { return m_ConfigQueue; }

private:
  /// A whole copy, encoded for the boxes that request it.
  struct EncodedSnapshot {
    StoreRevision m_At;
    std::uint64_t m_Changes = 0; ///< Changes of the copy up to this one.
    EncodedFrame m_Frame;
  };

  ConfigSendQueue::Hooks configQueueHooks();
  const EncodedFrame &encodedSnapshot(const WatchCache &Cache);
  void sendUpstreams(const BoxName &To);

  Dependencies m_Deps;
  SendToLeaf m_SendToLeaf;
  std::map<std::string, EncodedSnapshot> m_Snapshots; ///< By prefix.
  ConfigSendQueue m_ConfigQueue;
};

} // namespace havenstair

#endif
